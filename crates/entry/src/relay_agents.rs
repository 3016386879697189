//! The state of the agents that are attached to a relay, without I/O.

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

/// The time after which an agent's report is answered even without new orders.
///
/// It is shorter than the ping interval, so that the connection of an idle agent is not pinged in
/// addition.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(900);
/// The time without a report after which an agent is detached.
const DETACH_TIMEOUT: Duration = Duration::from_secs(5);

type OrderSender = oneshot::Sender<Result<AgentOrders, CallError>>;

/// An attached agent with its latest report and the orders for it.
#[derive(Debug)]
struct RelayedAgent {
    /// The number that identifies the agent in messages between this relay and the leader.
    slot: u32,
    report: AgentReport,
    /// Whether the leader has acknowledged the incarnation in the report, so that a renewal can be
    /// sent instead of the full report.
    renewal_suffices: bool,
    /// Whether the report is yet to be sent to the leader.
    unsent: bool,
    /// Whether the report must not wait for the next regular batch.
    urgent: bool,
    last_report_at: Instant,
    reply: Option<OrderSender>,
    /// The newest orders and the newest renewal that were received from the leader.
    newest: AgentOrders,
}

/// Reports and renewals that are sent to the leader in one call.
#[derive(Debug, Clone, Default)]
pub(crate) struct RelayBatch {
    pub(crate) reports: Vec<AgentReport>,
    /// The slot of each agent whose lease is renewed, and the sequence number of its report.
    pub(crate) renewals: Vec<(u32, u64)>,
}

/// The agents that are attached to a relay.
#[derive(Debug, Default)]
pub(crate) struct RelayAgents {
    agents: BTreeMap<WorkerName, RelayedAgent>,
    /// Whether the set of attached agents changed since [`Self::take_changed`] was last called.
    changed: bool,
    last_slot: u32,
    /// The attached agents by slot, as they were last reported to the leader.
    last_reported: BTreeMap<u32, AttachedAgent>,
    /// The number of the last change that was reported to the leader.
    last_change: u64,
    /// Whether the next change must list all agents instead of the differences.
    needs_full_update: bool,
}

impl RelayAgents {
    /// Accepts a report of an agent.
    ///
    /// The reply is sent as soon as there are new orders, at the latest after [`MAX_REPLY_DELAY`].
    pub(crate) fn accept_report(&mut self, report: AgentReport, reply: OrderSender, now: Instant) {
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
        let mut renewal_suffices = false;
        let is_same_incarnation = |a: &RelayedAgent| a.report.incarnation == report.incarnation;
        match previous {
            // Reports of one incarnation may arrive out of order. The newer report contains all
            // that the older one does.
            Some(agent)
                if is_same_incarnation(&agent) && agent.report.sequence > report.sequence =>
            {
                let _ = reply.send(Ok(agent.orders_for(report.known_orders)));
                self.agents.insert(worker, agent);
                return;
            }
            Some(mut agent) if is_same_incarnation(&agent) => {
                agent.send_reply();
                slot = agent.slot;
                renewal_suffices = agent.renewal_suffices && agent.report.has_same_state(&report);
                newest = agent.newest;
            }
            _ => self.changed = true,
        }
        if slot == 0 {
            self.last_slot += 1;
            slot = self.last_slot;
        }
        if report.known_orders >= newest.orders_index {
            // The agent already has these orders, payloads included.
            newest.orders = None;
        }
        let has_changes = report.announce.is_some() || !report.statuses.is_empty();
        let urgent = has_changes || (report.leaving && !renewal_suffices);
        let mut agent = RelayedAgent {
            slot,
            report,
            renewal_suffices: renewal_suffices && !has_changes,
            unsent: true,
            urgent,
            last_report_at: now,
            reply: Some(reply),
            newest,
        };
        if agent.has_new_orders() {
            agent.send_reply();
        }
        self.agents.insert(worker, agent);
    }

    /// Returns whether the set of attached agents changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether there is a report that must be sent to the leader immediately.
    pub(crate) fn has_urgent(&self) -> bool {
        self.agents.values().any(|a| a.unsent && a.urgent)
    }

    /// Returns what is yet to be sent to the leader and marks it as sent: full reports of agents
    /// with changes, and renewals for the others.
    pub(crate) fn next_batch(&mut self) -> RelayBatch {
        let mut batch = RelayBatch::default();
        for agent in self.agents.values_mut().filter(|a| a.unsent) {
            agent.unsent = false;
            match agent.renewal_suffices {
                true => batch.renewals.push((agent.slot, agent.report.sequence)),
                false => batch.reports.push(agent.report.clone()),
            }
        }
        batch
    }

    /// Marks the contents of a batch that the leader did not answer as unsent, except for reports
    /// that newer ones have replaced.
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

    /// Returns how the attached agents changed since the last report of them to the leader.
    pub(crate) fn next_change(&mut self) -> AttachedChange {
        let agents = self.agents.iter().map(|(worker, agent)| AttachedAgent {
            slot: agent.slot,
            worker: worker.clone(),
            incarnation: agent.report.incarnation,
            known_orders: agent.report.known_orders.max(agent.newest.orders_index),
            known_revision: agent.report.known_revision,
        });
        let now: BTreeMap<_, _> = agents.map(|agent| (agent.slot, agent)).collect();
        let whole = std::mem::take(&mut self.needs_full_update) || self.last_change == 0;
        let is_reported =
            |agent: &AttachedAgent| !whole && self.last_reported.get(&agent.slot) == Some(agent);
        let attached = now.values().filter(|agent| !is_reported(agent)).cloned();
        let detached = self
            .last_reported
            .keys()
            .filter(|slot| !now.contains_key(slot));
        self.last_change += 1;
        let change = AttachedChange {
            number: self.last_change,
            whole,
            attached: attached.collect(),
            detached: detached.copied().collect(),
        };
        self.last_reported = now;
        change
    }

    /// Makes the next change list all agents, because the leader may not know them.
    pub(crate) fn request_full_update(&mut self) {
        self.needs_full_update = true;
    }

    /// Applies the leader's reply to a batch.
    pub(crate) fn apply_batch_reply(&mut self, batch: &RelayBatch, reply: RelayReply) {
        for agent in self.agents.values_mut() {
            let renewal = batch.renewals.iter().find(|(slot, _)| *slot == agent.slot);
            match renewal {
                Some((slot, _)) if reply.unknown.contains(slot) => {
                    agent.renewal_suffices = false;
                    agent.unsent = true;
                }
                Some((_, sequence)) => agent.newest.renewed = agent.newest.renewed.max(*sequence),
                None => {}
            }
        }
        self.apply_reply(reply);
    }

    /// Applies a reply of the leader and forwards new orders to the agents.
    pub(crate) fn apply_reply(&mut self, reply: RelayReply) {
        self.needs_full_update |= reply.resync;
        for agent in self.agents.values_mut() {
            agent.newest.revision = agent.newest.revision.max(reply.revision);
        }
        for (worker, orders) in reply.orders {
            // Orders for an earlier incarnation of the agent may arrive late and are ignored.
            match self.agents.get_mut(&worker) {
                Some(agent) if agent.report.incarnation == orders.incarnation => {
                    agent.merge_orders(orders);
                }
                _ => {}
            }
        }
    }

    /// Sends the replies that are due and detaches the agents that no longer report here.
    pub(crate) fn expire(&mut self, now: Instant) {
        for agent in self.agents.values_mut() {
            if now >= agent.last_report_at + MAX_REPLY_DELAY {
                agent.send_reply();
            }
        }
        let before = self.agents.len();
        self.agents
            .retain(|_, agent| now < agent.last_report_at + DETACH_TIMEOUT);
        self.changed |= self.agents.len() != before;
    }
}

impl RelayedAgent {
    fn has_new_orders(&self) -> bool {
        self.newest.orders.is_some() && self.newest.orders_index > self.report.known_orders
    }

    fn merge_orders(&mut self, orders: AgentOrders) {
        let is_acknowledged = orders.renewed >= self.report.sequence && self.urgent;
        self.newest.renewed = self.newest.renewed.max(orders.renewed);
        if orders.renewed > 0 {
            self.newest.known = orders.known;
            self.newest.fenced = orders.fenced;
            let is_current = orders.renewed >= self.report.sequence;
            self.renewal_suffices = orders.known && is_current;
        }
        self.newest.revision = self.newest.revision.max(orders.revision);
        if orders.orders.is_some() && orders.orders_index > self.newest.orders_index {
            self.newest.orders_index = orders.orders_index;
            self.newest.orders = orders
                .orders
                .map(|new_orders| self.restore_payloads(new_orders));
        }
        if is_acknowledged || self.has_new_orders() || !self.newest.known {
            self.send_reply();
        }
    }

    /// Sends the newest orders to the agent, if it is waiting for a reply.
    fn send_reply(&mut self) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        // An agent whose connection was lost repeats its report.
        let _ = reply.send(Ok(self.orders_for(self.report.known_orders)));
    }

    /// Returns the newest reply, with orders only if the agent does not have them yet.
    fn orders_for(&self, known: u64) -> AgentOrders {
        let orders = self.newest.orders.clone();
        AgentOrders {
            orders: orders.filter(|_| self.newest.orders_index > known),
            ..self.newest.clone()
        }
    }

    /// Fills in the payloads that the leader omitted because this relay already has them.
    fn restore_payloads(&self, mut new_orders: Vec<TaskOrder>) -> Vec<TaskOrder> {
        let previous = self.newest.orders.as_deref().unwrap_or_default();
        for order in new_orders.iter_mut().filter(|o| o.payload.is_none()) {
            let known = previous.iter().find(|o| o.task == order.task);
            order.payload = known.and_then(|o| o.payload.clone());
        }
        new_orders
    }
}
