//! What the agent knows of its tasks, and what follows from it.

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
    LeaseState, //
    TaskAction,
    local_task::{
        ActScope,
        BackendView,
        LocalTask, //
    },
};

/// How much the backend server takes at once.
#[derive(Debug, Clone, Copy)]
pub struct BackendLimits {
    /// The tasks that may hold a slot at the same time.
    pub slots: usize,
    /// The calls that may be open at the same time.
    pub calls: usize,
}

/// The agent's tasks: what is wanted of each and what is known of it.
#[derive(Debug)]
pub struct TaskTable {
    incarnation: IncarnationId,
    orders_index: u64,
    orders: BTreeMap<TaskId, TaskOrder>,
    tasks: BTreeMap<TaskId, LocalTask>,
}

impl TaskTable {
    /// Makes an empty book for a life of the agent.
    pub fn new(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            orders_index: 0,
            orders: BTreeMap::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Begins another life of the agent, which announces all of its tasks and takes all orders anew.
    pub fn start_life(&mut self, incarnation: IncarnationId) {
        self.incarnation = incarnation;
        self.orders_index = 0;
        self.orders.clear();
        self.forget_acknowledgements();
    }

    /// Returns the index of the orders that are held.
    pub fn orders_index(&self) -> u64 {
        self.orders_index
    }

    /// Returns whether no task is ordered or known.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.tasks.is_empty()
    }

    /// Takes new orders; older ones than those held are ignored.
    pub fn take_orders(&mut self, index: u64, orders: Vec<TaskOrder>) {
        if index <= self.orders_index {
            return;
        }
        self.orders_index = index;
        let mut held = std::mem::take(&mut self.orders);
        for mut order in orders {
            // The leader leaves out the payloads that this agent has received before.
            let known = held.remove(&order.task);
            order.payload = order.payload.or_else(|| known.and_then(|o| o.payload));
            self.orders.insert(order.task, order);
        }
    }

    /// Returns what to ask of the backend server now; each task has one action at a time.
    ///
    /// Without a lease every task is to stop and none may be prepared or started.
    pub fn next_actions(&mut self, lease: LeaseState, limits: BackendLimits) -> Vec<TaskAction> {
        for task in self.orders.keys() {
            self.tasks.entry(*task).or_default();
        }
        let mut busy = self.tasks.values().filter(|t| t.busy).count();
        let mut places = self.tasks.values().filter(|t| t.may_hold_place()).count();
        let mut actions = Vec::new();
        for (id, task) in self.tasks.iter_mut().filter(|(_, t)| !t.busy) {
            let scope = ActScope {
                order: self.orders.get(id),
                incarnation: self.incarnation,
                lease,
                has_orders: self.orders_index > 0,
            };
            let held_before = task.may_hold_place();
            match task.next_action(*id, scope) {
                _ if busy >= limits.calls => break,
                Some(TaskAction::Prepare { .. }) if !held_before && places >= limits.slots => {}
                Some(action) => {
                    task.begin(&action);
                    busy += 1;
                    places += usize::from(!held_before && task.may_hold_place());
                    actions.push(action);
                }
                None => {}
            }
        }
        self.drop_cleared(lease);
        actions
    }

    /// Drops the tasks that neither the leader nor the backend server has.
    fn drop_cleared(&mut self, lease: LeaseState) {
        if lease != LeaseState::Held || self.orders_index == 0 {
            return;
        }
        let orders = &self.orders;
        self.tasks.retain(|id, task| {
            task.busy || task.backend != BackendView::Absent || orders.contains_key(id)
        });
    }

    /// Notes that the backend server did what it was asked.
    pub fn action_done(&mut self, action: &TaskAction) {
        match (action, self.tasks.get_mut(&action.task())) {
            (TaskAction::Forget { task }, _) => {
                self.tasks.remove(task);
            }
            (action, Some(task)) => task.finish(action),
            (_, None) => {}
        }
    }

    /// Notes that the backend server refused an action, for good.
    pub fn action_refused(&mut self, action: &TaskAction) {
        if let Some(task) = self.tasks.get_mut(&action.task()) {
            task.refuse(action);
        }
    }

    /// Notes that an action had no answer; it is tried again, but for a checkpoint.
    pub fn action_failed(&mut self, action: &TaskAction) {
        if let Some(task) = self.tasks.get_mut(&action.task()) {
            task.busy = false;
        }
    }

    /// Takes the answer of a task that is done, or fails the task if the answer is too long.
    pub fn take_answer(&mut self, id: TaskId, body: AnswerBody) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        task.busy = false;
        task.end(match body.text.len() {
            length if length > MAX_ANSWER_BYTES => TaskOutcome::Failed(format!(
                "its answer has {length} bytes, over the limit of {MAX_ANSWER_BYTES}"
            )),
            _ => TaskOutcome::Done(body),
        });
    }

    /// Notes that the answer of a task is too long to be read.
    pub fn take_long_answer(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.busy = false;
            task.end(TaskOutcome::Failed(format!(
                "its answer is over the limit of {MAX_ANSWER_BYTES} bytes"
            )));
        }
    }

    /// Notes that an answer came cut, damaged or of another task; it is fetched again a few times.
    pub fn take_bad_answer(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.take_bad_answer();
        }
    }

    /// Takes the backend server's list of its tasks.
    pub fn take_list(&mut self, list: &BackendList) {
        for listed in &list.tasks {
            self.tasks
                .entry(listed.task)
                .or_default()
                .take_listed(listed);
        }
        for (id, task) in &mut self.tasks {
            if !list.tasks.iter().any(|listed| listed.task == *id) {
                task.take_unlisted();
            }
        }
    }

    /// Returns whether a phase has not been reported yet.
    pub fn has_news(&self) -> bool {
        self.tasks
            .values()
            .any(|t| t.phase.is_some() && t.told_in.is_none())
    }

    /// Returns every phase that the leader has not acknowledged, for the report with a number.
    pub fn report(&mut self, sequence: u64) -> Vec<TaskStatus> {
        let mut statuses = Vec::new();
        for (id, task) in &mut self.tasks {
            let Some(phase) = task.phase.clone() else {
                continue;
            };
            if task.told_in != Some(0) {
                task.told_in.get_or_insert(sequence);
                statuses.push(TaskStatus { task: *id, phase });
            }
        }
        statuses
    }

    /// Notes that the leader has committed every report up to a number.
    pub fn acknowledge(&mut self, sequence: u64) {
        for task in self.tasks.values_mut() {
            if task.told_in.is_some_and(|told| told <= sequence) {
                // Zero stands for acknowledged; reports are numbered from one.
                task.told_in = Some(0);
            }
        }
    }

    /// Reports everything again, to a leader that does not know this life of the agent.
    pub fn forget_acknowledgements(&mut self) {
        for task in self.tasks.values_mut() {
            task.told_in = None;
        }
    }

    /// Returns where a task stands, as the next report tells it.
    pub fn phase(&self, id: TaskId) -> Option<&TaskPhase> {
        self.tasks.get(&id)?.phase.as_ref()
    }
}
