//! The orders for each agent: the desired state of every task on its worker.

use roseridge_model::{
    TaskId,
    TaskOrder,
    WorkerName, //
};

use crate::{
    JobState,
    LedgerState, //
};

impl LedgerState {
    /// Returns the orders for all tasks of a worker; the agent forgets any task without an order.
    ///
    /// `known` is the index of the newest orders that the agent has received. A payload that was
    /// part of them is left out.
    pub fn orders_for(&self, worker: &WorkerName, known: u64) -> Vec<TaskOrder> {
        let record = self.workers.get(worker).filter(|w| w.live);
        let tasks = record.into_iter().flat_map(|w| &w.tasks);
        tasks
            .filter_map(|task| self.task_order(*task, known))
            .collect()
    }

    /// Returns the order for a task, or `None` if its job is no longer placed.
    fn task_order(&self, task: TaskId, known: u64) -> Option<TaskOrder> {
        let record = self.jobs.get(&task.job)?;
        match &record.state {
            JobState::Placed(gang) => {
                let member = gang.members.get(usize::from(task.member))?;
                Some(TaskOrder {
                    task,
                    incarnation: member.incarnation,
                    desired: gang.desired_state(),
                    shape: record.spec.gang.member,
                    checkpointable: record.rule.checkpointable,
                    payload: (gang.placed_index > known).then(|| record.spec.payload.clone()),
                })
            }
            _ => None,
        }
    }
}
