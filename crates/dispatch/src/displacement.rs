//! Which runs make room for a more urgent unit.

use roseridge_flow::{
    FlowState,
    RunRecord, //
};
use roseridge_model::{
    DurationMs,
    RunKey,
    TaskShape,
    UnixMillis, //
};

use crate::room_map::BackendRoom;

/// A run that may be stopped for a more urgent unit.
#[derive(Debug, Clone)]
pub(crate) struct RunOffer {
    pub(crate) run: RunKey,
    pub(crate) shape: TaskShape,
    /// The accelerator-seconds that would be thrown away, in milliseconds.
    pub(crate) lost: u64,
}

/// Returns the runs on a backend server that a unit of this rank may displace, cheapest first.
pub(crate) fn displaceable(
    flows: &FlowState,
    room: &BackendRoom<'_>,
    rank: u32,
    now: UnixMillis,
) -> Vec<RunOffer> {
    let runs = room.record.runs.iter();
    let lower = runs.filter(|(run, held)| {
        let flow = flows.flows.get(&run.task.flow);
        held.stop.is_none() && flow.is_some_and(|flow| flow.queue.rank > rank)
    });
    let mut offers: Vec<_> = lower
        .map(|(run, held)| RunOffer {
            run: *run,
            shape: held.shape,
            lost: lost_work(flows, *run, held, now),
        })
        .collect();
    offers.sort_by_key(|offer| (offer.lost, offer.run));
    offers
}

/// About what stopping a run throws away: what it worked since it was placed, for the whole gang.
fn lost_work(flows: &FlowState, run: RunKey, held: &RunRecord, now: UnixMillis) -> u64 {
    let flow = flows.flows.get(&run.task.flow);
    let spec = flow.and_then(|flow| flow.step_spec(run.task));
    let DurationMs(worked) = now.since(held.placed);
    match spec {
        Some(spec) if spec.checkpointing => 0,
        Some(spec) if spec.gang => {
            worked * u64::from(held.shape.accelerators.max(1)) * u64::from(spec.count)
        }
        _ => worked * u64::from(held.shape.accelerators.max(1)),
    }
}

/// Returns the cheapest runs that make `room` hold `wanted` tasks of a shape, beside what returns.
pub(crate) fn make_room(
    room: &BackendRoom<'_>,
    offers: &[RunOffer],
    shape: &TaskShape,
    wanted: usize,
) -> Option<Vec<RunOffer>> {
    let mut freed = room.free.plus(&room.returning);
    let mut chosen = Vec::new();
    let holds = |freed: &TaskShape| BackendRoom::fitting(freed, shape, wanted) >= wanted;
    for offer in offers {
        if holds(&freed) {
            break;
        }
        freed = freed.plus(&offer.shape);
        chosen.push(offer.clone());
    }
    holds(&freed).then_some(chosen)
}
