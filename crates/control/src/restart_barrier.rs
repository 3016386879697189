//! The barrier of stops for an agent that doesn't know what was started before it.
//!
//! An agent stops what it started on an earlier incarnation before it reports a later one with the same
//! name. An agent that was itself restarted knows none of these runs; the replicated state does. The
//! leader then orders the later incarnation to stop them, and accepts it once the agent has reported each
//! as ended or unstarted.

use roseridge_flow::{
    BackendRecord,
    FlowState, //
};
use roseridge_wire::{
    BackendReport,
    FlowReport,
    RunOrder, //
};

/// Returns the earlier incarnation whose runs the reported one still has to stop.
///
/// An incarnation that the agent reports as ended has passed the agent's own barrier.
pub(crate) fn unsettled_incarnation<'a>(
    flows: &'a FlowState,
    report: &FlowReport,
) -> Option<&'a BackendRecord> {
    let later = report.backend.as_ref()?;
    if flows.backends.contains_key(&later.backend) {
        return None;
    }
    let earlier = flows.backends.iter().filter(|(id, record)| {
        id.shares_name(&later.backend)
            && record.profile.instance == report.instance
            && record.has_lease()
            && !report.ended.contains(id)
    });
    let mut records = earlier.map(|(_, record)| record);
    records.find(|record| record.runs.keys().any(|run| !is_settled(later, run)))
}

/// Returns whether a report proves that a run neither runs on its backend server nor can start there.
fn is_settled(report: &BackendReport, run: &roseridge_model::RunKey) -> bool {
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
