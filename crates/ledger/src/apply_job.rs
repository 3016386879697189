//! Admission, placement and cancellation of jobs.

use roseridge_model::{
    AttemptNumber,
    ClassRule,
    CustomerName,
    GangShape,
    JobId,
    JobOutcome,
    JobSpec,
    RequestKey,
    TaskId,
    WorkerName, //
};
use roseridge_policy::PolicyDecision;

use crate::{
    CommandOutcome,
    GangRecord,
    HOLD_TIMEOUT,
    JobRecord,
    JobState,
    LedgerState,
    MemberRecord,
    RefusalReason,
    SpecDigest,
    StopReason, //
};

impl LedgerState {
    /// Accepts a new job, or returns the outcome of an earlier submission with the same key.
    pub(crate) fn submit(
        &mut self,
        customer: CustomerName,
        key: RequestKey,
        spec: JobSpec,
    ) -> CommandOutcome {
        let request = (customer, key);
        let known_job = self.keys.get(&request).copied();
        match known_job.and_then(|job| Some((job, self.jobs.get(&job)?))) {
            Some((job, record)) if record.digest == SpecDigest::from_spec(&spec) => {
                CommandOutcome::Accepted { job }
            }
            Some((job, _)) => CommandOutcome::Refused(RefusalReason::KeyReused { job }),
            None => match self.admit(&request.0, &spec) {
                Err(reason) => CommandOutcome::Refused(reason),
                Ok(rule) => self.accept(request, spec, rule),
            },
        }
    }

    /// Returns the outcome of a submission if it is known without a command: a resend, a key that
    /// was used with another body, or a refusal because of overload.
    ///
    /// Returns `None` for other refusals: they depend on the configuration, of which a change may
    /// be pending.
    pub fn preview_submit(
        &self,
        customer: &CustomerName,
        key: &RequestKey,
        spec: &JobSpec,
    ) -> Option<CommandOutcome> {
        let request = (customer.clone(), key.clone());
        let known_job = self.keys.get(&request).copied();
        match known_job.and_then(|job| Some((job, self.jobs.get(&job)?))) {
            Some((job, record)) if record.digest == SpecDigest::from_spec(spec) => {
                Some(CommandOutcome::Accepted { job })
            }
            Some((job, _)) => Some(CommandOutcome::Refused(RefusalReason::KeyReused { job })),
            None => match self.admit(customer, spec) {
                Err(reason) if reason.is_overload() => Some(CommandOutcome::Refused(reason)),
                _ => None,
            },
        }
    }

    /// Returns the rule of a new job's class, or the reason why the job is refused.
    fn admit(&self, customer: &CustomerName, spec: &JobSpec) -> Result<ClassRule, RefusalReason> {
        self.check_admission(customer, spec)?;
        self.check_memory(customer, spec)?;
        let template = self.templates.get(customer);
        let rule = template.and_then(|t| t.classes.get(&spec.class));
        rule.cloned().ok_or(RefusalReason::UnknownClass)
    }

    /// Checks a new job against its customer's template, its queue and rate limits and the size of
    /// the cluster.
    ///
    /// # Errors
    ///
    /// Returns the reason why the job would be refused.
    pub fn check_admission(
        &self,
        customer: &CustomerName,
        spec: &JobSpec,
    ) -> Result<(), RefusalReason> {
        let template = self
            .templates
            .get(customer)
            .ok_or(RefusalReason::UnknownCustomer)?;
        match spec.gang.members {
            _ if !template.classes.contains_key(&spec.class) => Err(RefusalReason::UnknownClass),
            members if !(1..=GangShape::MAX_MEMBERS).contains(&members) => {
                Err(RefusalReason::InvalidGangSize)
            }
            _ => self.check_limits(template, spec),
        }
    }

    /// Records a job that passed admission and queues it.
    fn accept(
        &mut self,
        request: (CustomerName, RequestKey),
        spec: JobSpec,
        rule: ClassRule,
    ) -> CommandOutcome {
        self.last_job = JobId(self.last_job.0 + 1);
        let job = self.last_job;
        let record = JobRecord {
            customer: request.0.clone(),
            key: request.1.clone(),
            digest: SpecDigest::from_spec(&spec),
            spec,
            rule,
            accepted: self.now,
            first_start: None,
            attempt: AttemptNumber(0),
            failures: 0,
            state: JobState::Waiting,
        };
        self.jobs.insert(job, record);
        self.keys.insert(request, job);
        self.count_accepted(job);
        self.count_against_limits(job);
        CommandOutcome::Accepted { job }
    }

    /// Ends a waiting job, or stops the gang of a placed one.
    pub(crate) fn cancel(&mut self, customer: &CustomerName, job: JobId) -> CommandOutcome {
        let owned = self.jobs.get_mut(&job).filter(|j| j.customer == *customer);
        let Some(record) = owned else {
            return CommandOutcome::Refused(RefusalReason::UnknownJob);
        };
        match &record.state {
            JobState::Ended { .. } => CommandOutcome::Refused(RefusalReason::JobEnded),
            JobState::Waiting => {
                let outcome = match record.first_start {
                    None => JobOutcome::NotRun("cancelled before its start".to_owned()),
                    Some(_) => JobOutcome::Cancelled,
                };
                self.end_job(job, outcome);
                CommandOutcome::Applied
            }
            JobState::Placed(_) => {
                self.stop_gang(job, StopReason::Cancelled);
                CommandOutcome::Applied
            }
        }
    }

    /// Applies the scheduler's decisions in order, and skips those that no longer apply.
    pub(crate) fn apply_decisions(&mut self, decisions: Vec<PolicyDecision>) -> CommandOutcome {
        for decision in decisions {
            match decision {
                PolicyDecision::Place { job, workers } => self.place_gang(job, &workers),
                PolicyDecision::Preempt { job, in_favour_of } if self.is_preemptible(job) => {
                    self.policy.memory.record_preemption(job, in_favour_of);
                    self.stop_gang(job, StopReason::Preempted { in_favour_of });
                }
                PolicyDecision::Preempt { .. } => {}
                PolicyDecision::Plan(plan) => self.policy.memory.plan = plan,
            }
        }
        CommandOutcome::Applied
    }

    /// Returns whether a job is placed and may be started again after a preemption: its gang is not
    /// released yet or the job is idempotent.
    fn is_preemptible(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|record| match &record.state {
                JobState::Placed(gang) => gang.released.is_none() || self.is_idempotent(record),
                _ => false,
            })
    }

    /// Places a waiting job on the workers, unless they lost the capacity since the decision.
    fn place_gang(&mut self, job: JobId, workers: &[WorkerName]) {
        let fits = self.jobs.get(&job).is_some_and(|record| {
            record.state == JobState::Waiting
                && usize::from(record.spec.gang.members) == workers.len()
                && self.has_capacity(&record.spec.gang, workers)
        });
        let Some(record) = self.jobs.get_mut(&job).filter(|_| fits) else {
            return;
        };
        record.attempt = AttemptNumber(record.attempt.0 + 1);
        let attempt = record.attempt;
        let mut members = Vec::with_capacity(workers.len());
        for (member, name) in (0u16..).zip(workers) {
            let Some(worker) = self.workers.get_mut(name) else {
                return;
            };
            worker.orders_index = self.applied;
            worker.tasks.insert(TaskId {
                job,
                attempt,
                member,
            });
            members.push(MemberRecord {
                worker: name.clone(),
                incarnation: worker.incarnation,
                held: false,
                outcome: None,
            });
        }
        let gang = GangRecord {
            members,
            placed: self.now,
            placed_index: self.applied,
            released: None,
            stop: None,
        };
        self.policy.memory.record_placement(job);
        self.set_state(job, JobState::Placed(gang));
        self.timers.insert((self.now.plus(HOLD_TIMEOUT), job));
    }

    /// Returns whether the workers can take the members of a gang, one member per entry of
    /// `workers`.
    fn has_capacity(&self, gang: &GangShape, workers: &[WorkerName]) -> bool {
        workers.iter().all(|name| {
            let required = workers.iter().filter(|w| *w == name).count();
            self.workers.get(name).is_some_and(|worker| {
                let (mut free, slots) = self.free_capacity(worker);
                let fits = (0..required).all(|_| {
                    let holds = free.can_hold(&gang.member);
                    free = free.minus(&gang.member);
                    holds
                });
                worker.live
                    && !worker.leaving
                    && !self.is_drained(name)
                    && usize::from(slots) >= required
                    && fits
            })
        })
    }

    /// Orders the members of a gang to stop; has no effect on a job that is not placed.
    pub(crate) fn stop_gang(&mut self, job: JobId, reason: StopReason) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Placed(gang) = &mut record.state else {
            return;
        };
        match &gang.stop {
            // A cancellation replaces any other reason, which could start the job again.
            Some(_) if reason != StopReason::Cancelled => return,
            _ => gang.stop = Some(reason),
        }
        let workers: Vec<_> = gang.members.iter().map(|m| m.worker.clone()).collect();
        for worker in &workers {
            self.mark_orders_changed(worker);
        }
    }
}
