//! A minimal fake of an agent and its backend server.

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

/// An agent that carries out every order completely and immediately.
#[derive(Debug, Default)]
pub(crate) struct FakeAgent {
    pub(crate) incarnation: u64,
    pub(crate) tasks: BTreeMap<TaskId, TaskPhase>,
    starts: BTreeMap<TaskId, u32>,
}

impl FakeAgent {
    /// Brings the tasks to their desired states and returns those that were started.
    pub(crate) fn apply_orders(&mut self, orders: &[TaskOrder]) -> Vec<TaskId> {
        self.tasks.retain(|id, phase| {
            let is_ordered = orders.iter().any(|o| o.task == *id);
            is_ordered || !matches!(phase, TaskPhase::Ended(_))
        });
        let mut started = Vec::new();
        for order in orders {
            assert_eq!(order.incarnation.0, self.incarnation);
            let current = self.tasks.get(&order.task).cloned();
            let next = match (order.desired, &current) {
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

    /// Ends the running task that `pick` selects, if any task is running.
    pub(crate) fn finish(&mut self, pick: usize, fails: bool) {
        let tasks = self.tasks.iter_mut();
        let mut running: Vec<_> = tasks.filter(|(_, p)| **p == TaskPhase::Running).collect();
        let Some(index) = pick.checked_rem(running.len()) else {
            return;
        };
        let (id, phase) = running.swap_remove(index);
        *phase = TaskPhase::Ended(match fails {
            true => TaskOutcome::Failed("broken".to_owned()),
            false => TaskOutcome::Done(samples::answer(*id)),
        });
    }

    /// Stops all tasks, as an agent does when its lease expires.
    pub(crate) fn lose_lease(&mut self) {
        for phase in self.tasks.values_mut() {
            match phase {
                TaskPhase::Held => *phase = TaskPhase::Ended(TaskOutcome::NotStarted),
                TaskPhase::Running => *phase = TaskPhase::Ended(TaskOutcome::Stopped),
                TaskPhase::Ended(_) => {}
            }
        }
    }

    /// Returns the statuses that the agent would report.
    pub(crate) fn statuses(&self) -> Vec<TaskStatus> {
        let statuses = self.tasks.iter().map(|(task, phase)| TaskStatus {
            task: *task,
            phase: phase.clone(),
        });
        statuses.collect()
    }
}
