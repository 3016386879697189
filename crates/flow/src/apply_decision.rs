//! Application of the scheduler's decisions, each of which is checked against the current state.

use std::collections::BTreeMap;

use roseridge_model::{
    BackendId,
    RunKey,
    TaskKey,
    TaskShape, //
};

use crate::{
    BackendStatus,
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    FlowState,
    PlacementOrder,
    RunRecord,
    StopOrder,
    TaskPhase, //
};

impl FlowState {
    /// Applies the stops and those placements that are still possible.
    pub(crate) fn apply_decision(
        &mut self,
        stops: Vec<StopOrder>,
        places: Vec<PlacementOrder>,
    ) -> FlowOutcome {
        for order in stops {
            self.stop_run(order.run, order.cause);
        }
        for order in places {
            // The state may have changed since the decision; the scheduler then decides anew.
            if self.can_place(&order) {
                self.place(&order);
            }
        }
        FlowOutcome::Applied
    }

    /// Returns whether all tasks are still waiting, their backend servers have the free resources
    /// and none of these is in an evacuated failure domain.
    fn can_place(&self, order: &PlacementOrder) -> bool {
        let mut required = BTreeMap::<&BackendId, TaskShape>::new();
        for (task, backend) in &order.tasks {
            let Some(shape) = self.placeable_shape(*task) else {
                return false;
            };
            let sum = required.entry(backend).or_default();
            *sum = sum.plus(&shape);
        }
        let fits = |(backend, shape): (&&BackendId, &TaskShape)| {
            let record = self.backends.get(*backend);
            record.is_some_and(|r| {
                r.status == BackendStatus::Ready
                    && !self.is_evacuated(r)
                    && r.free().can_hold(shape)
            })
        };
        required.iter().all(fits) && self.is_complete_gang(order)
    }

    /// Returns the resources that a task needs, or `None` if it can't be placed now.
    fn placeable_shape(&self, task: TaskKey) -> Option<TaskShape> {
        let flow = self.flows.get(&task.flow)?;
        let is_waiting = flow.phase == FlowPhase::Open
            && flow.task(task)?.phase == TaskPhase::Waiting
            && flow.can_start(task);
        is_waiting.then(|| flow.step_spec(task).map(|spec| spec.shape))?
    }

    /// Returns whether the order places single tasks, or all members of one gang.
    fn is_complete_gang(&self, order: &PlacementOrder) -> bool {
        let Some((first, _)) = order.tasks.first() else {
            return false;
        };
        let spec = self
            .flows
            .get(&first.flow)
            .and_then(|f| f.step_spec(*first));
        let same_step = |task: &TaskKey| {
            (task.flow, task.round, task.step) == (first.flow, first.round, first.step)
        };
        spec.is_some_and(|spec| {
            !spec.gang
                || (order.tasks.len() == usize::from(spec.count)
                    && order.tasks.iter().all(|(task, _)| same_step(task)))
        })
    }

    /// Places the tasks of an order and starts their runs.
    fn place(&mut self, order: &PlacementOrder) {
        // The members of a gang share the number of their run, which is above all earlier ones.
        let run_number = |task: &TaskKey| {
            let flow = self.flows.get(&task.flow)?;
            Some(flow.task(*task)?.last_run)
        };
        let highest = order
            .tasks
            .iter()
            .filter_map(|(task, _)| run_number(task))
            .max();
        let gang_run = highest.unwrap_or(0) + 1;
        let at = self.now;
        for (task, backend) in &order.tasks {
            let Some(flow) = self.flows.get_mut(&task.flow) else {
                continue;
            };
            let Some((run, shape)) = start_run(flow, *task, backend, gang_run, at) else {
                continue;
            };
            if let Some(record) = self.backends.get_mut(backend) {
                let run_record = RunRecord {
                    shape,
                    placed: at,
                    stop: None,
                };
                record.runs.insert(run, run_record);
            }
            self.mark_orders_changed(backend);
        }
    }
}

/// Moves a task to a new run on a backend server; returns the run and the resources that it uses.
fn start_run(
    flow: &mut FlowRecord,
    task: TaskKey,
    backend: &BackendId,
    gang_run: u32,
    at: roseridge_model::UnixMillis,
) -> Option<(RunKey, TaskShape)> {
    let spec = flow.step_spec(task)?;
    let (shape, is_gang) = (spec.shape, spec.gang);
    let record = flow
        .step_mut(task)?
        .tasks
        .get_mut(usize::from(task.index))?;
    let run = match is_gang {
        true => gang_run,
        false => record.last_run + 1,
    };
    record.last_run = run;
    record.phase = TaskPhase::Placed {
        run,
        backend: backend.clone(),
        at,
    };
    Some((RunKey { task, run }, shape))
}
