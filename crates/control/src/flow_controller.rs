//! The leader's in-memory state for flows: contacts and leases of agents, held reports and
//! proposals.

use std::collections::BTreeMap;

use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    DispatchLimits,
    DispatchView,
    ProgressRate,
    ProgressReading,
    SpeedReport,
    check_admission,
    decide, //
};
use roseridge_events::{
    self as events,
    event, //
};
use roseridge_flow::{
    BackendStatus,
    FlowChange,
    FlowState,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    FastSet,
    FlowId,
    FlowSpec,
    InstanceName,
    QueueRule,
    RunKey,
    UnixMillis, //
};
use roseridge_wire::{
    BackendReport,
    ControlReply,
    FlowOrders,
    FlowReply,
    FlowReport,
    GroupView,
    RunOrder, //
};

use crate::{
    FlowTiming,
    leader_controller::ReplySender, //
};

/// The slowest rate at which a backend server's clock may run, in percent of real time.
///
/// The platform guarantees this bound.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// Interval between scheduling passes while the state does not change, in milliseconds.
const SCHEDULING_INTERVAL_MS: u64 = 250;
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
    /// Time by which its lease has certainly ended, however slow its clock is.
    lease_end_ms: u64,
    /// The newest checkpoint of each run in its last report.
    checkpoints: BTreeMap<RunKey, String>,
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
pub(crate) struct FlowController {
    timing: FlowTiming,
    contacts: FastMap<BackendId, AgentContact>,
    held_reports: BTreeMap<InstanceName, HeldReport>,
    /// Proposed changes that must not be proposed twice, with the time of each proposal.
    proposals: FastMap<PendingChange, u64>,
    /// The progress rate of each run.
    progress_rates: FastMap<RunKey, ProgressRate>,
    /// Whether decisions are proposed and not yet committed.
    decision_pending: bool,
    /// The applied index and the monotonic time, in milliseconds, of the last scheduling pass.
    last_decision: (u64, u64),
    speed_report: SpeedReport,
    /// Whether an expiry is proposed and not yet committed.
    expiry_pending: bool,
    /// Submissions that are proposed and not yet committed.
    pending_submissions: FastSet<FlowId>,
    /// The processes that relay calls, with the time of the last contact with each.
    relays: BTreeMap<String, u64>,
}

/// Identifies a change that the leader has proposed on its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PendingChange {
    Announce(BackendId),
    Drain(BackendId),
    Leave(BackendId),
    Lose(BackendId),
    /// A report, by the number of its last completion and the number of runs that can't start.
    Report(BackendId, u64, usize),
}

impl FlowController {
    /// Starts the state for a new term.
    ///
    /// Every lease counts as renewed now, because the previous leader may have renewed it just
    /// before.
    pub(crate) fn new(timing: FlowTiming, flows: &FlowState, now_ms: u64) -> Self {
        let leased = flows.backends.iter().filter(|(_, b)| b.has_lease());
        let contacts = leased.map(|(id, _)| {
            let contact = AgentContact {
                last_contact_ms: None,
                lease_end_ms: now_ms + max_lease_ms(timing),
                checkpoints: BTreeMap::new(),
            };
            (id.clone(), contact)
        });
        Self {
            contacts: contacts.collect(),
            timing,
            held_reports: BTreeMap::new(),
            proposals: FastMap::default(),
            progress_rates: FastMap::default(),
            decision_pending: false,
            last_decision: (0, 0),
            speed_report: SpeedReport::default(),
            expiry_pending: false,
            pending_submissions: FastSet::default(),
            relays: BTreeMap::new(),
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

    /// Records that a submission is proposed.
    pub(crate) fn begin_submission(&mut self, flow: FlowId) {
        self.pending_submissions.insert(flow);
    }

    /// Records that the outcome of a submission is known, or that it could not be proposed.
    pub(crate) fn end_submission(&mut self, flow: FlowId) {
        self.pending_submissions.remove(&flow);
    }

    /// Returns whether a submission under this name is proposed and not yet committed.
    pub(crate) fn is_submitting(&self, flow: FlowId) -> bool {
        self.pending_submissions.contains(&flow)
    }

    /// Records a report and returns the changes to propose for it.
    ///
    /// The reply is held back until [`Self::answer_reports`] sends it. An agent waits only for the
    /// reply to its newest report, so the reply to an older report is dropped.
    pub(crate) fn handle_report(
        &mut self,
        flows: &FlowState,
        report: FlowReport,
        (now, now_ms): (UnixMillis, u64),
        reply: ReplySender,
    ) -> Vec<FlowChange> {
        let mut changes = Vec::new();
        for backend in &report.ended {
            let record = flows.backends.get(backend);
            if record.is_none_or(|record| is_ended(record.status))
                || !self.start_proposal(PendingChange::Leave(backend.clone()), now_ms)
            {
                continue;
            }
            changes.extend(self.save_checkpoints(flows, backend));
            let backend = backend.clone();
            changes.push(FlowChange::Leave { backend });
        }
        if let Some(backend) = &report.backend {
            self.record_contact(backend, now_ms);
            self.record_progress(backend, now);
            changes.extend(self.changes_from_report(flows, backend, now_ms));
        }
        self.hold_reply(report, now_ms, reply);
        changes
    }

    /// Holds back the reply to a report and drops the reply to an older report of the same
    /// instance.
    ///
    /// The same report from another route keeps its first arrival time, and all routes are
    /// answered.
    fn hold_reply(&mut self, report: FlowReport, now_ms: u64, reply: ReplySender) {
        let instance = report.instance.clone();
        let mut held_report = HeldReport {
            report,
            arrived_ms: now_ms,
            replies: vec![reply],
        };
        match self.held_reports.remove(&instance) {
            Some(known) if known.report == held_report.report => {
                held_report.arrived_ms = known.arrived_ms;
                held_report.replies.extend(known.replies);
            }
            _ => {}
        }
        self.held_reports.insert(instance, held_report);
    }

    /// Records contact with a backend server and the checkpoints that its report lists.
    fn record_contact(&mut self, report: &BackendReport, now_ms: u64) {
        let running = report.running.iter();
        let checkpoints = running.filter(|r| !r.saved.is_empty());
        let checkpoints = checkpoints.map(|r| (r.run, r.saved.clone())).collect();
        match self.contacts.get_mut(&report.backend) {
            Some(contact) => {
                contact.last_contact_ms = Some(now_ms);
                contact.checkpoints = checkpoints;
            }
            None => {
                let contact = AgentContact {
                    last_contact_ms: Some(now_ms),
                    lease_end_ms: now_ms,
                    checkpoints,
                };
                self.contacts.insert(report.backend.clone(), contact);
            }
        }
    }

    /// Records the progress of the reported runs.
    fn record_progress(&mut self, report: &BackendReport, now: UnixMillis) {
        let at = UnixMillis(now.0.saturating_sub(report.listed_ago.0));
        for running in &report.running {
            let percent = running.percent;
            let reading = ProgressReading { percent, at };
            let rate = self.progress_rates.entry(running.run);
            rate.and_modify(|rate| rate.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    /// Returns the changes to propose for a report, without those that are already proposed.
    fn changes_from_report(
        &mut self,
        flows: &FlowState,
        report: &BackendReport,
        now_ms: u64,
    ) -> Vec<FlowChange> {
        let backend = &report.backend;
        let record = flows.backends.get(backend);
        let mut changes = Vec::new();
        match (record, &report.profile) {
            (Some(record), _) if is_ended(record.status) => return changes,
            (Some(record), profile) if record.has_lease() => {
                let changed = profile.as_ref().filter(|p| **p != record.profile);
                let announced = changed.map(|profile| self.announce(backend, profile, now_ms));
                changes.extend(announced.flatten());
            }
            (_, Some(profile)) => {
                if let Some(announcement) = self.announce(backend, profile, now_ms) {
                    changes.extend(self.end_earlier(flows, report));
                    changes.push(announcement);
                }
            }
            (_, None) => return changes,
        }
        let is_ready = record.is_none_or(|r| r.status == BackendStatus::Ready);
        if let Some(remaining) = report.draining.filter(|_| is_ready)
            && self.start_proposal(PendingChange::Drain(backend.clone()), now_ms)
        {
            let backend = backend.clone();
            changes.push(FlowChange::Drain { backend, remaining });
        }
        let last_seen = record.map_or(0, |r| r.ends_seen);
        let ends: Vec<_> = report
            .ends
            .iter()
            .filter(|end| end.number > last_seen)
            .collect();
        let unstarted = report.unstarted.iter();
        let unstarted: Vec<_> = unstarted
            .filter(|u| record.is_some_and(|r| r.runs.contains_key(&u.run)))
            .collect();
        let last = ends.iter().map(|end| end.number).max().unwrap_or(0);
        let key = PendingChange::Report(backend.clone(), last, unstarted.len());
        if (!ends.is_empty() || !unstarted.is_empty()) && self.start_proposal(key, now_ms) {
            changes.push(FlowChange::Report {
                backend: backend.clone(),
                ends: ends.into_iter().cloned().collect(),
                unstarted: unstarted.into_iter().cloned().collect(),
            });
        }
        changes
    }

    /// Returns the change that stores the reported checkpoints of the runs on a backend server whose
    /// incarnation has ended, if there are any.
    ///
    /// [`FlowChange::Leave`] carries none, so the backend server is declared lost before it.
    fn save_checkpoints(&self, flows: &FlowState, backend: &BackendId) -> Option<FlowChange> {
        let record = flows.backends.get(backend)?;
        let contact = self.contacts.get(backend)?;
        let saved: Vec<_> = contact
            .checkpoints
            .iter()
            .filter(|(run, _)| record.runs.contains_key(run))
            .map(|(run, saved)| (*run, saved.clone()))
            .collect();
        (record.has_lease() && !saved.is_empty()).then(|| FlowChange::Lose {
            backend: backend.clone(),
            saved,
        })
    }

    /// Returns the changes that end the earlier incarnations on the instance of a new one.
    fn end_earlier(&self, flows: &FlowState, report: &BackendReport) -> Vec<FlowChange> {
        let Some(profile) = &report.profile else {
            return Vec::new();
        };
        let earlier = flows.backends.iter().filter(|(id, record)| {
            **id != report.backend && record.profile.instance == profile.instance
        });
        earlier
            .filter_map(|(id, _)| self.save_checkpoints(flows, id))
            .collect()
    }

    /// Returns the change that announces a backend server, unless it is already proposed.
    fn announce(
        &mut self,
        backend: &BackendId,
        profile: &roseridge_flow::BackendProfile,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let is_new = self.start_proposal(PendingChange::Announce(backend.clone()), now_ms);
        is_new.then(|| FlowChange::Announce {
            backend: backend.clone(),
            profile: profile.clone(),
        })
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
    pub(crate) fn take_losses(&mut self, flows: &FlowState, now_ms: u64) -> Vec<FlowChange> {
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
            let checkpoints = self.contacts.get(&backend).map(|c| c.checkpoints.clone());
            losses.push(FlowChange::Lose {
                backend,
                saved: checkpoints.into_iter().flatten().collect(),
            });
        }
        losses
    }

    /// Answers the held reports for which there is an update or whose requested wait has elapsed.
    pub(crate) fn answer_reports(
        &mut self,
        flows: &FlowState,
        fence: u64,
        group: &GroupView,
        now_ms: u64,
    ) {
        for (instance, held_report) in std::mem::take(&mut self.held_reports) {
            let is_due = held_report.arrived_ms + held_report.report.hold.0 <= now_ms;
            match held_report.replies.iter().all(ReplySender::is_canceled) {
                true => {}
                false if is_due || has_updates(flows, &held_report.report, fence) => {
                    let orders = self.orders_for(flows, &held_report, (fence, group), now_ms);
                    for reply in held_report.replies {
                        let orders = ControlReply::Flow(FlowReply::Orders(orders.clone()));
                        // Sending fails if the agent has disconnected. It reports again.
                        let _ = reply.send(Ok(orders));
                    }
                }
                false => {
                    self.held_reports.insert(instance, held_report);
                }
            }
        }
    }

    /// Builds the reply to a report and renews the lease of its backend server.
    fn orders_for(
        &mut self,
        flows: &FlowState,
        held_report: &HeldReport,
        (fence, group): (u64, &GroupView),
        now_ms: u64,
    ) -> FlowOrders {
        let report = &held_report.report;
        let mut orders = FlowOrders {
            fence,
            group: (group.digest != report.known_group).then(|| group.clone()),
            ..FlowOrders::default()
        };
        let Some(backend) = &report.backend else {
            return orders;
        };
        orders.backend = Some(backend.backend.clone());
        let record = flows.backends.get(&backend.backend);
        let Some(record) = record.filter(|record| record.has_lease()) else {
            orders.wants_profile = record.is_none_or(|r| !is_ended(r.status));
            return orders;
        };
        orders.index = record.orders_index;
        orders.ends_seen = record.ends_seen;
        orders.lease_until_ms = self.renew_lease(backend, held_report.arrived_ms, now_ms);
        if record.orders_index > backend.known_orders {
            let runs = record.runs.iter();
            let runs: Vec<_> = runs
                .map(|(run, held)| RunOrder {
                    run: *run,
                    stop: held.stop.is_some(),
                    saved: checkpoint_for(flows, *run),
                })
                .collect();
            orders.texts = missing_texts(flows, &runs, &backend.texts);
            orders.runs = Some(runs);
        }
        orders
    }

    /// Renews the lease of a backend server and returns its end on the backend server's clock.
    ///
    /// The report carries a reading of that clock. Since then the clock has advanced at least by
    /// the time for which the report was held here, at the slowest rate. The leader itself waits
    /// for the lease to end by the slowest clock. Returns `None` once the loss of the backend
    /// server is proposed.
    fn renew_lease(&mut self, report: &BackendReport, arrived_ms: u64, now_ms: u64) -> Option<u64> {
        let loss = PendingChange::Lose(report.backend.clone());
        if self.proposals.contains_key(&loss) {
            return None;
        }
        let held_ms = now_ms.saturating_sub(arrived_ms);
        let contact = self.contacts.get_mut(&report.backend)?;
        contact.lease_end_ms = contact.lease_end_ms.max(now_ms + max_lease_ms(self.timing));
        let elapsed_ms = held_ms * SLOWEST_CLOCK_PERCENT / 100;
        Some(report.clock_ms + elapsed_ms + self.timing.lease_ms)
    }

    /// Runs a scheduling pass if the state has changed or [`SCHEDULING_INTERVAL_MS`] has elapsed.
    ///
    /// Returns `None` while earlier decisions are not committed, or if the pass decided nothing.
    pub(crate) fn next_decision(
        &mut self,
        flows: &FlowState,
        applied: u64,
        now: UnixMillis,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let (index, at_ms) = self.last_decision;
        let is_due = applied > index || now_ms >= at_ms + SCHEDULING_INTERVAL_MS;
        if self.decision_pending || !is_due {
            return None;
        }
        self.last_decision = (applied, now_ms);
        self.progress_rates.retain(|run, _| {
            let flow = flows.flows.get(&run.task.flow);
            let task = flow.and_then(|flow| flow.task(run.task));
            task.is_some_and(|task| task.phase.is_placed_in(*run))
        });
        let contacts = self.contact_views(now_ms);
        let mut report = std::mem::take(&mut self.speed_report);
        let view = self.dispatch_view(flows, &contacts, now);
        let decision = decide(&view);
        if let Some(slow) = report.update(&view) {
            event!(
                info,
                events::BACKEND_SPEEDS,
                slow = slow.count,
                speeds = slow
            );
        }
        self.speed_report = report;
        if decision.is_empty() {
            return None;
        }
        self.decision_pending = true;
        Some(FlowChange::Decide {
            stops: decision.stops,
            places: decision.places,
        })
    }

    /// Decides whether to accept a flow.
    pub(crate) fn admission_decision(
        &self,
        flows: &FlowState,
        (queue, spec): (&QueueRule, &FlowSpec),
        now: UnixMillis,
    ) -> AdmissionDecision {
        let contacts = FastMap::default();
        check_admission(&self.dispatch_view(flows, &contacts, now), queue, spec)
    }

    /// Returns the time since the last contact with each backend server.
    fn contact_views(&self, now_ms: u64) -> FastMap<BackendId, ContactView> {
        let contacts = self.contacts.iter();
        contacts
            .filter_map(|(id, contact)| {
                let since_contact = DurationMs(now_ms.saturating_sub(contact.last_contact_ms?));
                Some((id.clone(), ContactView { since_contact }))
            })
            .collect()
    }

    /// Returns the input of the scheduler.
    fn dispatch_view<'a>(
        &'a self,
        flows: &'a FlowState,
        contacts: &'a FastMap<BackendId, ContactView>,
        now: UnixMillis,
    ) -> DispatchView<'a> {
        DispatchView {
            flows,
            now,
            contacts,
            progress_rates: &self.progress_rates,
            limits: DispatchLimits {
                contact_timeout: DurationMs(self.timing.contact_timeout_ms),
                restore_time: DurationMs(self.timing.restore_ms),
                reclaim_wait: DurationMs(self.timing.reclaim_wait_ms),
            },
        }
    }

    /// Allows the next scheduling pass.
    pub(crate) fn end_decision(&mut self) {
        self.decision_pending = false;
    }

    /// Returns the change that expires due records, unless one is already proposed.
    pub(crate) fn next_expiry(&mut self, flows: &FlowState, now: UnixMillis) -> Option<FlowChange> {
        let due = flows.next_expiry()?;
        if self.expiry_pending || due > now {
            return None;
        }
        self.expiry_pending = true;
        Some(FlowChange::Expire)
    }

    /// Allows the next expiry.
    pub(crate) fn end_expiry(&mut self) {
        self.expiry_pending = false;
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

/// Returns whether a reply would contain anything that the agent does not know yet.
fn has_updates(flows: &FlowState, report: &FlowReport, fence: u64) -> bool {
    let Some(backend) = report
        .backend
        .as_ref()
        .filter(|_| fence <= report.known_fence)
    else {
        return fence > report.known_fence;
    };
    match flows.backends.get(&backend.backend) {
        Some(record) if record.has_lease() => {
            record.orders_index > backend.known_orders || record.ends_seen > backend.known_ends
        }
        Some(record) => !is_ended(record.status) && backend.profile.is_none(),
        None => backend.profile.is_none(),
    }
}

/// Returns the checkpoint from which a run starts. The members of a gang share one checkpoint.
fn checkpoint_for(flows: &FlowState, run: RunKey) -> String {
    let flow = flows.flows.get(&run.task.flow);
    let spec = flow.and_then(|flow| flow.step_spec(run.task));
    let checkpoint = match (flow, spec) {
        (Some(flow), Some(spec)) if spec.gang => {
            flow.step(run.task).map(|step| step.newest_checkpoint().0)
        }
        (Some(flow), _) => flow.task(run.task).map(|task| task.saved.as_str()),
        (None, _) => None,
    };
    checkpoint.unwrap_or_default().to_owned()
}

/// Returns the texts of the flows in the orders, without those that the agent already holds.
fn missing_texts(flows: &FlowState, runs: &[RunOrder], held: &[FlowId]) -> Vec<(FlowId, String)> {
    let mut texts: Vec<(FlowId, String)> = Vec::new();
    for order in runs.iter().filter(|order| !order.stop) {
        let flow = order.run.task.flow;
        let is_known = held.contains(&flow) || texts.iter().any(|(known, _)| *known == flow);
        if let Some(record) = flows.flows.get(&flow).filter(|_| !is_known) {
            texts.push((flow, record.spec.text.clone()));
        }
    }
    texts
}
