//! The barrier of stops for an agent that doesn't know what was started before it.
//!
//! An agent stops what it started on an earlier incarnation before it reports a later one with the same
//! name. An agent that was itself restarted knows none of these runs; the replicated state does. The
//! leader then orders the later incarnation to stop them, and accepts it once the agent has reported each
//! as ended or unstarted.

use roseridge_flow::{
    BackendRecord,
    FlowState,
    RunCompletion, //
};
use roseridge_model::{
    BackendId,
    RunKey, //
};
use roseridge_wire::{
    BackendReport,
    FlowReport,
    RunOrder, //
};

/// The completions of a later incarnation are numbered from here on when they are recorded for an earlier
/// one, whose own completions never reach such numbers.
const FIRST_CARRIED_NUMBER: u64 = 1 << 63;

/// Returns the earlier incarnation whose runs the reported one still has to stop.
///
/// An incarnation that the agent reports as ended has passed the agent's own barrier.
pub(crate) fn unsettled_incarnation<'a>(
    flows: &'a FlowState,
    report: &'a FlowReport,
) -> Option<&'a BackendRecord> {
    let later = report.backend.as_ref()?;
    let earlier = earlier_incarnations(flows, report);
    let mut records = earlier
        .filter(|(id, _)| !report.ended.contains(id))
        .map(|(_, record)| record);
    records.find(|record| record.runs.keys().any(|run| !is_settled(later, run)))
}

/// Returns the incarnations with a lease and the name of the reported one, which the state doesn't know
/// yet; none if it does.
fn earlier_incarnations<'a>(
    flows: &'a FlowState,
    report: &'a FlowReport,
) -> impl Iterator<Item = (&'a BackendId, &'a BackendRecord)> {
    let later = report.backend.as_ref().map(|backend| &backend.backend);
    let later = later.filter(|later| !flows.backends.contains_key(*later));
    let backends = later.map(|later| {
        flows.backends.iter().filter(move |(id, record)| {
            id.shares_name(later)
                && record.profile.instance == report.instance
                && record.has_lease()
        })
    });
    backends.into_iter().flatten()
}

/// Returns the number up to which completions of the reported incarnation may be deleted before they are listed.
///
/// Acknowledgements for an earlier incarnation with its name may have reached it. If the agent reports the newest
/// earlier one as ended, it has sent them all and knows that none is under way. Otherwise any may be that was sent.
pub(crate) fn hidden_ends(flows: &FlowState, report: &FlowReport) -> u64 {
    let Some(later) = &report.backend else {
        return 0;
    };
    let earlier = flows.backends.iter().filter(|(id, record)| {
        **id != later.backend
            && id.shares_name(&later.backend)
            && record.profile.instance == report.instance
    });
    let newest = earlier.max_by_key(|(_, record)| (record.has_lease(), record.lease_end()));
    newest.map_or(0, |(id, record)| {
        let inherited = flows.doubts.inherited_ends(id);
        match report.ended.contains(id) {
            true => inherited,
            false => inherited.max(record.ends_seen),
        }
    })
}

/// Returns the completions of runs of an earlier incarnation which the reported one carried out and lists as
/// ended, with that incarnation.
///
/// A start that was sent to the earlier incarnation may have been carried out by the later one, and its run
/// may have ended before the stop. A task that is done must not run again.
pub(crate) fn carried_completions(
    flows: &FlowState,
    report: &FlowReport,
) -> Option<(BackendId, Vec<RunCompletion>)> {
    let later = report.backend.as_ref()?;
    earlier_incarnations(flows, report).find_map(|(id, record)| {
        let ends = later.ends.iter();
        let ends = ends.filter(|end| record.runs.contains_key(&end.run));
        let ends: Vec<_> = ends
            .map(|end| RunCompletion {
                number: FIRST_CARRIED_NUMBER.saturating_add(end.number),
                ..end.clone()
            })
            .collect();
        (!ends.is_empty()).then(|| (id.clone(), ends))
    })
}

/// Returns whether a report proves that a run neither runs on its backend server nor can start there.
fn is_settled(report: &BackendReport, run: &RunKey) -> bool {
    report
        .unstarted
        .iter()
        .any(|unstarted| unstarted.run == *run)
        || report.ends.iter().any(|end| end.run == *run)
}

/// Returns the orders to stop the runs of an earlier incarnation.
pub(crate) fn stop_orders(earlier: &BackendRecord) -> Vec<RunOrder> {
    let runs = earlier.runs.keys().map(|run| RunOrder {
        run: *run,
        stop: true,
        saved: String::new(),
    });
    runs.collect()
}
