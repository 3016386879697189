//! The leader's in-memory state: leases, waiting callers, open proposals and the scheduler's
//! progress.
//!
//! None of it is replicated. A new leader rebuilds the leases from the ledger.

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
    flow_controller::FlowController,
    lease_table::LeaseTable,
    relay_controller::RelayController,
    rollout_controller::RolloutController,
    views::job_view, //
};

/// Interval between scheduling passes while the state does not change, in milliseconds.
const SCHEDULING_INTERVAL_MS: u64 = 1_000;

/// Maximum number of callers that wait for a job to end.
const MAX_JOB_WAITERS: usize = 8_192;

/// The channel that carries the reply to a call.
pub(crate) type ReplySender = oneshot::Sender<Result<ControlReply, CallError>>;

/// Receives the outcome of a proposal once it is committed.
#[derive(Debug)]
pub(crate) enum ProposalOwner {
    /// A call, which is answered with the outcome.
    Caller(ReplySender),
    /// A job submission with its idempotency key. The caller is answered with the outcome.
    Submission((CustomerName, RequestKey), ReplySender),
    /// The relay report with this number, which may own several proposals.
    Relay(u64),
    /// The scheduler of jobs.
    Scheduler,
    /// No owner. Nothing waits for the outcome.
    Untracked,
    /// The expiry of ledger records.
    Expiry,
    /// A call about flows, with the flow if the call submits one.
    Flow(Option<FlowId>, ReplySender),
    /// A call that sets the configuration with this version.
    Configuration(u64, ReplySender),
    /// The scheduler of flows.
    FlowScheduler,
    /// The expiry of flows and backend servers.
    FlowExpiry,
}

/// A caller that waits for a job to end.
#[derive(Debug)]
struct JobWaiter {
    customer: Option<CustomerName>,
    job: JobId,
    until_ms: u64,
    reply: ReplySender,
}

/// The state that a replica keeps only while it leads.
#[derive(Debug)]
pub(crate) struct LeaderController {
    leases: LeaseTable,
    /// The time for commands and the monotonic time, in milliseconds, when this leader started.
    term_start: (UnixMillis, u64),
    proposals: BTreeMap<LogIndex, (TermNumber, ProposalOwner)>,
    pending_submissions: FastSet<(CustomerName, RequestKey)>,
    waiters: Vec<JobWaiter>,
    pub(crate) relays: RelayController,
    pub(crate) rollout: RolloutController,
    pub(crate) flows: FlowController,
    /// Whether decisions are proposed and not yet committed.
    decision_pending: bool,
    /// Whether an expiry is proposed and not yet committed.
    expiry_pending: bool,
    /// The applied index and the monotonic time, in milliseconds, of the last scheduling pass.
    last_decision: (u64, u64),
}

impl LeaderController {
    /// Starts the leader's state for a new term.
    ///
    /// Every lease counts as renewed now, because the previous leader may have renewed it just
    /// before.
    pub(crate) fn new(
        (lease, flows): (LeaseTiming, FlowTiming),
        ledger: &LedgerState,
        wall_time: UnixMillis,
        now_ms: u64,
    ) -> Self {
        let mut leases = LeaseTable::new(lease.lease_ms + lease.margin_ms);
        for (name, worker) in ledger.workers.iter().filter(|(_, w)| w.live) {
            leases.start(name, worker.incarnation, now_ms);
        }
        Self {
            leases,
            term_start: (wall_time.max(ledger.now), now_ms),
            proposals: BTreeMap::new(),
            pending_submissions: FastSet::default(),
            waiters: Vec::new(),
            relays: RelayController::default(),
            rollout: RolloutController::new(ledger),
            flows: FlowController::new(flows, &ledger.flows, now_ms),
            decision_pending: false,
            expiry_pending: false,
            last_decision: (0, 0),
        }
    }

    /// Records who receives the outcome of the proposal at this index.
    pub(crate) fn track_proposal(
        &mut self,
        index: LogIndex,
        term: TermNumber,
        owner: ProposalOwner,
    ) {
        match &owner {
            ProposalOwner::Submission(submission_key, _) => {
                self.pending_submissions.insert(submission_key.clone());
            }
            ProposalOwner::Configuration(version, _) => self.flows.begin_configuration(*version),
            _ => {}
        }
        self.proposals.insert(index, (term, owner));
    }

    /// Returns whether a submission with this key is proposed and not yet committed.
    pub(crate) fn is_submitting(&self, submission_key: &(CustomerName, RequestKey)) -> bool {
        self.pending_submissions.contains(submission_key)
    }

    /// Passes the outcome of an applied entry to the owner of its proposal.
    pub(crate) fn complete_proposal(
        &mut self,
        index: LogIndex,
        term: TermNumber,
        outcome: &CommandOutcome,
    ) {
        let Some((proposed, owner)) = self.proposals.remove(&index) else {
            return;
        };
        // Another leader may have replaced the entry at this index.
        let is_committed = proposed == term;
        match owner {
            ProposalOwner::Caller(reply) => {
                // Sending fails if the caller has disconnected. It repeats the call.
                let _ = reply.send(caller_reply(is_committed, outcome));
            }
            ProposalOwner::Submission(submission_key, reply) => {
                self.pending_submissions.remove(&submission_key);
                // Sending fails if the caller has disconnected. It resubmits with the same key.
                let _ = reply.send(caller_reply(is_committed, outcome));
            }
            ProposalOwner::Relay(report) => self.relays.complete_proposal(report, is_committed),
            ProposalOwner::Scheduler => self.decision_pending = false,
            ProposalOwner::Untracked => {}
            ProposalOwner::Expiry => self.expiry_pending = false,
            ProposalOwner::Flow(flow, reply) => {
                if let Some(flow) = flow {
                    self.flows.end_submission(flow);
                }
                // Sending fails if the caller has disconnected. It resubmits under the same name.
                let _ = reply.send(flow_proposal_reply(is_committed, outcome));
            }
            ProposalOwner::Configuration(version, reply) => {
                let copies = self.flows.end_configuration(version);
                for reply in copies.into_iter().chain([reply]) {
                    // Sending fails if the operator has disconnected. It sends the same again.
                    let _ = reply.send(flow_proposal_reply(is_committed, outcome));
                }
            }
            ProposalOwner::FlowScheduler => self.flows.end_decision(),
            ProposalOwner::FlowExpiry => self.flows.end_expiry(),
        }
    }

    /// Answers a caller with the state of a job once the job ends or `until_ms` is reached.
    ///
    /// Answers at once with [`CallError::Overloaded`] if [`MAX_JOB_WAITERS`] callers already wait.
    pub(crate) fn wait_for_job(
        &mut self,
        customer: Option<CustomerName>,
        job: JobId,
        until_ms: u64,
        reply: ReplySender,
    ) {
        if self.waiters.len() >= MAX_JOB_WAITERS {
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

    /// Answers the callers whose job has ended or whose wait has timed out.
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

    /// Renews the lease of a worker that sent a report.
    pub(crate) fn renew_lease(
        &mut self,
        worker: &WorkerName,
        incarnation: IncarnationId,
        now_ms: u64,
    ) {
        self.leases.renew(worker, incarnation, now_ms);
    }

    /// Renews the leases of the agents in a relay's slots.
    ///
    /// Returns the slots without an agent of a current incarnation.
    pub(crate) fn renew_slot_leases(
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
                        .record_agent(worker.as_str(), agent.known_revision, now_ms);
                }
                None => unknown.push(*slot),
            }
        }
        unknown
    }

    /// Starts the lease of a worker that was announced, and ends the lease of one that was lost.
    ///
    /// Changes that did not apply are ignored.
    pub(crate) fn update_leases(
        &mut self,
        change: &LedgerChange,
        outcome: &CommandOutcome,
        now_ms: u64,
    ) {
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

    /// Returns the workers whose lease, with its margin, has expired.
    pub(crate) fn take_expired_workers(&mut self, now_ms: u64) -> Vec<(WorkerName, IncarnationId)> {
        self.leases.take_expired(now_ms)
    }

    /// Returns the timestamp for a command.
    ///
    /// It advances with the monotonic clock from the time at which the leader started, so jumps of
    /// the wall clock do not affect it and it never falls behind the ledger's time.
    pub(crate) fn command_time(&self, now_ms: u64) -> UnixMillis {
        let (start, start_ms) = self.term_start;
        UnixMillis(start.0 + now_ms.saturating_sub(start_ms))
    }

    /// Returns the change that expires due records, unless one is already proposed.
    pub(crate) fn next_expiry(
        &mut self,
        ledger: &LedgerState,
        now_ms: u64,
    ) -> Option<LedgerChange> {
        let due = ledger.next_expiry()?;
        if self.expiry_pending || due > self.command_time(now_ms) {
            return None;
        }
        self.expiry_pending = true;
        Some(LedgerChange::Expire)
    }

    /// Runs a scheduling pass if the state has changed or [`SCHEDULING_INTERVAL_MS`] has elapsed.
    ///
    /// Returns `None` while earlier decisions are not committed, or if the pass decided nothing.
    pub(crate) fn next_decisions(
        &mut self,
        ledger: &LedgerState,
        now: UnixMillis,
        now_ms: u64,
    ) -> Option<LedgerChange> {
        let (index, at_ms) = self.last_decision;
        let due = ledger.applied > index || now_ms >= at_ms + SCHEDULING_INTERVAL_MS;
        if self.decision_pending || !due {
            return None;
        }
        self.last_decision = (ledger.applied, now_ms);
        let decisions = decide(&ledger.view(now));
        match decisions.is_empty() {
            true => None,
            false => {
                self.decision_pending = true;
                Some(LedgerChange::Decide(decisions))
            }
        }
    }

    /// Records that a change could not be proposed, so that a later pass proposes it again.
    pub(crate) fn abandon_proposal(&mut self, owner: &ProposalOwner) {
        match owner {
            ProposalOwner::Scheduler => self.decision_pending = false,
            ProposalOwner::Expiry => self.expiry_pending = false,
            ProposalOwner::FlowScheduler => self.flows.end_decision(),
            ProposalOwner::FlowExpiry => self.flows.end_expiry(),
            _ => {}
        }
    }
}

/// Returns the outcome for a caller, or an error if another entry was committed at the index of
/// the proposal.
fn caller_reply(is_committed: bool, outcome: &CommandOutcome) -> Result<ControlReply, CallError> {
    match is_committed {
        true => outcome_reply(outcome),
        false => Err(CallError::NotLeader { leader: None }),
    }
}

/// Returns the outcome for a call about flows, or an error if another entry was committed at the
/// index of the proposal.
fn flow_proposal_reply(
    is_committed: bool,
    outcome: &CommandOutcome,
) -> Result<ControlReply, CallError> {
    match is_committed {
        true => flow_reply(outcome),
        false => Err(CallError::NotLeader { leader: None }),
    }
}

/// Converts the outcome of a command to the reply for its caller.
pub(crate) fn outcome_reply(outcome: &CommandOutcome) -> Result<ControlReply, CallError> {
    match outcome {
        CommandOutcome::Refused(reason) => Err(CallError::Refused {
            reason: reason.clone(),
        }),
        outcome => Ok(ControlReply::Outcome(outcome.clone())),
    }
}

/// Returns whether a job has ended or does not exist.
fn has_ended(ledger: &LedgerState, job: JobId) -> bool {
    let state = ledger.jobs.get(&job).map(|j| &j.state);
    matches!(state, None | Some(JobState::Ended { .. }))
}
