//! The room of the backend servers while decisions are taken.

use roseridge_flow::{
    BackendPresence,
    BackendRecord, //
};
use roseridge_model::{
    BackendId,
    TaskKey,
    TaskShape, //
};

use crate::{
    DispatchView,
    work_unit::WorkUnit, //
};

/// The room of one backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendRoom<'a> {
    pub(crate) id: &'a BackendId,
    pub(crate) record: &'a BackendRecord,
    /// What nothing takes.
    pub(crate) free: TaskShape,
    /// What is being given back by runs that were told to stop.
    pub(crate) returning: TaskShape,
    /// The tasks placed in this round of decisions.
    pub(crate) placed: Vec<TaskKey>,
}

impl BackendRoom<'_> {
    /// Returns how many of a unit's tasks the step's spread limit still allows here.
    pub(crate) fn spread_left(&self, unit: &WorkUnit<'_>) -> usize {
        let Some(limit) = unit.spec.spread_limit else {
            return usize::MAX;
        };
        let same_step = |task: &&TaskKey| {
            let first = &unit.tasks[0];
            (task.flow, task.round, task.step) == (first.flow, first.round, first.step)
        };
        let held = self.record.runs.keys().map(|run| &run.task);
        let used = held.chain(&self.placed).filter(same_step).count();
        usize::from(limit).saturating_sub(used)
    }

    /// Returns whether the labels and the kind allow a unit here.
    pub(crate) fn suits(&self, unit: &WorkUnit<'_>) -> bool {
        let profile = &self.record.profile;
        let label = unit.spec.label.as_ref();
        profile.service == unit.queue().service
            && label.is_none_or(|label| profile.labels.contains(label))
    }

    /// Returns how many tasks of a shape fit into `room`, at most `wanted`.
    pub(crate) fn fitting(room: &TaskShape, shape: &TaskShape, wanted: usize) -> usize {
        let mut left = *room;
        let mut count = 0;
        while count < wanted && left.holds(shape) {
            left = left.minus(shape);
            count += 1;
        }
        count
    }
}

/// Returns the room of every backend server that may receive work.
pub(crate) fn open_rooms<'a>(view: &DispatchView<'a>) -> Vec<BackendRoom<'a>> {
    let backends = view.flows.backends.iter();
    let open = backends
        .filter(|(id, record)| record.presence == BackendPresence::Ready && view.is_in_contact(id));
    open.map(|(id, record)| {
        let stopping = record.runs.values().filter(|run| run.stop.is_some());
        let returning = stopping.fold(TaskShape::default(), |sum, run| sum.plus(&run.shape));
        BackendRoom {
            id,
            record,
            free: record.free(),
            returning,
            placed: Vec::new(),
        }
    })
    .collect()
}
