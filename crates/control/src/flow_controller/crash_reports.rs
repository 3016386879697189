//! Crashes of backend servers, and the runs that are suspected of them.

use roseridge_dispatch::{
    CrashEvidence,
    CrashVerdict,
    crash_suspects, //
};
use roseridge_flow::{
    BackendStatus,
    FlowChange,
    FlowState, //
};
use roseridge_model::BackendId;

use super::{
    FlowController,
    PendingChange, //
};

impl FlowController {
    /// Returns the suspects of a crash of a backend server, by what its reports have shown until now.
    pub(crate) fn crash_verdict(&self, flows: &FlowState, backend: &BackendId) -> CrashVerdict {
        let evidence = CrashEvidence {
            started: &self.started_runs,
            progress_rates: &self.progress_rates,
        };
        let record = flows.backends.get(backend);
        record.map_or_else(CrashVerdict::default, |record| {
            crash_suspects(flows, record, evidence)
        })
    }

    /// Returns the change that records the crash of an incarnation that has ended; `None` if it left as
    /// announced, if nothing ran on it, or if the change is already proposed.
    ///
    /// A lost backend server may only have been cut off. Its suspects are recorded once it is known to have
    /// ended.
    pub(crate) fn crash_change(
        &mut self,
        flows: &FlowState,
        backend: &BackendId,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let CrashVerdict {
            suspects,
            crash_limit,
        } = match flows.backends.get(backend)?.status {
            BackendStatus::Ready => self.crash_verdict(flows, backend),
            BackendStatus::Lost { .. } => self.contacts.get(backend)?.crash_verdict.clone(),
            BackendStatus::Draining { .. } | BackendStatus::Ended { .. } => return None,
        };
        let is_new = !suspects.is_empty()
            && self.start_proposal(PendingChange::Crash(backend.clone()), now_ms);
        is_new.then(|| FlowChange::RecordCrash {
            backend: backend.clone(),
            suspects,
            crash_limit,
        })
    }
}
