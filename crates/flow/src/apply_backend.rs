//! Changes of the status of backend servers: announcement, drain, departure and loss.

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
    /// Records an incarnation of a backend server and ends every earlier one on the same instance.
    ///
    /// A lost incarnation becomes ready again; an ended one is refused. `hidden_ends` is the number up to which the
    /// completions of a new one may be deleted before they are listed.
    pub(crate) fn announce(
        &mut self,
        backend: BackendId,
        profile: BackendProfile,
        hidden_ends: u64,
    ) -> FlowOutcome {
        let earlier = self.backends.iter().filter(|(id, record)| {
            **id != backend
                && record.profile.instance == profile.instance
                && !matches!(record.status, BackendStatus::Ended { .. })
        });
        let earlier: Vec<_> = earlier.map(|(id, _)| id.clone()).collect();
        let known_status = self.backends.get(&backend).map(|record| record.status);
        if matches!(known_status, Some(BackendStatus::Ended { .. })) {
            return FlowOutcome::Refused(FlowRefusal::EndedBackend);
        }
        for id in &earlier {
            self.leave(id);
        }
        if known_status.is_none() {
            self.fences.raise(&profile.instance, self.index);
        }
        if known_status.is_none() && hidden_ends > 0 {
            self.doubts.add(backend.clone(), hidden_ends, self.now);
        }
        let record = self
            .backends
            .entry(backend.clone())
            .or_insert_with(|| BackendRecord::new(profile.clone()));
        record.profile = profile;
        if matches!(known_status, Some(BackendStatus::Lost { .. })) {
            record.status = BackendStatus::Ready;
        }
        self.mark_orders_changed(&backend);
        FlowOutcome::Applied
    }

    /// Marks a ready backend server as draining, for at least `remaining`.
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

    /// Marks a draining backend server as ready again.
    pub(crate) fn resume(&mut self, backend: &BackendId) -> FlowOutcome {
        match self.backends.get_mut(backend) {
            Some(record) if matches!(record.status, BackendStatus::Draining { .. }) => {
                record.status = BackendStatus::Ready;
                FlowOutcome::Applied
            }
            Some(_) => FlowOutcome::Applied,
            None => FlowOutcome::Refused(FlowRefusal::UnknownBackend),
        }
    }

    /// Ends an incarnation of a backend server for good, together with every run on it.
    pub(crate) fn leave(&mut self, backend: &BackendId) -> FlowOutcome {
        self.end_lease(backend, BackendStatus::Ended { since: self.now })
    }

    /// Marks a backend server as lost after its lease has certainly expired, and stores the last
    /// known checkpoints of its runs.
    pub(crate) fn lose(
        &mut self,
        backend: &BackendId,
        saved: Vec<(RunKey, String)>,
    ) -> FlowOutcome {
        for (run, saved) in saved {
            self.store_checkpoint(run, saved);
        }
        match self.backends.get(backend) {
            Some(record) if record.has_lease() => {
                self.end_lease(backend, BackendStatus::Lost { since: self.now })
            }
            Some(_) => FlowOutcome::Applied,
            None => FlowOutcome::Refused(FlowRefusal::UnknownBackend),
        }
    }

    /// Sets the status of a backend server whose lease has ended and requeues the tasks of its
    /// runs.
    ///
    /// Its run results are cleared.
    fn end_lease(&mut self, backend: &BackendId, status: BackendStatus) -> FlowOutcome {
        let Some(record) = self.backends.get_mut(backend) else {
            return FlowOutcome::Refused(FlowRefusal::UnknownBackend);
        };
        record.status = status;
        record.results.clear();
        let runs = std::mem::take(&mut record.runs);
        self.mark_orders_changed(backend);
        for run in runs.into_keys() {
            self.requeue_task(run);
        }
        FlowOutcome::Applied
    }
}
