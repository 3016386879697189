//! The leader's in-memory state for flows: contacts and leases of agents, held reports and
//! proposals.

mod agent_orders;
mod agent_reports;
mod crash_reports;
mod flow_scheduling;

use std::collections::BTreeMap;

use roseridge_dispatch::{
    CrashVerdict,
    ProgressRate, //
};
use roseridge_flow::{
    BackendProfile,
    BackendStatus,
    FlowChange,
    FlowState,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    FastMap,
    FastSet,
    FlowId,
    InstanceName,
    RunKey, //
};
use roseridge_wire::FlowReport;

use crate::{
    FlowTiming,
    leader_controller::ReplySender,
    share_meter::ShareMeter, //
};

/// The slowest rate at which a backend server's clock may run, in percent of real time.
///
/// The platform guarantees this bound.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// Time after which the leader repeats a proposal of its own that has not been committed, in
/// milliseconds.
const PROPOSAL_RETRY_MS: u64 = 1_000;

/// Time since the last contact with a relay after which it is no longer announced to agents, in
/// milliseconds.
const RELAY_EXPIRY_MS: u64 = 5_000;

/// What the leader knows from the reports of one incarnation of a backend server.
#[derive(Debug)]
struct AgentContact {
    /// Time of the last contact with its agent, or `None` if this leader received no report from
    /// it.
    last_contact_ms: Option<u64>,
    /// The age of the backend server's newest list in that report, in milliseconds. An agent reports also
    /// while it can't reach its backend server.
    list_age_ms: u64,
    /// Time by which its lease has certainly ended, however slow its clock is.
    lease_end_ms: u64,
    /// Time until which its backend server is cold, by its last report.
    cold_until_ms: u64,
    /// The newest checkpoint of each run in its last report.
    checkpoints: BTreeMap<RunKey, String>,
    /// The runs that may have crashed it, if its lease ended before a crash was known.
    crash_verdict: CrashVerdict,
}

impl AgentContact {
    /// Creates the contact with an agent from which this leader has received no report.
    fn without_report(lease_end_ms: u64) -> Self {
        Self {
            last_contact_ms: None,
            list_age_ms: 0,
            lease_end_ms,
            cold_until_ms: 0,
            checkpoints: BTreeMap::new(),
            crash_verdict: CrashVerdict::default(),
        }
    }
}

/// A report whose reply is held back.
#[derive(Debug)]
struct HeldReport {
    report: FlowReport,
    arrived_ms: u64,
    /// More than one if the report also arrived by a fallback route.
    replies: Vec<ReplySender>,
}

/// The leader's state for the agents of backend servers and for flows.
#[derive(Debug)]
pub struct FlowController {
    timing: FlowTiming,
    contacts: FastMap<BackendId, AgentContact>,
    held_reports: BTreeMap<InstanceName, HeldReport>,
    /// Proposed changes that must not be proposed twice, with the time of each proposal.
    proposals: FastMap<PendingChange, u64>,
    /// The runs that their backend servers have begun.
    started_runs: FastSet<RunKey>,
    /// The progress rate of each run.
    progress_rates: FastMap<RunKey, ProgressRate>,
    /// Whether decisions are proposed and not yet committed.
    decision_pending: bool,
    /// The applied index and the monotonic time, in milliseconds, of the last scheduling pass.
    last_decision: (u64, u64),
    /// Whether an expiry is proposed and not yet committed.
    expiry_pending: bool,
    /// Submissions that are proposed and not yet committed, with the approximate bytes of their flows.
    pending_submissions: FastMap<FlowId, usize>,
    /// The versions of the configurations that are proposed and not yet committed, each with the
    /// calls that wait for its outcome without a proposal of their own.
    pending_configurations: BTreeMap<u64, Vec<ReplySender>>,
    /// The processes that relay calls, with the time of the last contact with each.
    relays: BTreeMap<String, u64>,
    share_meter: ShareMeter,
}

/// Identifies a change that the leader has proposed on its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PendingChange {
    Announce(BackendId, BackendProfile),
    Drain(BackendId),
    Resume(BackendId),
    Leave(BackendId),
    Lose(BackendId),
    Crash(BackendId),
    /// A report, by the number of its last completion and the number of runs that can't start.
    Report(BackendId, u64, usize),
}

impl FlowController {
    /// Starts the state for a new term.
    ///
    /// Every lease counts as renewed now, because the previous leader may have renewed it just
    /// before.
    pub fn new(timing: FlowTiming, flows: &FlowState, now_ms: u64) -> Self {
        let leased = flows.backends.iter().filter(|(_, b)| b.has_lease());
        let contacts = leased.map(|(id, _)| {
            let contact = AgentContact::without_report(now_ms + max_lease_ms(timing));
            (id.clone(), contact)
        });
        Self {
            contacts: contacts.collect(),
            timing,
            held_reports: BTreeMap::new(),
            proposals: FastMap::default(),
            started_runs: FastSet::default(),
            progress_rates: FastMap::default(),
            decision_pending: false,
            last_decision: (0, 0),
            expiry_pending: false,
            pending_submissions: FastMap::default(),
            pending_configurations: BTreeMap::new(),
            relays: BTreeMap::new(),
            share_meter: ShareMeter::default(),
        }
    }

    /// Records contact with a process that relays calls.
    pub(crate) fn record_relay(&mut self, relay: String, now_ms: u64) {
        self.relays.insert(relay, now_ms);
    }

    /// Returns the processes that relay calls, and forgets those without contact for
    /// [`RELAY_EXPIRY_MS`].
    pub(crate) fn recent_relays(&mut self, now_ms: u64) -> Vec<String> {
        self.relays
            .retain(|_, last_contact_ms| now_ms < *last_contact_ms + RELAY_EXPIRY_MS);
        self.relays.keys().cloned().collect()
    }

    /// Records that a submission is proposed, with the approximate bytes of its flow.
    pub(crate) fn begin_submission(&mut self, flow: FlowId, bytes: usize) {
        self.pending_submissions.insert(flow, bytes);
    }

    /// Records that the outcome of a submission is known, or that it could not be proposed.
    pub(crate) fn end_submission(&mut self, flow: FlowId) {
        self.pending_submissions.remove(&flow);
    }

    /// Records that the configuration with a version is proposed.
    pub(crate) fn begin_configuration(&mut self, version: u64) {
        self.pending_configurations.insert(version, Vec::new());
    }

    /// Makes a call wait for a proposed configuration whose version is not lower than `version`.
    ///
    /// Returns the reply if there is none.
    pub(crate) fn join_configuration(
        &mut self,
        version: u64,
        reply: ReplySender,
    ) -> Option<ReplySender> {
        match self.pending_configurations.range_mut(version..).next() {
            Some((_, waiting)) => {
                waiting.retain(|reply| !reply.is_canceled());
                waiting.push(reply);
                None
            }
            None => Some(reply),
        }
    }

    /// Returns the calls that wait for a proposed configuration, whose outcome is now known.
    pub(crate) fn end_configuration(&mut self, version: u64) -> Vec<ReplySender> {
        let waiting = self.pending_configurations.remove(&version);
        waiting.unwrap_or_default()
    }

    /// Returns whether a submission under this name is proposed and not yet committed.
    pub(crate) fn is_submitting(&self, flow: FlowId) -> bool {
        self.pending_submissions.contains_key(&flow)
    }

    /// Records that a change is being proposed. Returns `false` if it was already proposed
    /// recently.
    fn start_proposal(&mut self, change: PendingChange, now_ms: u64) -> bool {
        self.proposals
            .retain(|_, started_ms| now_ms < *started_ms + PROPOSAL_RETRY_MS);
        match self.proposals.get(&change) {
            Some(_) => false,
            None => {
                self.proposals.insert(change, now_ms);
                true
            }
        }
    }

    /// Returns the changes that declare backend servers lost because their lease has certainly
    /// ended.
    pub fn take_losses(&mut self, flows: &FlowState, now_ms: u64) -> Vec<FlowChange> {
        let leased = flows.backends.iter().filter(|(_, b)| b.has_lease());
        let expired: Vec<_> = leased
            .filter(|(id, _)| {
                let contact = self.contacts.get(*id);
                contact.is_some_and(|contact| contact.lease_end_ms <= now_ms)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut losses = Vec::new();
        for backend in expired {
            if !self.start_proposal(PendingChange::Lose(backend.clone()), now_ms) {
                continue;
            }
            let crash_verdict = self.crash_verdict(flows, &backend);
            let contact = self.contacts.get_mut(&backend).map(|contact| {
                contact.crash_verdict = crash_verdict;
                contact.checkpoints.clone()
            });
            losses.push(FlowChange::Lose {
                backend,
                saved: contact.into_iter().flatten().collect(),
            });
        }
        losses
    }

    /// Returns whether any task of a flow is placed or done, or has been placed before.
    pub(crate) fn has_started(&self, flows: &FlowState, flow: FlowId) -> bool {
        let Some(record) = flows.flows.get(&flow) else {
            return false;
        };
        let steps = record.rounds.iter().flat_map(|round| &round.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| match task.phase {
            TaskPhase::Waiting => task.last_run > 0,
            TaskPhase::Placed { .. } | TaskPhase::Done => true,
        })
    }
}

/// Returns how long a lease that is renewed now may last, in milliseconds of real time.
///
/// Assumes the slowest clock and adds the configured margin.
fn max_lease_ms(timing: FlowTiming) -> u64 {
    timing.lease_ms * 100 / SLOWEST_CLOCK_PERCENT + timing.margin_ms
}

fn is_ended(status: BackendStatus) -> bool {
    matches!(status, BackendStatus::Ended { .. })
}
