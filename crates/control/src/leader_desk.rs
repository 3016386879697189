//! What only the leader keeps, in memory: leases, waiting callers and the scheduler's progress.

use std::collections::BTreeMap;

use futures::channel::oneshot;
use roseridge_ledger::{
    CommandOutcome,
    JobState,
    LedgerChange,
    LedgerState, //
};
use roseridge_model::{
    CustomerName,
    FastSet,
    FlowId,
    IncarnationId,
    JobId,
    RequestKey,
    UnixMillis,
    WorkerName, //
};
use roseridge_policy::decide;
use roseridge_quorum::{
    LogIndex,
    TermNumber, //
};
use roseridge_wire::{
    CallError,
    ControlReply, //
};

use crate::{
    FlowTiming,
    LeaseTiming,
    control_calls::job_reply,
    flow_calls::flow_reply,
    flow_desk::FlowDesk,
    lease_table::LeaseTable,
    relay_desk::RelayDesk,
    rollout_desk::RolloutDesk,
    views::job_view, //
};

/// The time between two rounds of decisions when nothing changed, in milliseconds.
const DECIDE_INTERVAL_MS: u64 = 1_000;

/// Callers that may wait for the end of a job.
const MAX_WAITERS: usize = 8_192;

pub(crate) type ReplySender = oneshot::Sender<Result<ControlReply, CallError>>;

/// A proposal that waits for its commit.
#[derive(Debug)]
pub(crate) enum ProposalOwner {
    /// A call that is answered with the outcome.
    Caller(ReplySender),
    /// A submission with its key, whose caller is answered with the outcome.
    Submission((CustomerName, RequestKey), ReplySender),
    /// A part of a relay's report.
    Relay(u64),
    /// The scheduler.
    Scheduler,
    /// The leases.
    Lease,
    /// What has become due.
    Expiry,
    /// A caller or operator of flows, with the flow that is being submitted.
    Flow(Option<FlowId>, ReplySender),
    /// The scheduler of flows.
    FlowScheduler,
    /// Flows and backend servers that are to be forgotten.
    FlowExpiry,
}

/// A caller that waits for the end of a job.
#[derive(Debug)]
struct JobWaiter {
    customer: Option<CustomerName>,
    job: JobId,
    until_ms: u64,
    reply: ReplySender,
}

/// What only the leader keeps.
#[derive(Debug)]
pub(crate) struct LeaderDesk {
    leases: LeaseTable,
    started: (UnixMillis, u64),
    proposals: BTreeMap<LogIndex, (TermNumber, ProposalOwner)>,
    submitting: FastSet<(CustomerName, RequestKey)>,
    waiters: Vec<JobWaiter>,
    pub(crate) relays: RelayDesk,
    pub(crate) rollout: RolloutDesk,
    pub(crate) flows: FlowDesk,
    deciding: bool,
    expiring: bool,
    decided_at: (u64, u64),
}

impl LeaderDesk {
    /// Starts a term; every lease counts as renewed now, since an older leader may have done so.
    pub(crate) fn new(
        (lease, flows): (LeaseTiming, FlowTiming),
        ledger: &LedgerState,
        wall: UnixMillis,
        now_ms: u64,
    ) -> Self {
        let mut leases = LeaseTable::new(lease.lease_ms + lease.margin_ms);
        for (name, worker) in ledger.workers.iter().filter(|(_, w)| w.live) {
            leases.start(name, worker.incarnation, now_ms);
        }
        Self {
            leases,
            started: (wall.max(ledger.now), now_ms),
            proposals: BTreeMap::new(),
            submitting: FastSet::default(),
            waiters: Vec::new(),
            relays: RelayDesk::default(),
            rollout: RolloutDesk::new(ledger),
            flows: FlowDesk::new(flows, &ledger.flows, now_ms),
            deciding: false,
            expiring: false,
            decided_at: (0, 0),
        }
    }

    pub(crate) fn expect(&mut self, index: LogIndex, term: TermNumber, owner: ProposalOwner) {
        if let ProposalOwner::Submission(name, _) = &owner {
            self.submitting.insert(name.clone());
        }
        self.proposals.insert(index, (term, owner));
    }

    /// Returns whether a submission with this key waits for its commit.
    pub(crate) fn is_submitting(&self, name: &(CustomerName, RequestKey)) -> bool {
        self.submitting.contains(name)
    }

    /// Hands the outcome of an applied entry to whoever proposed it.
    pub(crate) fn settle(&mut self, index: LogIndex, term: TermNumber, outcome: &CommandOutcome) {
        let Some((proposed, owner)) = self.proposals.remove(&index) else {
            return;
        };
        let is_ours = proposed == term;
        match owner {
            ProposalOwner::Caller(reply) => {
                // A caller that has gone away asks again.
                let _ = reply.send(answer(is_ours, outcome));
            }
            ProposalOwner::Submission(name, reply) => {
                self.submitting.remove(&name);
                // A caller that has gone away asks again with the same key.
                let _ = reply.send(answer(is_ours, outcome));
            }
            ProposalOwner::Relay(report) => self.relays.commit(report, is_ours),
            ProposalOwner::Scheduler => self.deciding = false,
            ProposalOwner::Lease => {}
            ProposalOwner::Expiry => self.expiring = false,
            ProposalOwner::Flow(flow, reply) => {
                if let Some(flow) = flow {
                    self.flows.end_submission(flow);
                }
                let answer = match is_ours {
                    true => flow_reply(outcome),
                    false => Err(CallError::NotLeader { leader: None }),
                };
                // A caller that has gone away asks again with the same name.
                let _ = reply.send(answer);
            }
            ProposalOwner::FlowScheduler => self.flows.end_decision(),
            ProposalOwner::FlowExpiry => self.flows.end_expiry(),
        }
    }

    pub(crate) fn wait_for_job(
        &mut self,
        customer: Option<CustomerName>,
        job: JobId,
        until_ms: u64,
        reply: ReplySender,
    ) {
        if self.waiters.len() >= MAX_WAITERS {
            let _ = reply.send(Err(CallError::Overloaded));
            return;
        }
        self.waiters.push(JobWaiter {
            customer,
            job,
            until_ms,
            reply,
        });
    }

    /// Answers the callers whose job has ended or whose time is up.
    pub(crate) fn answer_waiters(&mut self, ledger: &LedgerState, now_ms: u64) {
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiters)
            .into_iter()
            .filter(|w| !w.reply.is_canceled())
            .partition(|w| w.until_ms <= now_ms || has_ended(ledger, w.job));
        self.waiters = waiting;
        for waiter in ready {
            let view = job_view(ledger, waiter.customer.as_ref(), waiter.job);
            let _ = waiter.reply.send(job_reply(view));
        }
    }

    /// Renews the lease of a worker that was heard.
    pub(crate) fn renew(&mut self, worker: &WorkerName, incarnation: IncarnationId, now_ms: u64) {
        self.leases.renew(worker, incarnation, now_ms);
    }

    /// Renews the leases of a relay's slots; returns those that stand for no life in force.
    pub(crate) fn renew_slots(
        &mut self,
        ledger: &LedgerState,
        session: u64,
        renewals: &[(u32, u64)],
        now_ms: u64,
    ) -> Vec<u32> {
        let mut unknown = Vec::new();
        for (slot, _) in renewals {
            let agent = self.relays.agent(session, *slot).filter(|agent| {
                let record = ledger.workers.get(&agent.worker);
                record.is_some_and(|w| w.live && w.incarnation == agent.incarnation)
            });
            match agent {
                Some(agent) => {
                    let (worker, incarnation) = (&agent.worker, agent.incarnation);
                    self.leases.renew(worker, incarnation, now_ms);
                    self.rollout
                        .hear_agent(worker.as_str(), agent.known_revision, now_ms);
                }
                None => unknown.push(*slot),
            }
        }
        unknown
    }

    /// Follows an applied change: the lease of a worker's new life starts, that of a lost one ends.
    pub(crate) fn follow(&mut self, change: &LedgerChange, outcome: &CommandOutcome, now_ms: u64) {
        match change {
            _ if *outcome != CommandOutcome::Applied => {}
            LedgerChange::AnnounceWorker {
                worker,
                incarnation,
                ..
            } => self.leases.start(worker, *incarnation, now_ms),
            LedgerChange::LoseWorker { worker, .. } => self.leases.end(worker),
            _ => {}
        }
    }

    /// Returns the workers whose lease and margin have run out.
    pub(crate) fn expired_workers(&mut self, now_ms: u64) -> Vec<(WorkerName, IncarnationId)> {
        self.leases.take_expired(now_ms)
    }

    /// Returns the time for a command: it goes on from the ledger's, whatever the wall clock does.
    pub(crate) fn stamp(&self, now_ms: u64) -> UnixMillis {
        let (wall, since_ms) = self.started;
        UnixMillis(wall.0 + now_ms.saturating_sub(since_ms))
    }

    /// Returns the change that expires what is due, unless one is on its way.
    pub(crate) fn next_expiry(
        &mut self,
        ledger: &LedgerState,
        now_ms: u64,
    ) -> Option<LedgerChange> {
        let due = ledger.next_expiry()?;
        if self.expiring || due > self.stamp(now_ms) {
            return None;
        }
        self.expiring = true;
        Some(LedgerChange::Expire)
    }

    /// Takes the next round of decisions, if the state changed or time has gone by.
    pub(crate) fn next_decisions(
        &mut self,
        ledger: &LedgerState,
        wall: UnixMillis,
        now_ms: u64,
    ) -> Option<LedgerChange> {
        let (index, at_ms) = self.decided_at;
        let due = ledger.applied > index || now_ms >= at_ms + DECIDE_INTERVAL_MS;
        if self.deciding || !due {
            return None;
        }
        self.decided_at = (ledger.applied, now_ms);
        let decisions = decide(&ledger.view(wall));
        match decisions.is_empty() {
            true => None,
            false => {
                self.deciding = true;
                Some(LedgerChange::Decide(decisions))
            }
        }
    }

    /// Notes that a change of the leader's own could not be proposed.
    pub(crate) fn withdraw(&mut self, owner: &ProposalOwner) {
        match owner {
            ProposalOwner::Scheduler => self.deciding = false,
            ProposalOwner::Expiry => self.expiring = false,
            ProposalOwner::FlowScheduler => self.flows.end_decision(),
            ProposalOwner::FlowExpiry => self.flows.end_expiry(),
            _ => {}
        }
    }
}

fn answer(is_ours: bool, outcome: &CommandOutcome) -> Result<ControlReply, CallError> {
    match is_ours {
        true => outcome_reply(outcome),
        false => Err(CallError::NotLeader { leader: None }),
    }
}

/// Makes the reply that tells what a command came to.
pub(crate) fn outcome_reply(outcome: &CommandOutcome) -> Result<ControlReply, CallError> {
    match outcome {
        CommandOutcome::Refused(reason) => Err(CallError::Refused {
            reason: reason.clone(),
        }),
        outcome => Ok(ControlReply::Outcome(outcome.clone())),
    }
}

fn has_ended(ledger: &LedgerState, job: JobId) -> bool {
    let state = ledger.jobs.get(&job).map(|j| &j.state);
    matches!(state, None | Some(JobState::Ended { .. }))
}
