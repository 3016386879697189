//! One task as the agent knows it.

use roseridge_model::{
    DesiredState,
    IncarnationId,
    TaskId,
    TaskOrder,
    TaskOutcome,
    TaskPhase, //
    backend_api::{
        BackendPhase,
        BackendTask, //
    },
};

use crate::{
    LeaseState, //
    TaskAction,
};

/// Fetches of a damaged answer before the task counts as failed.
const MAX_BAD_FETCHES: u32 = 20;

/// What the backend server has of a task, as far as the agent knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum BackendView {
    /// Nothing.
    #[default]
    Absent,
    /// A prepare was sent, and whether it arrived is not known.
    Asked,
    /// It listed or acknowledged the task.
    Known(BackendPhase),
}

/// What the agent may do for a task now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActScope<'a> {
    pub(crate) order: Option<&'a TaskOrder>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) lease: LeaseState,
    /// Whether this life has received orders; until then a task without one is kept.
    pub(crate) has_orders: bool,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalTask {
    pub(crate) phase: Option<TaskPhase>,
    pub(crate) backend: BackendView,
    pub(crate) busy: bool,
    /// The report that told the newest phase, if one has; zero once it is acknowledged.
    pub(crate) told_in: Option<u64>,
    start_sent: bool,
    checkpoint_asked: bool,
    stop_done: bool,
    missed: bool,
    bad_fetches: u32,
}

impl LocalTask {
    /// Returns whether the task may hold a slot of the backend server.
    pub(crate) fn may_hold_place(&self) -> bool {
        match self.backend {
            BackendView::Absent => false,
            BackendView::Asked => true,
            BackendView::Known(phase) => rank(phase) < OVER,
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, Some(TaskPhase::Ended(_)))
    }

    /// Moves the task on; a phase never goes back, and the first end stands.
    pub(crate) fn set_phase(&mut self, phase: TaskPhase) {
        let moves = match (&self.phase, &phase) {
            (Some(TaskPhase::Ended(_)), _) => false,
            (Some(TaskPhase::Running), TaskPhase::Held) => false,
            (old, new) => old.as_ref() != Some(new),
        };
        if moves {
            self.phase = Some(phase);
            self.told_in = None;
        }
    }

    pub(crate) fn end(&mut self, end: TaskOutcome) {
        self.set_phase(TaskPhase::Ended(end));
    }

    /// Returns what to ask of the backend server now.
    pub(crate) fn next_action(&mut self, id: TaskId, scope: ActScope<'_>) -> Option<TaskAction> {
        if self.backend == BackendView::Known(BackendPhase::Done) && !self.has_ended() {
            return Some(TaskAction::FetchAnswer { task: id });
        }
        match (scope.lease, scope.order) {
            (LeaseState::Gone, _) => self.stop(id, false),
            // Before the first orders of this life, running tasks are kept as they are.
            (LeaseState::Kept, _) => None,
            (LeaseState::Held, None) if scope.has_orders => self.clear(id),
            (LeaseState::Held, None) => None,
            (LeaseState::Held, Some(order)) if self.has_ended() => {
                self.stop(id, order.checkpointable)
            }
            (LeaseState::Held, Some(order)) => match order.desired {
                DesiredState::Held => self.prepare(order, scope.incarnation),
                DesiredState::Running => self.start(order, scope.incarnation),
                DesiredState::Stopped => self.give_up(id, order),
            },
        }
    }

    /// Notes that an action was sent.
    pub(crate) fn begin(&mut self, action: &TaskAction) {
        self.busy = true;
        self.missed = false;
        match action {
            TaskAction::Prepare { .. } if self.backend == BackendView::Absent => {
                self.backend = BackendView::Asked;
            }
            TaskAction::Start { .. } => self.start_sent = true,
            TaskAction::Checkpoint { .. } => self.checkpoint_asked = true,
            _ => {}
        }
    }

    /// Notes that an action took effect.
    pub(crate) fn finish(&mut self, action: &TaskAction) {
        self.busy = false;
        match action {
            TaskAction::Prepare { .. } => {
                self.take_phase(BackendPhase::Held);
                self.set_phase(TaskPhase::Held);
            }
            TaskAction::Start { .. } => {
                self.take_phase(BackendPhase::Running);
                self.set_phase(TaskPhase::Running);
            }
            TaskAction::Stop { .. } => self.stop_done = true,
            _ => {}
        }
    }

    /// Notes that the backend server refused an action.
    pub(crate) fn refuse(&mut self, action: &TaskAction) {
        self.busy = false;
        match action {
            TaskAction::Prepare { .. } => {
                self.backend = BackendView::Absent;
                self.end(TaskOutcome::NotStarted);
            }
            // The list tells whether it runs; if it does, it is stopped with its gang.
            TaskAction::Start { .. } => self.end(TaskOutcome::Lost),
            TaskAction::Stop { .. } => self.stop_done = true,
            _ => {}
        }
    }

    /// Notes that an answer came damaged, cut short or crossed; it is fetched again a few times.
    pub(crate) fn take_bad_answer(&mut self) {
        self.busy = false;
        self.bad_fetches += 1;
        if self.bad_fetches >= MAX_BAD_FETCHES {
            self.end(TaskOutcome::Failed(
                "its answer can't be read whole".to_owned(),
            ));
        }
    }

    /// Takes the backend server's word on the task; an older word than the last one is ignored.
    pub(crate) fn take_listed(&mut self, listed: &BackendTask) {
        self.missed = false;
        if !self.take_phase(listed.phase) {
            return;
        }
        let reason = listed.reason.clone().unwrap_or_default();
        match listed.phase {
            BackendPhase::Held => self.set_phase(TaskPhase::Held),
            // The answer of a task that is done is still to be fetched.
            BackendPhase::Running | BackendPhase::Done => self.set_phase(TaskPhase::Running),
            BackendPhase::Failed => self.end(TaskOutcome::Failed(reason)),
            BackendPhase::Stopped => self.end(TaskOutcome::Stopped),
            BackendPhase::NotStarted => self.end(TaskOutcome::NotStarted),
        }
    }

    /// Notes that a list lacks the task; a list may be older than the last call, two in a row are not.
    pub(crate) fn take_unlisted(&mut self) {
        if self.busy || self.backend == BackendView::Absent {
            return;
        }
        if !std::mem::replace(&mut self.missed, true) {
            return;
        }
        let ran = self.start_sent || self.phase == Some(TaskPhase::Running);
        self.backend = BackendView::Absent;
        self.end(match ran {
            true => TaskOutcome::Lost,
            false => TaskOutcome::NotStarted,
        });
    }

    /// Takes a phase unless it is older than the known one; returns whether it was taken.
    fn take_phase(&mut self, phase: BackendPhase) -> bool {
        let known = match self.backend {
            BackendView::Known(known) => rank(known),
            _ => 0,
        };
        if rank(phase) < known {
            return false;
        }
        self.backend = BackendView::Known(phase);
        // A task that is listed as open after its stop is stopped again.
        self.stop_done &= rank(phase) == OVER;
        true
    }

    fn prepare(&self, order: &TaskOrder, incarnation: IncarnationId) -> Option<TaskAction> {
        let is_new = self.phase.is_none() && order.incarnation == incarnation;
        is_new.then_some(TaskAction::Prepare {
            task: order.task,
            shape: order.shape,
        })
    }

    fn start(&mut self, order: &TaskOrder, incarnation: IncarnationId) -> Option<TaskAction> {
        match (self.backend, &order.payload) {
            (BackendView::Known(BackendPhase::Held), Some(payload))
                if order.incarnation == incarnation =>
            {
                Some(TaskAction::Start {
                    task: order.task,
                    payload: payload.clone(),
                })
            }
            (BackendView::Absent, _) => {
                self.end(TaskOutcome::Lost);
                None
            }
            _ => None,
        }
    }

    /// Brings an ordered task to its end.
    fn give_up(&mut self, id: TaskId, order: &TaskOrder) -> Option<TaskAction> {
        if self.backend == BackendView::Absent {
            self.end(TaskOutcome::NotStarted);
        }
        self.stop(id, order.checkpointable)
    }

    /// Stops a task, after a checkpoint if it is worth one.
    fn stop(&self, id: TaskId, with_checkpoint: bool) -> Option<TaskAction> {
        let runs = self.backend == BackendView::Known(BackendPhase::Running);
        match self.may_hold_place() && !self.stop_done {
            true if runs && with_checkpoint && !self.checkpoint_asked => {
                Some(TaskAction::Checkpoint { task: id })
            }
            true => Some(TaskAction::Stop { task: id }),
            false => None,
        }
    }

    /// Clears a task away that the leader no longer orders.
    fn clear(&self, id: TaskId) -> Option<TaskAction> {
        match self.backend {
            BackendView::Known(phase) if rank(phase) == OVER => {
                Some(TaskAction::Forget { task: id })
            }
            _ => self.stop(id, false),
        }
    }
}

/// The rank of a phase that is over.
const OVER: u8 = 2;

fn rank(phase: BackendPhase) -> u8 {
    match phase {
        BackendPhase::Held => 0,
        BackendPhase::Running => 1,
        BackendPhase::Done
        | BackendPhase::Failed
        | BackendPhase::Stopped
        | BackendPhase::NotStarted => OVER,
    }
}
