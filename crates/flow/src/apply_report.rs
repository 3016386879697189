//! What agents report of runs.

use roseridge_model::BackendId;

use crate::{
    EndRecord,
    FlowOutcome,
    FlowRefusal,
    FlowState,
    UnstartedRun, //
};

impl FlowState {
    /// Takes note of ends in the order of their numbers, each once, and of runs that can't start.
    pub(crate) fn take_report(
        &mut self,
        backend: &BackendId,
        mut ends: Vec<EndRecord>,
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
        for end in &ends {
            self.settle_end(backend, end);
        }
        for run in &unstarted {
            self.settle_unstarted(backend, run.run);
        }
        self.touch_orders(backend);
        FlowOutcome::Applied
    }
}
