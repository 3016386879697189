//! What each agent is asked to bring about.

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
    /// Returns all orders of a worker; a task that is absent is to be forgotten.
    ///
    /// A payload is left out when the agent, which holds the orders of the index `known`, has it.
    pub fn orders_for(&self, worker: &WorkerName, known: u64) -> Vec<TaskOrder> {
        let record = self.workers.get(worker).filter(|w| w.live);
        let tasks = record.into_iter().flat_map(|w| &w.tasks);
        tasks.filter_map(|task| self.order(*task, known)).collect()
    }

    fn order(&self, task: TaskId, known: u64) -> Option<TaskOrder> {
        let record = self.jobs.get(&task.job)?;
        match &record.state {
            JobState::Placed(gang) => {
                let member = gang.members.get(usize::from(task.member))?;
                Some(TaskOrder {
                    task,
                    incarnation: member.incarnation,
                    desired: gang.desired(),
                    shape: record.spec.gang.member,
                    checkpointable: record.rule.checkpointable,
                    payload: (gang.placed_index > known).then(|| record.spec.payload.clone()),
                })
            }
            _ => None,
        }
    }
}
