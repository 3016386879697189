//! Acceptance, placement and cancellation of jobs.

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
    HOLD_LIMIT,
    JobRecord,
    JobState,
    LedgerState,
    MemberRecord,
    RefusalReason,
    SpecDigest,
    StopReason, //
};

impl LedgerState {
    pub(crate) fn submit(
        &mut self,
        customer: CustomerName,
        key: RequestKey,
        spec: JobSpec,
    ) -> CommandOutcome {
        let name = (customer, key);
        let known = self.keys.get(&name).copied();
        match known.and_then(|job| Some((job, self.jobs.get(&job)?))) {
            Some((job, record)) if record.digest == SpecDigest::of(&spec) => {
                CommandOutcome::Accepted { job }
            }
            Some((job, _)) => CommandOutcome::Refused(RefusalReason::KeyReused { job }),
            None => match self.admit(&name.0, &spec) {
                Err(reason) => CommandOutcome::Refused(reason),
                Ok(rule) => self.accept(name, spec, rule),
            },
        }
    }

    /// Returns what a submission comes to if that is known without a command: a resend, a key that
    /// was used with another body, or a refusal for load.
    ///
    /// Other refusals rest on the configuration, of which a change may be on its way.
    pub fn preview_submit(
        &self,
        customer: &CustomerName,
        key: &RequestKey,
        spec: &JobSpec,
    ) -> Option<CommandOutcome> {
        let name = (customer.clone(), key.clone());
        let known = self.keys.get(&name).copied();
        match known.and_then(|job| Some((job, self.jobs.get(&job)?))) {
            Some((job, record)) if record.digest == SpecDigest::of(spec) => {
                Some(CommandOutcome::Accepted { job })
            }
            Some((job, _)) => Some(CommandOutcome::Refused(RefusalReason::KeyReused { job })),
            None => match self.admit(customer, spec) {
                Err(reason) if reason.is_for_load() => Some(CommandOutcome::Refused(reason)),
                _ => None,
            },
        }
    }

    /// Returns the rule of a new job's class, if the job may be accepted.
    fn admit(&self, customer: &CustomerName, spec: &JobSpec) -> Result<ClassRule, RefusalReason> {
        self.check_admission(customer, spec)?;
        self.check_memory(customer, spec)?;
        let template = self.templates.get(customer);
        let rule = template.and_then(|t| t.classes.get(&spec.class));
        rule.cloned().ok_or(RefusalReason::UnknownClass)
    }

    /// Tells whether a new job would be accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason why it would not.
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

    fn accept(
        &mut self,
        name: (CustomerName, RequestKey),
        spec: JobSpec,
        rule: ClassRule,
    ) -> CommandOutcome {
        self.last_job = JobId(self.last_job.0 + 1);
        let job = self.last_job;
        let record = JobRecord {
            customer: name.0.clone(),
            key: name.1.clone(),
            digest: SpecDigest::of(&spec),
            spec,
            rule,
            accepted: self.now,
            first_start: None,
            attempt: AttemptNumber(0),
            failures: 0,
            state: JobState::Waiting,
        };
        self.jobs.insert(job, record);
        self.keys.insert(name, job);
        self.tally_accepted(job);
        self.enter_queue(job);
        CommandOutcome::Accepted { job }
    }

    pub(crate) fn cancel(&mut self, customer: &CustomerName, job: JobId) -> CommandOutcome {
        let found = self.jobs.get_mut(&job).filter(|j| j.customer == *customer);
        let Some(record) = found else {
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

    pub(crate) fn follow_decisions(&mut self, decisions: Vec<PolicyDecision>) -> CommandOutcome {
        for decision in decisions {
            match decision {
                PolicyDecision::Place { job, workers } => self.place(job, &workers),
                PolicyDecision::Preempt { job, in_favour_of } if self.may_yield(job) => {
                    self.policy.memory.record_preemption(job, in_favour_of);
                    self.stop_gang(job, StopReason::Yielded { in_favour_of });
                }
                PolicyDecision::Preempt { .. } => {}
                PolicyDecision::Plan(plan) => self.policy.memory.plan = plan,
            }
        }
        CommandOutcome::Applied
    }

    /// Returns whether a gang may be stopped and started again later.
    fn may_yield(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|record| match &record.state {
                JobState::Placed(gang) => gang.released.is_none() || self.is_idempotent(record),
                _ => false,
            })
    }

    /// Gives a waiting job its places, unless they are gone since the decision.
    fn place(&mut self, job: JobId, workers: &[WorkerName]) {
        let fits = self.jobs.get(&job).is_some_and(|record| {
            record.state == JobState::Waiting
                && usize::from(record.spec.gang.members) == workers.len()
                && self.has_room(&record.spec.gang, workers)
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
                end: None,
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
        self.timers.insert((self.now.plus(HOLD_LIMIT), job));
    }

    fn has_room(&self, gang: &GangShape, workers: &[WorkerName]) -> bool {
        workers.iter().all(|name| {
            let wanted = workers.iter().filter(|w| *w == name).count();
            self.workers.get(name).is_some_and(|worker| {
                let (mut free, slots) = self.free_on(worker);
                let fits = (0..wanted).all(|_| {
                    let holds = free.can_hold(&gang.member);
                    free = free.minus(&gang.member);
                    holds
                });
                worker.live
                    && !worker.leaving
                    && !self.is_drained(name)
                    && usize::from(slots) >= wanted
                    && fits
            })
        })
    }

    /// Asks the members of a gang to stop.
    pub(crate) fn stop_gang(&mut self, job: JobId, reason: StopReason) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let JobState::Placed(gang) = &mut record.state else {
            return;
        };
        match &gang.stop {
            // A cancellation outlasts the other reasons, which would start the job again.
            Some(_) if reason != StopReason::Cancelled => return,
            _ => gang.stop = Some(reason),
        }
        let workers: Vec<_> = gang.members.iter().map(|m| m.worker.clone()).collect();
        for worker in &workers {
            self.touch_orders(worker);
        }
    }
}
