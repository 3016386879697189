//! The view of the state that the scheduler's decisions are computed from.

use roseridge_model::{
    FastMap,
    ResourceShape,
    UnixMillis, //
};
use roseridge_policy::{
    ClusterView,
    PlacedGang,
    WaitingJob,
    WorkerView, //
};

use crate::{
    JobRecord,
    JobState,
    LedgerState,
    WorkerRecord, //
};

impl LedgerState {
    /// Returns the free resources and slots of a worker.
    pub(crate) fn free_capacity(&self, worker: &WorkerRecord) -> (ResourceShape, u16) {
        let mut free = worker.shape.total;
        for task in &worker.tasks {
            if let Some(record) = self.jobs.get(&task.job) {
                free = free.minus(&record.spec.gang.member);
            }
        }
        let used = u16::try_from(worker.tasks.len()).unwrap_or(u16::MAX);
        (free, worker.shape.slots.saturating_sub(used))
    }

    /// Returns the cluster as the scheduler sees it at the time `now`.
    pub fn view(&self, now: UnixMillis) -> ClusterView<'_> {
        let positions: FastMap<_, _> = self.workers.keys().zip(0usize..).collect();
        let mut view = ClusterView {
            now,
            templates: &self.templates,
            memory: &self.policy.memory,
            workers: Vec::with_capacity(self.workers.len()),
            waiting: Vec::new(),
            placed: Vec::new(),
        };
        for (name, worker) in &self.workers {
            let (free, free_slots) = self.free_capacity(worker);
            view.workers.push(WorkerView {
                name,
                shape: &worker.shape,
                free,
                free_slots,
                schedulable: worker.live && !worker.leaving && !self.is_drained(name),
            });
        }
        let open_jobs = self.open_jobs.iter();
        for (job, record) in open_jobs.filter_map(|job| Some((job, self.jobs.get(job)?))) {
            let rule = self.effective_rule(record);
            match &record.state {
                JobState::Waiting => view.waiting.push(WaitingJob {
                    job: *job,
                    customer: &record.customer,
                    class: &record.spec.class,
                    rule,
                    gang: &record.spec.gang,
                    accepted: record.accepted,
                    declared_run: record.spec.declared_run_ms,
                }),
                JobState::Placed(gang) => {
                    let open = gang.members.iter().filter(|m| m.outcome.is_none());
                    view.placed.push(PlacedGang {
                        job: *job,
                        customer: &record.customer,
                        class: &record.spec.class,
                        rule,
                        gang: &record.spec.gang,
                        workers: open
                            .filter_map(|m| positions.get(&m.worker))
                            .copied()
                            .collect(),
                        declared_run: record.spec.declared_run_ms,
                        placed: gang.placed,
                        released: gang.released.is_some(),
                        stopping: gang.stop.is_some(),
                    });
                }
                JobState::Ended { .. } => {}
            }
        }
        view
    }

    /// Returns the current rule of a job's class, or the rule at the time of acceptance if the
    /// class was removed or only the current rule makes the job idempotent.
    fn effective_rule<'a>(&'a self, record: &'a JobRecord) -> &'a roseridge_model::ClassRule {
        let template = self.templates.get(&record.customer);
        let rule = template.and_then(|t| t.classes.get(&record.spec.class));
        let rule = rule.filter(|rule| record.rule.idempotent || !rule.idempotent);
        rule.unwrap_or(&record.rule)
    }
}
