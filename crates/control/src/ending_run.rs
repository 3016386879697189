//! The runs that end with a change, and the work that is lost with them.

use roseridge_flow::{
    FlowChange,
    FlowState,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    RunKey,
    TaskShape,
    UnixMillis, //
};

/// A run that ends with a change, as of the state before the change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndingRun {
    pub(crate) run: RunKey,
    pub(crate) backend: BackendId,
    pub(crate) shape: TaskShape,
    placed: UnixMillis,
    /// The work of earlier runs from which it resumed.
    resumed: DurationMs,
}

/// The work of a run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndedWork {
    /// The time since the placement of the run.
    pub(crate) took: DurationMs,
    /// The part of it that has to be done again.
    pub(crate) lost: DurationMs,
}

impl EndingRun {
    /// Returns the work of the run as of the state after the change.
    ///
    /// All time since the placement counts as work, as in the checkpoints' work.
    pub(crate) fn work(&self, flows: &FlowState) -> EndedWork {
        let took = flows.now.since(self.placed);
        let flow = flows.flows.get(&self.run.task.flow);
        let is_done = flow
            .and_then(|flow| flow.task(self.run.task))
            .is_some_and(|task| task.phase == TaskPhase::Done);
        let kept = flow.map_or(DurationMs(0), |flow| flow.resume_work(self.run.task));
        let lost = match is_done {
            true => DurationMs(0),
            false => DurationMs((self.resumed.0 + took.0).saturating_sub(kept.0).min(took.0)),
        };
        EndedWork { took, lost }
    }
}

/// Returns the runs that end with a change, before it is applied.
pub(crate) fn ending_runs(flows: &FlowState, change: &FlowChange) -> Vec<EndingRun> {
    match change {
        FlowChange::Report { backend, ends, .. } => {
            let ended = ends.iter().map(|end| end.run);
            ended
                .filter_map(|run| ending_run(flows, backend, run))
                .collect()
        }
        FlowChange::Lose { backend, .. } | FlowChange::Leave { backend } => runs_on(flows, backend),
        FlowChange::Announce { backend, profile }
        | FlowChange::AnnounceRestarted {
            backend, profile, ..
        } => {
            let earlier = flows.backends.iter().filter(|(id, record)| {
                *id != backend && record.profile.instance == profile.instance
            });
            earlier.flat_map(|(id, _)| runs_on(flows, id)).collect()
        }
        _ => Vec::new(),
    }
}

fn runs_on(flows: &FlowState, backend: &BackendId) -> Vec<EndingRun> {
    let record = flows.backends.get(backend);
    let runs = record.into_iter().flat_map(|record| record.runs.keys());
    runs.filter_map(|run| ending_run(flows, backend, *run))
        .collect()
}

fn ending_run(flows: &FlowState, backend: &BackendId, run: RunKey) -> Option<EndingRun> {
    let held = flows.backends.get(backend)?.runs.get(&run)?;
    let flow = flows.flows.get(&run.task.flow);
    Some(EndingRun {
        run,
        backend: backend.clone(),
        shape: held.shape,
        placed: held.placed,
        resumed: flow.map_or(DurationMs(0), |flow| flow.resume_work(run.task)),
    })
}
