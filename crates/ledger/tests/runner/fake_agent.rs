//! An agent with its backend server, as simple as can be.

use std::collections::BTreeMap;

use roseridge_model::{
    DesiredState,
    TaskId,
    TaskOrder,
    TaskOutcome,
    TaskPhase,
    TaskStatus, //
};

use crate::samples;

/// An agent that follows its orders to the letter and at once.
#[derive(Debug, Default)]
pub(crate) struct FakeAgent {
    pub(crate) incarnation: u64,
    pub(crate) tasks: BTreeMap<TaskId, TaskPhase>,
    starts: BTreeMap<TaskId, u32>,
}

impl FakeAgent {
    /// Brings the tasks to what the orders say; returns those that were started.
    pub(crate) fn follow(&mut self, orders: &[TaskOrder]) -> Vec<TaskId> {
        self.tasks.retain(|id, phase| {
            let is_ordered = orders.iter().any(|o| o.task == *id);
            is_ordered || !matches!(phase, TaskPhase::Ended(_))
        });
        let mut started = Vec::new();
        for order in orders {
            assert_eq!(order.incarnation.0, self.incarnation);
            let known = self.tasks.get(&order.task).cloned();
            let next = match (order.desired, &known) {
                (DesiredState::Held, None) => TaskPhase::Held,
                (DesiredState::Running, Some(TaskPhase::Held)) => {
                    *self.starts.entry(order.task).or_default() += 1;
                    started.push(order.task);
                    TaskPhase::Running
                }
                (DesiredState::Stopped, None | Some(TaskPhase::Held)) => {
                    TaskPhase::Ended(TaskOutcome::NotStarted)
                }
                (DesiredState::Stopped, Some(TaskPhase::Running)) => {
                    TaskPhase::Ended(TaskOutcome::Stopped)
                }
                (DesiredState::Running, None) => TaskPhase::Ended(TaskOutcome::Lost),
                _ => continue,
            };
            self.tasks.insert(order.task, next);
        }
        assert!(self.starts.values().all(|n| *n == 1), "started twice");
        started
    }

    /// Ends one of the running tasks.
    pub(crate) fn finish(&mut self, pick: usize, fails: bool) {
        let tasks = self.tasks.iter_mut();
        let mut running: Vec<_> = tasks.filter(|(_, p)| **p == TaskPhase::Running).collect();
        let Some(at) = pick.checked_rem(running.len()) else {
            return;
        };
        let (id, phase) = running.swap_remove(at);
        *phase = TaskPhase::Ended(match fails {
            true => TaskOutcome::Failed("broken".to_owned()),
            false => TaskOutcome::Done(samples::answer(*id)),
        });
    }

    /// Stops everything, as the lease has run out.
    pub(crate) fn lose_lease(&mut self) {
        for phase in self.tasks.values_mut() {
            match phase {
                TaskPhase::Held => *phase = TaskPhase::Ended(TaskOutcome::NotStarted),
                TaskPhase::Running => *phase = TaskPhase::Ended(TaskOutcome::Stopped),
                TaskPhase::Ended(_) => {}
            }
        }
    }

    /// Returns all that it would report.
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        let statuses = self.tasks.iter().map(|(task, phase)| TaskStatus {
            task: *task,
            phase: phase.clone(),
        });
        statuses.collect()
    }
}
