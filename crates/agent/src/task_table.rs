//! The agent's state for its tasks, and the actions and reports made from it.

use std::collections::BTreeMap;

use roseridge_model::{
    AnswerBody,
    IncarnationId,
    TaskId,
    TaskOrder,
    TaskOutcome,
    TaskPhase,
    TaskStatus,
    answer::MAX_ANSWER_BYTES,
    backend_api::BackendList, //
};

use crate::{
    LeaseState,
    TaskAction, //
    local_task::{
        ActionContext,
        BackendView,
        LocalTask, //
    },
};

/// The current limits of the backend server.
#[derive(Debug, Clone, Copy)]
pub struct BackendLimits {
    /// The maximum number of tasks that hold a slot at the same time.
    pub slots: usize,
    /// The maximum number of concurrent calls.
    pub calls: usize,
}

/// The orders for the agent's tasks and the known state of each task.
#[derive(Debug)]
pub struct TaskTable {
    incarnation: IncarnationId,
    orders_index: u64,
    orders: BTreeMap<TaskId, TaskOrder>,
    tasks: BTreeMap<TaskId, LocalTask>,
}

impl TaskTable {
    /// Creates an empty table for an incarnation of the agent.
    pub fn new(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            orders_index: 0,
            orders: BTreeMap::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Starts a new incarnation of the agent, which reports all tasks and receives all orders again.
    pub fn start_incarnation(&mut self, incarnation: IncarnationId) {
        self.incarnation = incarnation;
        self.orders_index = 0;
        self.orders.clear();
        self.reset_acknowledgements();
    }

    /// Returns the index of the current orders, or 0 before the first ones.
    pub fn orders_index(&self) -> u64 {
        self.orders_index
    }

    /// Returns whether the table has neither orders nor tasks.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.tasks.is_empty()
    }

    /// Applies new orders; orders that are not newer than the current ones are ignored.
    pub fn apply_orders(&mut self, index: u64, orders: Vec<TaskOrder>) {
        if index <= self.orders_index {
            return;
        }
        self.orders_index = index;
        let mut previous = std::mem::take(&mut self.orders);
        for mut order in orders {
            // The leader omits the payloads that this agent has already received.
            let known = previous.remove(&order.task);
            order.payload = order.payload.or_else(|| known.and_then(|o| o.payload));
            self.orders.insert(order.task, order);
        }
    }

    /// Returns the actions that are due at the backend server, at most one at a time for each task.
    ///
    /// Without a lease every task is stopped, and none is prepared or started.
    pub fn next_actions(&mut self, lease: LeaseState, limits: BackendLimits) -> Vec<TaskAction> {
        for task in self.orders.keys() {
            self.tasks.entry(*task).or_default();
        }
        let mut open_calls = self.tasks.values().filter(|t| t.is_busy).count();
        let mut used_slots = self.tasks.values().filter(|t| t.may_hold_slot()).count();
        let mut actions = Vec::new();
        for (id, task) in self.tasks.iter_mut().filter(|(_, t)| !t.is_busy) {
            let context = ActionContext {
                order: self.orders.get(id),
                incarnation: self.incarnation,
                lease,
                has_orders: self.orders_index > 0,
            };
            let held_slot_before = task.may_hold_slot();
            match task.next_action(*id, context) {
                _ if open_calls >= limits.calls => break,
                Some(TaskAction::Prepare { .. })
                    if !held_slot_before && used_slots >= limits.slots => {}
                Some(action) => {
                    task.record_sent(&action);
                    open_calls += 1;
                    used_slots += usize::from(!held_slot_before && task.may_hold_slot());
                    actions.push(action);
                }
                None => {}
            }
        }
        self.drop_finished(lease);
        actions
    }

    /// Drops the tasks that neither the orders nor the backend server contain.
    fn drop_finished(&mut self, lease: LeaseState) {
        if lease != LeaseState::Valid || self.orders_index == 0 {
            return;
        }
        let orders = &self.orders;
        self.tasks.retain(|id, task| {
            task.is_busy || task.backend != BackendView::Absent || orders.contains_key(id)
        });
    }

    /// Records that the backend server carried out an action.
    pub fn action_done(&mut self, action: &TaskAction) {
        match (action, self.tasks.get_mut(&action.task())) {
            (TaskAction::Forget { task }, _) => {
                self.tasks.remove(task);
            }
            (action, Some(task)) => task.record_done(action),
            (_, None) => {}
        }
    }

    /// Records that the backend server refused an action; the refusal is final.
    pub fn action_refused(&mut self, action: &TaskAction) {
        if let Some(task) = self.tasks.get_mut(&action.task()) {
            task.record_refused(action);
        }
    }

    /// Records that an action had no answer; it is retried, unless it is a checkpoint.
    pub fn action_failed(&mut self, action: &TaskAction) {
        if let Some(task) = self.tasks.get_mut(&action.task()) {
            task.is_busy = false;
        }
    }

    /// Applies the answer of a task that is done; an answer that exceeds the limit fails the task.
    pub fn apply_answer(&mut self, id: TaskId, body: AnswerBody) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        task.is_busy = false;
        task.end_with(match body.text.len() {
            length if length > MAX_ANSWER_BYTES => TaskOutcome::Failed(format!(
                "its answer has {length} bytes, over the limit of {MAX_ANSWER_BYTES}"
            )),
            _ => TaskOutcome::Done(body),
        });
    }

    /// Fails a task whose answer exceeds the limit and was not read.
    pub fn record_oversized_answer(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_busy = false;
            task.end_with(TaskOutcome::Failed(format!(
                "its answer is over the limit of {MAX_ANSWER_BYTES} bytes"
            )));
        }
    }

    /// Records that a fetched answer was truncated, corrupt or that of another task.
    ///
    /// The answer is fetched again up to a maximum number of times.
    pub fn record_invalid_answer(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.record_invalid_answer();
        }
    }

    /// Applies the backend server's list of its tasks.
    pub fn apply_list(&mut self, list: &BackendList) {
        for listed in &list.tasks {
            self.tasks
                .entry(listed.task)
                .or_default()
                .apply_listed(listed);
        }
        for (id, task) in &mut self.tasks {
            if !list.tasks.iter().any(|listed| listed.task == *id) {
                task.apply_unlisted();
            }
        }
    }

    /// Returns whether a task has a phase that has not been reported yet.
    pub fn has_unreported_phases(&self) -> bool {
        self.tasks
            .values()
            .any(|t| t.phase.is_some() && t.reported_in.is_none())
    }

    /// Returns every phase that the leader has not acknowledged, for the report numbered `sequence`.
    pub fn report(&mut self, sequence: u64) -> Vec<TaskStatus> {
        let mut statuses = Vec::new();
        for (id, task) in &mut self.tasks {
            let Some(phase) = task.phase.clone() else {
                continue;
            };
            if task.reported_in != Some(0) {
                task.reported_in.get_or_insert(sequence);
                statuses.push(TaskStatus { task: *id, phase });
            }
        }
        statuses
    }

    /// Records that the leader has committed every report up to `sequence`.
    pub fn acknowledge(&mut self, sequence: u64) {
        for task in self.tasks.values_mut() {
            if task.reported_in.is_some_and(|report| report <= sequence) {
                // Reports are numbered from one, so that zero can mark an acknowledged phase.
                task.reported_in = Some(0);
            }
        }
    }

    /// Makes every phase due again, for a leader that does not know this incarnation of the agent.
    pub fn reset_acknowledgements(&mut self) {
        for task in self.tasks.values_mut() {
            task.reported_in = None;
        }
    }

    /// Returns the newest phase of a task, which the agent reports to the leader.
    pub fn phase(&self, id: TaskId) -> Option<&TaskPhase> {
        self.tasks.get(&id)?.phase.as_ref()
    }
}
