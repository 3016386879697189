//! Application of the agents' reports about runs.

use roseridge_model::BackendId;

use crate::{
    FlowOutcome,
    FlowRefusal,
    FlowState,
    RunCompletion,
    UnstartedRun, //
};

impl FlowState {
    /// Applies completions once each, in the order of their numbers, and requeues the tasks of runs
    /// that can't start.
    ///
    /// A completion whose number was acknowledged before is skipped, since agents resend them.
    pub(crate) fn apply_report(
        &mut self,
        backend: &BackendId,
        mut ends: Vec<RunCompletion>,
        unstarted: Vec<UnstartedRun>,
    ) -> FlowOutcome {
        let Some(record) = self.backends.get_mut(backend) else {
            return FlowOutcome::Refused(FlowRefusal::UnknownBackend);
        };
        ends.sort_by_key(|end| end.number);
        ends.retain(|end| end.number > record.ends_seen);
        if let Some(last) = ends.last() {
            record.ends_seen = last.number;
        }
        // Other runs may have been listed before the incarnation began to ignore calls for earlier ones.
        if ends.iter().any(|end| record.runs.contains_key(&end.run)) {
            self.doubts.settle(backend, self.now);
        }
        for end in &ends {
            self.complete_run(backend, end);
        }
        for run in &unstarted {
            self.requeue_unstarted(backend, run.run);
        }
        self.mark_orders_changed(backend);
        FlowOutcome::Applied
    }
}
