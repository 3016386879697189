//! What only the leader keeps of agents: who was heard, whose lease ends when, and who waits.

use std::collections::BTreeMap;

use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    DispatchLimits,
    DispatchView,
    ProgressRate,
    ProgressReading,
    check_admission,
    decide, //
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
    leader_desk::ReplySender, //
};

/// The rate of a backend server's clock at its slowest, in percent of true time; the platform's bound.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// The time between two rounds of decisions when nothing changed, in milliseconds.
const DECIDE_INTERVAL_MS: u64 = 250;
/// The time after which a proposal of the leader's own that did not commit is made again, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// How long a relay is told to others after it was heard, in milliseconds.
const RELAY_MEMORY_MS: u64 = 5_000;

/// What was heard of one life of a backend server.
#[derive(Debug)]
struct AgentContact {
    /// When its agent was heard last, or nothing if this leader never heard it.
    heard_ms: Option<u64>,
    /// When its lease has surely ended.
    lease_end_ms: u64,
    /// The newest checkpoint of each run that it lists.
    saved: BTreeMap<RunKey, String>,
}

/// A report whose reply is held back.
#[derive(Debug)]
struct WaitingReport {
    report: FlowReport,
    arrived_ms: u64,
    /// More than one when the report also came by a detour.
    replies: Vec<ReplySender>,
}

/// What the leader keeps for the agents of flows.
#[derive(Debug)]
pub(crate) struct FlowDesk {
    timing: FlowTiming,
    contacts: FastMap<BackendId, AgentContact>,
    waiting: BTreeMap<InstanceName, WaitingReport>,
    /// The changes on their way that must not be proposed twice, with the time of each.
    proposed: FastMap<ProposedChange, u64>,
    /// How fast what runs works.
    paces: FastMap<RunKey, ProgressRate>,
    deciding: bool,
    decided_at: (u64, u64),
    expiring: bool,
    /// Submissions that wait for their commit.
    submitting: FastSet<FlowId>,
    /// The processes that pass calls on, with the time when each was heard.
    relays: BTreeMap<String, u64>,
}

/// A change of the leader's own that is on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum ProposedChange {
    Announce(BackendId),
    Drain(BackendId),
    Leave(BackendId),
    Lose(BackendId),
    /// Ends up to this number, and this many runs that can't start.
    Report(BackendId, u64, usize),
}

impl FlowDesk {
    /// Starts a term; an older leader may have renewed every lease just before it.
    pub(crate) fn new(timing: FlowTiming, flows: &FlowState, now_ms: u64) -> Self {
        let present = flows.backends.iter().filter(|(_, b)| b.has_lease());
        let contacts = present.map(|(id, _)| {
            let contact = AgentContact {
                heard_ms: None,
                lease_end_ms: now_ms + longest_lease_ms(timing),
                saved: BTreeMap::new(),
            };
            (id.clone(), contact)
        });
        Self {
            contacts: contacts.collect(),
            timing,
            waiting: BTreeMap::new(),
            proposed: FastMap::default(),
            paces: FastMap::default(),
            deciding: false,
            decided_at: (0, 0),
            expiring: false,
            submitting: FastSet::default(),
            relays: BTreeMap::new(),
        }
    }

    /// Notes that a process passes calls on.
    pub(crate) fn note_relay(&mut self, relay: String, now_ms: u64) {
        self.relays.insert(relay, now_ms);
    }

    /// Returns the processes that pass calls on and were heard lately.
    pub(crate) fn relays(&mut self, now_ms: u64) -> Vec<String> {
        self.relays
            .retain(|_, heard_ms| now_ms < *heard_ms + RELAY_MEMORY_MS);
        self.relays.keys().cloned().collect()
    }

    pub(crate) fn begin_submission(&mut self, flow: FlowId) {
        self.submitting.insert(flow);
    }

    pub(crate) fn end_submission(&mut self, flow: FlowId) {
        self.submitting.remove(&flow);
    }

    /// Returns whether a submission with this name waits for its commit.
    pub(crate) fn is_submitting(&self, flow: FlowId) -> bool {
        self.submitting.contains(&flow)
    }

    /// Takes a report in; returns the changes that it asks for.
    ///
    /// An agent waits for the reply to its newest report only, so an older one is let go.
    pub(crate) fn take_report(
        &mut self,
        flows: &FlowState,
        report: FlowReport,
        (now, now_ms): (UnixMillis, u64),
        reply: ReplySender,
    ) -> Vec<FlowChange> {
        let mut changes: Vec<_> = report
            .ended
            .iter()
            .filter(|id| flows.backends.get(*id).is_some_and(|b| !is_ended(b.status)))
            .filter(|id| self.begin(ProposedChange::Leave((*id).clone()), now_ms))
            .map(|backend| FlowChange::Leave {
                backend: backend.clone(),
            })
            .collect();
        if let Some(backend) = &report.backend {
            self.note_contact(backend, now_ms);
            self.note_paces(backend, now);
            changes.extend(self.changes_of(flows, backend, now_ms));
        }
        self.wait(report, now_ms, reply);
        changes
    }

    /// Holds the reply to a report back; that to an older one of the same instance is let go.
    fn wait(&mut self, report: FlowReport, now_ms: u64, reply: ReplySender) {
        let instance = report.instance.clone();
        let mut waiting = WaitingReport {
            report,
            arrived_ms: now_ms,
            replies: vec![reply],
        };
        match self.waiting.remove(&instance) {
            Some(known) if known.report == waiting.report => {
                waiting.arrived_ms = known.arrived_ms;
                waiting.replies.extend(known.replies);
            }
            _ => {}
        }
        self.waiting.insert(instance, waiting);
    }

    fn note_contact(&mut self, report: &BackendReport, now_ms: u64) {
        let running = report.running.iter();
        let saved = running.filter(|r| !r.saved.is_empty());
        let saved = saved.map(|r| (r.run, r.saved.clone())).collect();
        match self.contacts.get_mut(&report.backend) {
            Some(contact) => {
                contact.heard_ms = Some(now_ms);
                contact.saved = saved;
            }
            None => {
                let contact = AgentContact {
                    heard_ms: Some(now_ms),
                    lease_end_ms: now_ms,
                    saved,
                };
                self.contacts.insert(report.backend.clone(), contact);
            }
        }
    }

    fn note_paces(&mut self, report: &BackendReport, now: UnixMillis) {
        let at = UnixMillis(now.0.saturating_sub(report.listed_ago.0));
        for running in &report.running {
            let percent = running.percent;
            let reading = ProgressReading { percent, at };
            let pace = self.paces.entry(running.run);
            pace.and_modify(|pace| pace.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    fn changes_of(
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
            (_, Some(profile)) => changes.extend(self.announce(backend, profile, now_ms)),
            (_, None) => return changes,
        }
        let is_ready = record.is_none_or(|r| r.status == BackendStatus::Ready);
        if let Some(remaining) = report.draining.filter(|_| is_ready)
            && self.begin(ProposedChange::Drain(backend.clone()), now_ms)
        {
            let backend = backend.clone();
            changes.push(FlowChange::Drain { backend, remaining });
        }
        let seen = record.map_or(0, |r| r.ends_seen);
        let ends: Vec<_> = report.ends.iter().filter(|end| end.number > seen).collect();
        let unstarted = report.unstarted.iter();
        let unstarted: Vec<_> = unstarted
            .filter(|u| record.is_some_and(|r| r.runs.contains_key(&u.run)))
            .collect();
        let last = ends.iter().map(|end| end.number).max().unwrap_or(0);
        let key = ProposedChange::Report(backend.clone(), last, unstarted.len());
        if (!ends.is_empty() || !unstarted.is_empty()) && self.begin(key, now_ms) {
            changes.push(FlowChange::Report {
                backend: backend.clone(),
                ends: ends.into_iter().cloned().collect(),
                unstarted: unstarted.into_iter().cloned().collect(),
            });
        }
        changes
    }

    fn announce(
        &mut self,
        backend: &BackendId,
        profile: &roseridge_flow::BackendProfile,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let is_new = self.begin(ProposedChange::Announce(backend.clone()), now_ms);
        is_new.then(|| FlowChange::Announce {
            backend: backend.clone(),
            profile: profile.clone(),
        })
    }

    /// Notes that a change is on its way; returns whether it was not already.
    fn begin(&mut self, change: ProposedChange, now_ms: u64) -> bool {
        self.proposed
            .retain(|_, begun_ms| now_ms < *begun_ms + REPEAT_MS);
        match self.proposed.get(&change) {
            Some(_) => false,
            None => {
                self.proposed.insert(change, now_ms);
                true
            }
        }
    }

    /// Returns the losses of the backend servers whose lease has surely ended.
    pub(crate) fn take_lost(&mut self, flows: &FlowState, now_ms: u64) -> Vec<FlowChange> {
        let present = flows.backends.iter().filter(|(_, b)| b.has_lease());
        let expired: Vec<_> = present
            .filter(|(id, _)| {
                let contact = self.contacts.get(*id);
                contact.is_some_and(|contact| contact.lease_end_ms <= now_ms)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut tolerated_losses = Vec::new();
        for backend in expired {
            if !self.begin(ProposedChange::Lose(backend.clone()), now_ms) {
                continue;
            }
            let saved = self.contacts.get(&backend).map(|c| c.saved.clone());
            tolerated_losses.push(FlowChange::Lose {
                backend,
                saved: saved.into_iter().flatten().collect(),
            });
        }
        tolerated_losses
    }

    /// Answers the reports that have news or were held back long enough.
    pub(crate) fn answer(&mut self, flows: &FlowState, fence: u64, group: &GroupView, now_ms: u64) {
        for (instance, waiting) in std::mem::take(&mut self.waiting) {
            let due = waiting.arrived_ms + waiting.report.hold.0 <= now_ms;
            match waiting.replies.iter().all(ReplySender::is_canceled) {
                true => {}
                false if due || has_news(flows, &waiting.report, fence) => {
                    let orders = self.orders_for(flows, &waiting, (fence, group), now_ms);
                    for reply in waiting.replies {
                        let orders = ControlReply::Flow(FlowReply::Orders(orders.clone()));
                        // An agent that has gone away asks again.
                        let _ = reply.send(Ok(orders));
                    }
                }
                false => {
                    self.waiting.insert(instance, waiting);
                }
            }
        }
    }

    fn orders_for(
        &mut self,
        flows: &FlowState,
        waiting: &WaitingReport,
        (fence, group): (u64, &GroupView),
        now_ms: u64,
    ) -> FlowOrders {
        let report = &waiting.report;
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
        orders.lease_until_ms = self.renew(backend, waiting.arrived_ms, now_ms);
        if record.orders_index > backend.known_orders {
            let runs = record.runs.iter();
            let runs: Vec<_> = runs
                .map(|(run, held)| RunOrder {
                    run: *run,
                    stop: held.stop.is_some(),
                    saved: saved_of(flows, *run),
                })
                .collect();
            orders.texts = texts_for(flows, &runs, &backend.texts);
            orders.runs = Some(runs);
        }
        orders
    }

    /// Renews the lease of a backend server; returns its end on the backend server's clock.
    ///
    /// Since the reading of that clock at least the time went by that the report was held back here, by
    /// the slowest clock. The leader waits for as long as the slowest clock may take.
    fn renew(&mut self, report: &BackendReport, arrived_ms: u64, now_ms: u64) -> Option<u64> {
        let losing = ProposedChange::Lose(report.backend.clone());
        if self.proposed.contains_key(&losing) {
            return None;
        }
        let held_ms = now_ms.saturating_sub(arrived_ms);
        let contact = self.contacts.get_mut(&report.backend)?;
        contact.lease_end_ms = contact
            .lease_end_ms
            .max(now_ms + longest_lease_ms(self.timing));
        let passed_ms = held_ms * SLOWEST_CLOCK_PERCENT / 100;
        Some(report.clock_ms + passed_ms + self.timing.lease_ms)
    }

    /// Takes the next round of decisions, if the state changed or time has gone by.
    pub(crate) fn next_decision(
        &mut self,
        flows: &FlowState,
        applied: u64,
        now: UnixMillis,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let (index, at_ms) = self.decided_at;
        let due = applied > index || now_ms >= at_ms + DECIDE_INTERVAL_MS;
        if self.deciding || !due {
            return None;
        }
        self.decided_at = (applied, now_ms);
        self.paces.retain(|run, _| {
            let flow = flows.flows.get(&run.task.flow);
            let task = flow.and_then(|flow| flow.task(run.task));
            task.is_some_and(|task| task.phase.is_placed_in(*run))
        });
        let contacts = self.contact_views(now_ms);
        let round = decide(&self.dispatch_view(flows, &contacts, now));
        if round.is_empty() {
            return None;
        }
        self.deciding = true;
        Some(FlowChange::Decide {
            stops: round.stops,
            places: round.places,
        })
    }

    /// Judges a flow before it is accepted.
    pub(crate) fn judge(
        &self,
        flows: &FlowState,
        (queue, spec): (&QueueRule, &FlowSpec),
        now: UnixMillis,
    ) -> AdmissionDecision {
        let contacts = FastMap::default();
        check_admission(&self.dispatch_view(flows, &contacts, now), queue, spec)
    }

    fn contact_views(&self, now_ms: u64) -> FastMap<BackendId, ContactView> {
        let contacts = self.contacts.iter();
        contacts
            .filter_map(|(id, contact)| {
                let since_contact = DurationMs(now_ms.saturating_sub(contact.heard_ms?));
                Some((id.clone(), ContactView { since_contact }))
            })
            .collect()
    }

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
            progress_rates: &self.paces,
            limits: DispatchLimits {
                contact_timeout: DurationMs(self.timing.contact_timeout_ms),
                restore_time: DurationMs(self.timing.restore_ms),
                reclaim_wait: DurationMs(self.timing.reclaim_wait_ms),
            },
        }
    }

    pub(crate) fn end_decision(&mut self) {
        self.deciding = false;
    }

    /// Returns the change that forgets what is due, unless one is on its way.
    pub(crate) fn next_expiry(&mut self, flows: &FlowState, now: UnixMillis) -> Option<FlowChange> {
        let due = flows.next_expiry()?;
        if self.expiring || due > now {
            return None;
        }
        self.expiring = true;
        Some(FlowChange::Expire)
    }

    pub(crate) fn end_expiry(&mut self) {
        self.expiring = false;
    }

    /// Returns whether any run of a flow was seen running, or has ended, by this leader.
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

/// How long a lease that is renewed now may last by the slowest clock, in milliseconds of true time.
fn longest_lease_ms(timing: FlowTiming) -> u64 {
    timing.lease_ms * 100 / SLOWEST_CLOCK_PERCENT + timing.margin_ms
}

fn is_ended(status: BackendStatus) -> bool {
    matches!(status, BackendStatus::Ended { .. })
}

/// Returns whether an agent would learn anything from a reply.
fn has_news(flows: &FlowState, report: &FlowReport, fence: u64) -> bool {
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

/// Returns the checkpoint that a run begins from; the members of a gang share one.
fn saved_of(flows: &FlowState, run: RunKey) -> String {
    let flow = flows.flows.get(&run.task.flow);
    let spec = flow.and_then(|flow| flow.step_spec(run.task));
    let saved = match (flow, spec) {
        (Some(flow), Some(spec)) if spec.gang => {
            flow.step(run.task).map(|step| step.newest_checkpoint().0)
        }
        (Some(flow), _) => flow.task(run.task).map(|task| task.saved.as_str()),
        (None, _) => None,
    };
    saved.unwrap_or_default().to_owned()
}

fn texts_for(flows: &FlowState, runs: &[RunOrder], held: &[FlowId]) -> Vec<(FlowId, String)> {
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
