//! What is placed together: a whole gang, or one task.

use roseridge_flow::{
    FlowRecord,
    StepRecord,
    TaskPhase, //
};
use roseridge_model::{
    QueueRule,
    StepSpec,
    TaskKey,
    UnixMillis, //
};

use crate::DispatchView;

/// What is placed together: a whole gang, or one task.
#[derive(Debug, Clone)]
pub(crate) struct WorkUnit<'a> {
    pub(crate) record: &'a FlowRecord,
    pub(crate) spec: &'a StepSpec,
    pub(crate) tasks: Vec<TaskKey>,
}

impl WorkUnit<'_> {
    pub(crate) fn queue(&self) -> &QueueRule {
        &self.record.queue
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.queue().rank == 0
    }
}

/// Returns the units that may be placed now.
pub(crate) fn waiting_units<'a>(view: &DispatchView<'a>) -> Vec<WorkUnit<'a>> {
    let mut units = Vec::new();
    for (flow, record) in view.flows.open_flows() {
        let rounds = (0..).zip(&record.rounds);
        for (round, steps) in rounds.filter(|(_, r)| is_due(r.due, view.now)) {
            for ((step, spec), progress) in (0..).zip(&record.spec.steps).zip(&steps.steps) {
                let key = TaskKey {
                    flow,
                    round,
                    step,
                    index: 0,
                };
                if progress.is_done() || !record.may_begin(key) {
                    continue;
                }
                push_units(&mut units, record, (key, spec), progress);
            }
        }
    }
    units
}

fn is_due(due: Option<UnixMillis>, now: UnixMillis) -> bool {
    due.is_none_or(|due| due <= now)
}

fn push_units<'a>(
    units: &mut Vec<WorkUnit<'a>>,
    record: &'a FlowRecord,
    (key, spec): (TaskKey, &'a StepSpec),
    progress: &StepRecord,
) {
    let waiting = (0..).zip(&progress.tasks);
    let waiting = waiting.filter(|(_, task)| task.phase == TaskPhase::Waiting);
    let waiting: Vec<_> = waiting.map(|(index, _)| TaskKey { index, ..key }).collect();
    let unit = |tasks| WorkUnit {
        record,
        spec,
        tasks,
    };
    match spec.gang {
        // A gang begins again only when every member's last run has ended.
        true if waiting.len() == usize::from(spec.count) => units.push(unit(waiting)),
        true => {}
        false => units.extend(waiting.into_iter().map(|task| unit(vec![task]))),
    }
}
