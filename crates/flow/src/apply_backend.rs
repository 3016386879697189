//! What becomes of backend servers: they come, drain, leave and are lost.

use roseridge_model::{
    BackendId,
    DurationMs,
    RunKey, //
};

use crate::{
    BackendProfile,
    BackendRecord,
    BackendStatus,
    FlowOutcome,
    FlowRefusal,
    FlowState, //
};

impl FlowState {
    /// Takes a life of a backend server in; an earlier life on the same instance has ended.
    pub(crate) fn announce(&mut self, backend: BackendId, profile: BackendProfile) -> FlowOutcome {
        let earlier = self.backends.iter().filter(|(id, record)| {
            **id != backend
                && record.profile.instance == profile.instance
                && !matches!(record.status, BackendStatus::Ended { .. })
        });
        let earlier: Vec<_> = earlier.map(|(id, _)| id.clone()).collect();
        let known = self.backends.get(&backend).map(|record| record.status);
        if matches!(known, Some(BackendStatus::Ended { .. })) {
            return FlowOutcome::Refused(FlowRefusal::EndedBackend);
        }
        for id in &earlier {
            self.leave(id);
        }
        let record = self
            .backends
            .entry(backend.clone())
            .or_insert_with(|| BackendRecord::new(profile.clone()));
        record.profile = profile;
        if matches!(known, Some(BackendStatus::Lost { .. })) {
            record.status = BackendStatus::Ready;
        }
        self.touch_orders(&backend);
        FlowOutcome::Applied
    }

    pub(crate) fn drain(&mut self, backend: &BackendId, remaining: DurationMs) -> FlowOutcome {
        let until = self.now.plus(remaining);
        match self.backends.get_mut(backend) {
            Some(record) if record.status == BackendStatus::Ready => {
                record.status = BackendStatus::Draining { until };
                FlowOutcome::Applied
            }
            Some(_) => FlowOutcome::Applied,
            None => FlowOutcome::Refused(FlowRefusal::UnknownBackend),
        }
    }

    /// Ends a life of a backend server for good, with everything that ran on it.
    pub(crate) fn leave(&mut self, backend: &BackendId) -> FlowOutcome {
        self.end_presence(backend, BackendStatus::Ended { since: self.now })
    }

    /// Takes a backend server for lost, after its lease has surely ended.
    pub(crate) fn lose(
        &mut self,
        backend: &BackendId,
        saved: Vec<(RunKey, String)>,
    ) -> FlowOutcome {
        for (run, saved) in saved {
            self.note_saved(run, saved);
        }
        match self.backends.get(backend) {
            Some(record) if record.has_lease() => {
                self.end_presence(backend, BackendStatus::Lost { since: self.now })
            }
            Some(_) => FlowOutcome::Applied,
            None => FlowOutcome::Refused(FlowRefusal::UnknownBackend),
        }
    }

    fn end_presence(&mut self, backend: &BackendId, status: BackendStatus) -> FlowOutcome {
        let Some(record) = self.backends.get_mut(backend) else {
            return FlowOutcome::Refused(FlowRefusal::UnknownBackend);
        };
        record.status = status;
        record.results.clear();
        let runs = std::mem::take(&mut record.runs);
        self.touch_orders(backend);
        for run in runs.into_keys() {
            self.settle_lost(run);
        }
        FlowOutcome::Applied
    }
}
