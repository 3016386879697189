//! The relative work speeds of the backend servers, learned from run times and progress.

use std::collections::BTreeMap;

use roseridge_flow::{
    BackendRecord,
    BackendStatus,
    FlowRecord, //
};
use roseridge_model::{
    BackendId,
    FastMap,
    FlowId,
    QueueKey,
    RackName,
    RunKey,
    TaskKey,
    UnixMillis, //
};

use crate::{
    DispatchView,
    speed_fit::{
        GangTime,
        LearnedSpeed,
        SpeedFit,
        StepKey, //
    },
};

/// The age at which an observation has lost half of its weight, in milliseconds. It is a few times the
/// usual run time, so that several observations count.
const HALF_LIFE_MS: f64 = 30_000.0;

/// The speeds of the backend servers relative to the usual one. Work takes the reciprocal of its time.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerSpeeds<'a> {
    /// The backend servers whose speed or class differs from the default.
    speeds: FastMap<&'a BackendId, LearnedSpeed>,
}

impl<'a> WorkerSpeeds<'a> {
    /// Learns the speeds from the run results and the progress of the current runs.
    ///
    /// Load pattern: backend servers of uneven speed, where an urgent gang with a slow member is late.
    /// Tasks of the same step have similar work, so the ratio of their run times is that of the speeds.
    /// The times of the steps and the speeds are fitted together, with limited deviations, so that single
    /// runs that take far longer change little. All speeds are exactly 1 unless the variation between the
    /// backend servers, or the deviation of one of them, is larger than chance explains. If they are
    /// uneven, the times of gangs refine them.
    pub(crate) fn from_view(view: &DispatchView<'a>) -> Self {
        let present = view.flows.backends.iter();
        let present = present.filter(|(_, b)| !matches!(b.status, BackendStatus::Ended { .. }));
        let backends: Vec<_> = present.collect();
        let fit = observe_backends(view, &backends);
        let ids = backends.iter().map(|(id, _)| *id);
        let learned = ids.zip(fit.speeds());
        let different = learned.filter(|(_, speed)| *speed != LearnedSpeed::default());
        Self {
            speeds: different.collect(),
        }
    }

    /// Returns the speed of a backend server.
    pub(crate) fn speed(&self, backend: &BackendId) -> LearnedSpeed {
        self.speeds.get(backend).copied().unwrap_or_default()
    }
}

/// Returns the backend servers of which the decisions know a speed, relative to the usual one.
///
/// Empty as long as the speeds count as even. The decisions are then those of even backend servers.
pub fn known_speeds<'a>(view: &DispatchView<'a>) -> BTreeMap<&'a BackendId, f64> {
    let learned = WorkerSpeeds::from_view(view).speeds.into_iter();
    learned
        .map(|(id, learned)| (id, learned.log_speed.exp()))
        .collect()
}

/// The observed time of one run of a gang.
struct ObservedGang<'a> {
    record: &'a FlowRecord,
    task: TaskKey,
    backends: Vec<usize>,
    racks: Vec<Option<&'a RackName>>,
    whole_ms: u64,
    weight: f64,
}

/// Collects the times of the tasks and gangs.
///
/// A run after the first one may have resumed from a checkpoint, so its run time is not that of the whole
/// task.
fn observe_backends<'a>(
    view: &DispatchView<'a>,
    backends: &[(&'a BackendId, &'a BackendRecord)],
) -> SpeedFit {
    let mut queues = BTreeMap::<&QueueKey, usize>::new();
    for record in view.flows.flows.values() {
        let next = queues.len();
        queues.entry(&record.queue.key).or_insert(next);
    }
    let mut fit = SpeedFit::new(backends.len(), queues.len());
    let mut gangs = FastMap::<(FlowId, u32, u16, u32), ObservedGang<'a>>::default();
    for (index, (_, backend)) in backends.iter().enumerate() {
        let done = backend.results.iter();
        let done = done.filter(|result| result.done && result.run.run == 1);
        let done = done.map(|r| (r.run, r.in_gang, r.took.0, weight_at(r.at, view.now)));
        let running = backend.runs.keys().filter_map(|run| {
            let flow = view.flows.flows.get(&run.task.flow)?;
            let whole = view.progress_rates.get(run)?.whole_time()?;
            Some((*run, flow.is_gang(run.task), whole.0, 1.0))
        });
        for (run, in_gang, whole_ms, weight) in done.chain(running) {
            match view.flows.flows.get(&run.task.flow) {
                _ if !in_gang => fit.observe_task(index, step_key(run), (whole_ms, weight)),
                Some(record) => {
                    let key = (run.task.flow, run.task.round, run.task.step, run.run);
                    let gang = gangs.entry(key).or_insert_with(|| ObservedGang {
                        record,
                        task: run.task,
                        backends: Vec::new(),
                        racks: Vec::new(),
                        whole_ms,
                        weight,
                    });
                    gang.backends.push(index);
                    gang.racks.push(backend.profile.rack.as_ref());
                    gang.whole_ms = gang.whole_ms.max(whole_ms);
                }
                None => {}
            }
        }
    }
    for gang in gangs.into_values() {
        observe_gang(&mut fit, &queues, gang);
    }
    fit
}

/// Adds the time of a gang, unless it may have been slower because it was spread over racks.
fn observe_gang(fit: &mut SpeedFit, queues: &BTreeMap<&QueueKey, usize>, gang: ObservedGang<'_>) {
    let Some(spec) = gang.record.step_spec(gang.task) else {
        return;
    };
    let crosses_racks = gang.racks.iter().any(|rack| *rack != gang.racks[0]);
    if spec.one_rack && crosses_racks {
        return;
    }
    let unknown = usize::from(spec.count).saturating_sub(gang.backends.len());
    fit.observe_gang(GangTime {
        queue: queues[&gang.record.queue.key],
        backends: gang.backends,
        unknown,
        log_ms: (gang.whole_ms.max(1) as f64).ln(),
        weight: gang.weight,
    });
}

/// Returns the key of the step that a run belongs to.
fn step_key(run: RunKey) -> StepKey {
    (run.task.flow, run.task.round, run.task.step)
}

/// Returns the weight of an observation by its age.
fn weight_at(at: UnixMillis, now: UnixMillis) -> f64 {
    (-(now.since(at).0 as f64) / HALF_LIFE_MS).exp2()
}
