//! The agents that are attached to a relay, without I/O.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use futures::channel::oneshot;
use roseridge_model::{
    TaskOrder,
    WorkerName, //
};
use roseridge_wire::{
    AgentOrders,
    AgentReport,
    AttachedAgent,
    AttachedChange,
    CallError,
    RelayReply, //
};

/// How long a reply is held back when there is nothing new.
///
/// It is shorter than the interval of pings, so that an idle agent's link is not pinged as well.
const REPLY_HOLD: Duration = Duration::from_millis(900);
/// How long an agent stays attached without a report.
const DETACH_AFTER: Duration = Duration::from_secs(5);

type OrderSender = oneshot::Sender<Result<AgentOrders, CallError>>;

#[derive(Debug)]
struct RelayedAgent {
    slot: u32,
    report: AgentReport,
    /// Whether the leader has acknowledged the report's life, so that a renewal is enough.
    compact: bool,
    unsent: bool,
    urgent: bool,
    heard: Instant,
    reply: Option<OrderSender>,
    /// The newest orders and the newest renewal that came from the leader.
    newest: AgentOrders,
}

/// What goes to the leader in one call.
#[derive(Debug, Clone, Default)]
pub(crate) struct RelayBatch {
    pub(crate) reports: Vec<AgentReport>,
    pub(crate) renewals: Vec<(u32, u64)>,
}

/// The agents that are attached to a relay.
#[derive(Debug, Default)]
pub(crate) struct RelayAgents {
    agents: BTreeMap<WorkerName, RelayedAgent>,
    changed: bool,
    last_slot: u32,
    /// The agents as the leader was told of them.
    told: BTreeMap<u32, AttachedAgent>,
    last_change: u64,
    whole: bool,
}

impl RelayAgents {
    /// Takes a report; its reply is sent when there is something new, or after a time.
    pub(crate) fn take_report(&mut self, report: AgentReport, reply: OrderSender, now: Instant) {
        let worker = report.worker.clone();
        let mut newest = AgentOrders {
            incarnation: report.incarnation,
            fenced: false,
            renewed: 0,
            known: true,
            orders_index: report.known_orders,
            orders: None,
            revision: roseridge_model::ConfigRevision(0),
        };
        let previous = self.agents.remove(&worker);
        let mut slot = 0;
        let mut compact = false;
        let same_life = |a: &RelayedAgent| a.report.incarnation == report.incarnation;
        match previous {
            // Reports of one life may cross; the newer one says all that the older one did.
            Some(agent) if same_life(&agent) && agent.report.sequence > report.sequence => {
                let _ = reply.send(Ok(agent.orders_for(report.known_orders)));
                self.agents.insert(worker, agent);
                return;
            }
            Some(mut agent) if same_life(&agent) => {
                agent.answer();
                slot = agent.slot;
                compact = agent.compact && agent.report.has_same_state(&report);
                newest = agent.newest;
            }
            _ => self.changed = true,
        }
        if slot == 0 {
            self.last_slot += 1;
            slot = self.last_slot;
        }
        if report.known_orders >= newest.orders_index {
            // The agent holds them, payloads included.
            newest.orders = None;
        }
        let tells = report.announce.is_some() || !report.statuses.is_empty();
        let urgent = tells || (report.leaving && !compact);
        let mut agent = RelayedAgent {
            slot,
            report,
            compact: compact && !tells,
            unsent: true,
            urgent,
            heard: now,
            reply: Some(reply),
            newest,
        };
        if agent.has_news() {
            agent.answer();
        }
        self.agents.insert(worker, agent);
    }

    /// Returns whether the set of attached agents changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether a report must go to the leader at once.
    pub(crate) fn has_urgent(&self) -> bool {
        self.agents.values().any(|a| a.unsent && a.urgent)
    }

    /// Takes what the leader has not seen: reports with news, and renewals for the rest.
    pub(crate) fn take_unsent(&mut self) -> RelayBatch {
        let mut batch = RelayBatch::default();
        for agent in self.agents.values_mut().filter(|a| a.unsent) {
            agent.unsent = false;
            match agent.compact {
                true => batch.renewals.push((agent.slot, agent.report.sequence)),
                false => batch.reports.push(agent.report.clone()),
            }
        }
        batch
    }

    /// Notes that a batch did not arrive; what was not replaced is sent again.
    pub(crate) fn resend(&mut self, batch: &RelayBatch) {
        for agent in self.agents.values_mut() {
            let sequence = agent.report.sequence;
            let was_renewed = batch.renewals.contains(&(agent.slot, sequence));
            let was_reported = batch
                .reports
                .iter()
                .any(|report| report.worker == agent.report.worker && report.sequence == sequence);
            agent.unsent |= was_renewed || was_reported;
        }
    }

    /// Returns whether any agent is attached.
    pub(crate) fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns how the agents changed since the leader was last told of them.
    pub(crate) fn next_change(&mut self) -> AttachedChange {
        let agents = self.agents.iter().map(|(worker, agent)| AttachedAgent {
            slot: agent.slot,
            worker: worker.clone(),
            incarnation: agent.report.incarnation,
            known_orders: agent.report.known_orders.max(agent.newest.orders_index),
            known_revision: agent.report.known_revision,
        });
        let now: BTreeMap<_, _> = agents.map(|agent| (agent.slot, agent)).collect();
        let whole = std::mem::take(&mut self.whole) || self.last_change == 0;
        let is_told = |agent: &AttachedAgent| !whole && self.told.get(&agent.slot) == Some(agent);
        let attached = now.values().filter(|agent| !is_told(agent)).cloned();
        let gone = self.told.keys().filter(|slot| !now.contains_key(slot));
        self.last_change += 1;
        let change = AttachedChange {
            number: self.last_change,
            whole,
            attached: attached.collect(),
            detached: gone.copied().collect(),
        };
        self.told = now;
        change
    }

    /// Notes that the leader may not know the agents, so that it is told of all of them.
    pub(crate) fn tell_all(&mut self) {
        self.whole = true;
    }

    /// Takes the leader's answer to a batch.
    pub(crate) fn take_batch_reply(&mut self, batch: &RelayBatch, reply: RelayReply) {
        for agent in self.agents.values_mut() {
            let renewal = batch.renewals.iter().find(|(slot, _)| *slot == agent.slot);
            match renewal {
                Some((slot, _)) if reply.unknown.contains(slot) => {
                    agent.compact = false;
                    agent.unsent = true;
                }
                Some((_, sequence)) => agent.newest.renewed = agent.newest.renewed.max(*sequence),
                None => {}
            }
        }
        self.take_reply(reply);
    }

    /// Takes the leader's answers and passes on what is new.
    pub(crate) fn take_reply(&mut self, reply: RelayReply) {
        self.whole |= reply.resync;
        for agent in self.agents.values_mut() {
            agent.newest.revision = agent.newest.revision.max(reply.revision);
        }
        for (worker, orders) in reply.orders {
            // An answer to an earlier life of the agent may arrive late.
            match self.agents.get_mut(&worker) {
                Some(agent) if agent.report.incarnation == orders.incarnation => {
                    agent.take_orders(orders);
                }
                _ => {}
            }
        }
    }

    /// Sends the replies whose time is up and drops the agents that went elsewhere.
    pub(crate) fn expire(&mut self, now: Instant) {
        for agent in self.agents.values_mut() {
            if now >= agent.heard + REPLY_HOLD {
                agent.answer();
            }
        }
        let before = self.agents.len();
        self.agents
            .retain(|_, agent| now < agent.heard + DETACH_AFTER);
        self.changed |= self.agents.len() != before;
    }
}

impl RelayedAgent {
    fn has_news(&self) -> bool {
        self.newest.orders.is_some() && self.newest.orders_index > self.report.known_orders
    }

    fn take_orders(&mut self, orders: AgentOrders) {
        let acknowledges = orders.renewed >= self.report.sequence && self.urgent;
        self.newest.renewed = self.newest.renewed.max(orders.renewed);
        if orders.renewed > 0 {
            self.newest.known = orders.known;
            self.newest.fenced = orders.fenced;
            let is_whole = orders.renewed >= self.report.sequence;
            self.compact = orders.known && is_whole;
        }
        self.newest.revision = self.newest.revision.max(orders.revision);
        if orders.orders.is_some() && orders.orders_index > self.newest.orders_index {
            self.newest.orders_index = orders.orders_index;
            self.newest.orders = orders.orders.map(|news| self.with_payloads(news));
        }
        if acknowledges || self.has_news() || !self.newest.known {
            self.answer();
        }
    }

    /// Sends the newest orders to the agent, if it waits for them.
    fn answer(&mut self) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        // An agent that went away asks again.
        let _ = reply.send(Ok(self.orders_for(self.report.known_orders)));
    }

    /// Returns the newest answer, with orders only if the agent does not hold them.
    fn orders_for(&self, known: u64) -> AgentOrders {
        let orders = self.newest.orders.clone();
        AgentOrders {
            orders: orders.filter(|_| self.newest.orders_index > known),
            ..self.newest.clone()
        }
    }

    /// Keeps the payloads that the leader left out because this relay has them already.
    fn with_payloads(&self, mut news: Vec<TaskOrder>) -> Vec<TaskOrder> {
        let held = self.newest.orders.as_deref().unwrap_or_default();
        for order in news.iter_mut().filter(|o| o.payload.is_none()) {
            let known = held.iter().find(|o| o.task == order.task);
            order.payload = known.and_then(|o| o.payload.clone());
        }
        news
    }
}
