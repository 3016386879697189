//! The agent's state for one task.

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
    LeaseState,
    TaskAction, //
};

/// The number of invalid answers after which a task fails.
const MAX_INVALID_ANSWERS: u32 = 20;

/// The state of a task at the backend server, as far as the agent knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum BackendView {
    /// The backend server does not have the task.
    #[default]
    Absent,
    /// A prepare was sent, but it is unknown whether it arrived.
    PrepareSent,
    /// The backend server listed the task or acknowledged an action, in the given phase.
    Known(BackendPhase),
}

/// The order, the lease and the incarnation that decide the next action of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActionContext<'a> {
    pub(crate) order: Option<&'a TaskOrder>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) lease: LeaseState,
    /// Whether this incarnation has received orders; until then a task without one is kept.
    pub(crate) has_orders: bool,
}

/// The agent's state for one task.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalTask {
    /// The phase that is reported to the leader.
    pub(crate) phase: Option<TaskPhase>,
    pub(crate) backend: BackendView,
    /// Whether an action for the task is in flight.
    pub(crate) is_busy: bool,
    /// The number of the first report that carried the phase; zero once it is acknowledged.
    pub(crate) reported_in: Option<u64>,
    is_start_sent: bool,
    is_checkpoint_sent: bool,
    is_stop_done: bool,
    /// Whether the last list lacked the task.
    was_unlisted: bool,
    invalid_answers: u32,
}

impl LocalTask {
    /// Returns whether the task may hold a slot of the backend server, including a prepare in doubt.
    pub(crate) fn may_hold_slot(&self) -> bool {
        match self.backend {
            BackendView::Absent => false,
            BackendView::PrepareSent => true,
            BackendView::Known(phase) => phase_rank(phase) < ENDED_RANK,
        }
    }

    /// Returns whether the task has an outcome.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, Some(TaskPhase::Ended(_)))
    }

    /// Sets a new phase; a phase never goes back, and the first outcome is final.
    pub(crate) fn set_phase(&mut self, phase: TaskPhase) {
        let is_change = match (&self.phase, &phase) {
            (Some(TaskPhase::Ended(_)), _) => false,
            (Some(TaskPhase::Running), TaskPhase::Held) => false,
            (old, new) => old.as_ref() != Some(new),
        };
        if is_change {
            self.phase = Some(phase);
            self.reported_in = None;
        }
    }

    /// Ends the task with an outcome, unless it already has one.
    pub(crate) fn end_with(&mut self, outcome: TaskOutcome) {
        self.set_phase(TaskPhase::Ended(outcome));
    }

    /// Returns the action that is due at the backend server.
    pub(crate) fn next_action(
        &mut self,
        id: TaskId,
        context: ActionContext<'_>,
    ) -> Option<TaskAction> {
        if self.backend == BackendView::Known(BackendPhase::Done) && !self.has_ended() {
            return Some(TaskAction::FetchAnswer { task: id });
        }
        match (context.lease, context.order) {
            (LeaseState::Expired, _) => self.stop(id, false),
            // Before the first orders of this incarnation, running tasks are left as they are.
            (LeaseState::Inherited, _) => None,
            (LeaseState::Valid, None) if context.has_orders => self.clean_up(id),
            (LeaseState::Valid, None) => None,
            (LeaseState::Valid, Some(order)) if self.has_ended() => {
                self.stop(id, order.checkpointable)
            }
            (LeaseState::Valid, Some(order)) => match order.desired {
                DesiredState::Held => self.prepare(order, context.incarnation),
                DesiredState::Running => self.start(order, context.incarnation),
                DesiredState::Stopped => self.stop_ordered(id, order),
            },
        }
    }

    /// Records that an action was sent.
    pub(crate) fn record_sent(&mut self, action: &TaskAction) {
        self.is_busy = true;
        self.was_unlisted = false;
        match action {
            TaskAction::Prepare { .. } if self.backend == BackendView::Absent => {
                self.backend = BackendView::PrepareSent;
            }
            TaskAction::Start { .. } => self.is_start_sent = true,
            TaskAction::Checkpoint { .. } => self.is_checkpoint_sent = true,
            _ => {}
        }
    }

    /// Records that an action was carried out.
    pub(crate) fn record_done(&mut self, action: &TaskAction) {
        self.is_busy = false;
        match action {
            TaskAction::Prepare { .. } => {
                self.advance_phase(BackendPhase::Held);
                self.set_phase(TaskPhase::Held);
            }
            TaskAction::Start { .. } => {
                self.advance_phase(BackendPhase::Running);
                self.set_phase(TaskPhase::Running);
            }
            TaskAction::Stop { .. } => self.is_stop_done = true,
            _ => {}
        }
    }

    /// Records that the backend server refused an action.
    pub(crate) fn record_refused(&mut self, action: &TaskAction) {
        self.is_busy = false;
        match action {
            TaskAction::Prepare { .. } => {
                self.backend = BackendView::Absent;
                self.end_with(TaskOutcome::NotStarted);
            }
            // If the next list shows that the task runs nevertheless, it is stopped with its gang.
            TaskAction::Start { .. } => self.end_with(TaskOutcome::Lost),
            TaskAction::Stop { .. } => self.is_stop_done = true,
            _ => {}
        }
    }

    /// Records that a fetched answer was truncated, corrupt or that of another task.
    ///
    /// The answer is fetched again until the maximum number of invalid answers is reached.
    pub(crate) fn record_invalid_answer(&mut self) {
        self.is_busy = false;
        self.invalid_answers += 1;
        if self.invalid_answers >= MAX_INVALID_ANSWERS {
            self.end_with(TaskOutcome::Failed(
                "its answer can't be read whole".to_owned(),
            ));
        }
    }

    /// Applies the backend server's list entry for the task; a phase older than the known one is ignored.
    pub(crate) fn apply_listed(&mut self, listed: &BackendTask) {
        self.was_unlisted = false;
        if !self.advance_phase(listed.phase) {
            return;
        }
        let reason = listed.reason.clone().unwrap_or_default();
        match listed.phase {
            BackendPhase::Held => self.set_phase(TaskPhase::Held),
            // A task that is done counts as running until its answer has been fetched.
            BackendPhase::Running | BackendPhase::Done => self.set_phase(TaskPhase::Running),
            BackendPhase::Failed => self.end_with(TaskOutcome::Failed(reason)),
            BackendPhase::Stopped => self.end_with(TaskOutcome::Stopped),
            BackendPhase::NotStarted => self.end_with(TaskOutcome::NotStarted),
        }
    }

    /// Records that a list lacks the task; two such lists in a row end the task.
    ///
    /// A single list may have been taken before the last call was carried out. Lists that arrive while an
    /// action is in flight don't count.
    pub(crate) fn apply_unlisted(&mut self) {
        if self.is_busy || self.backend == BackendView::Absent {
            return;
        }
        if !std::mem::replace(&mut self.was_unlisted, true) {
            return;
        }
        let has_run = self.is_start_sent || self.phase == Some(TaskPhase::Running);
        self.backend = BackendView::Absent;
        self.end_with(match has_run {
            true => TaskOutcome::Lost,
            false => TaskOutcome::NotStarted,
        });
    }

    /// Applies a phase unless it is older than the known one; returns whether it was applied.
    fn advance_phase(&mut self, phase: BackendPhase) -> bool {
        let known = match self.backend {
            BackendView::Known(known) => phase_rank(known),
            _ => 0,
        };
        if phase_rank(phase) < known {
            return false;
        }
        self.backend = BackendView::Known(phase);
        // A task that is listed as held or running after its stop is stopped again.
        self.is_stop_done &= phase_rank(phase) == ENDED_RANK;
        true
    }

    /// Returns a prepare, if the task is new and ordered from this incarnation.
    fn prepare(&self, order: &TaskOrder, incarnation: IncarnationId) -> Option<TaskAction> {
        let is_new = self.phase.is_none() && order.incarnation == incarnation;
        is_new.then_some(TaskAction::Prepare {
            task: order.task,
            shape: order.shape,
        })
    }

    /// Returns a start, if the task is held and ordered from this incarnation.
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
                self.end_with(TaskOutcome::Lost);
                None
            }
            _ => None,
        }
    }

    /// Returns the action that stops an ordered task; one that the backend server lacks ends unstarted.
    fn stop_ordered(&mut self, id: TaskId, order: &TaskOrder) -> Option<TaskAction> {
        if self.backend == BackendView::Absent {
            self.end_with(TaskOutcome::NotStarted);
        }
        self.stop(id, order.checkpointable)
    }

    /// Returns the action that stops a task, with a checkpoint first if the task supports one.
    fn stop(&self, id: TaskId, with_checkpoint: bool) -> Option<TaskAction> {
        let is_running = self.backend == BackendView::Known(BackendPhase::Running);
        match self.may_hold_slot() && !self.is_stop_done {
            true if is_running && with_checkpoint && !self.is_checkpoint_sent => {
                Some(TaskAction::Checkpoint { task: id })
            }
            true => Some(TaskAction::Stop { task: id }),
            false => None,
        }
    }

    /// Returns the action that stops or forgets a task without an order.
    fn clean_up(&self, id: TaskId) -> Option<TaskAction> {
        match self.backend {
            BackendView::Known(phase) if phase_rank(phase) == ENDED_RANK => {
                Some(TaskAction::Forget { task: id })
            }
            _ => self.stop(id, false),
        }
    }
}

/// The rank of the phases of a task that has ended.
const ENDED_RANK: u8 = 2;

/// Returns the rank of a phase; a task never goes back to a lower rank.
fn phase_rank(phase: BackendPhase) -> u8 {
    match phase {
        BackendPhase::Held => 0,
        BackendPhase::Running => 1,
        BackendPhase::Done
        | BackendPhase::Failed
        | BackendPhase::Stopped
        | BackendPhase::NotStarted => ENDED_RANK,
    }
}
