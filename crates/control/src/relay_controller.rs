//! The leader's in-memory state for relays: sessions, pending reports and watches.

use std::collections::BTreeMap;

use roseridge_ledger::LedgerState;
use roseridge_model::{
    IncarnationId,
    WorkerName, //
};
use roseridge_wire::{
    AgentOrders,
    AgentReport,
    AttachedAgent,
    AttachedChange,
    CallError,
    ControlReply,
    RelayReply, //
};

use crate::{
    RelaySession,
    leader_controller::ReplySender, //
};

/// Maximum time for which a watch without new orders is held back, in milliseconds.
pub(crate) const WATCH_TIMEOUT_MS: u64 = 1_000;

/// Time since the last contact with a relay after which its session is dropped, in milliseconds.
const SESSION_EXPIRY_MS: u64 = 30_000;

/// A relay's report whose proposals are not all committed.
#[derive(Debug)]
struct PendingReport {
    reports: Vec<AgentReport>,
    /// The slots without an agent of a current incarnation.
    unknown: Vec<u32>,
    /// The number of proposals that are not committed yet.
    uncommitted: usize,
    /// Whether another entry was committed in place of one of the proposals.
    has_failed: bool,
    reply: ReplySender,
}

/// A relay that waits for new orders for its agents.
#[derive(Debug)]
struct OrderWatch {
    session: u64,
    /// The applied index at which the orders were last checked. There are no new orders until it
    /// changes.
    checked_index: Option<u64>,
    until_ms: u64,
    reply: ReplySender,
}

/// The sessions, pending reports and watches of relays.
#[derive(Debug, Default)]
pub(crate) struct RelayController {
    /// The sessions of relays, with the time of the last contact in each.
    sessions: BTreeMap<u64, (RelaySession, u64)>,
    last_report: u64,
    reports: BTreeMap<u64, PendingReport>,
    watches: Vec<OrderWatch>,
}

impl RelayController {
    /// Assigns the number of the next report.
    pub(crate) fn next_report_number(&mut self) -> u64 {
        self.last_report += 1;
        self.last_report
    }

    /// Holds back the reply to a report until its proposals are committed.
    pub(crate) fn track_report(
        &mut self,
        number: u64,
        reports: Vec<AgentReport>,
        unknown: Vec<u32>,
        uncommitted: usize,
        reply: ReplySender,
    ) {
        let report = PendingReport {
            reports,
            unknown,
            uncommitted,
            has_failed: false,
            reply,
        };
        self.reports.insert(number, report);
    }

    /// Records the outcome of one proposal of a report.
    pub(crate) fn complete_proposal(&mut self, number: u64, is_committed: bool) {
        if let Some(report) = self.reports.get_mut(&number) {
            report.uncommitted -= 1;
            report.has_failed |= !is_committed;
        }
    }

    /// Returns the agent of a slot in a relay's session.
    pub(crate) fn agent(&self, session: u64, slot: u32) -> Option<&AttachedAgent> {
        self.sessions.get(&session)?.0.agent(slot)
    }

    /// Applies a change of a relay's agents, and holds back the reply until one of them has new
    /// orders.
    ///
    /// Requests the whole set of agents if the change does not follow the last one.
    pub(crate) fn watch(
        &mut self,
        session: u64,
        change: &AttachedChange,
        now_ms: u64,
        reply: ReplySender,
    ) {
        self.sessions
            .retain(|_, (_, last_contact_ms)| *last_contact_ms + SESSION_EXPIRY_MS > now_ms);
        let (relay_session, last_contact_ms) = self.sessions.entry(session).or_default();
        *last_contact_ms = now_ms;
        if !relay_session.apply(change) {
            let resync = RelayReply {
                resync: true,
                ..RelayReply::default()
            };
            let _ = reply.send(Ok(ControlReply::Relay(resync)));
            return;
        }
        self.watches.push(OrderWatch {
            session,
            checked_index: None,
            until_ms: now_ms + WATCH_TIMEOUT_MS,
            reply,
        });
    }

    /// Answers the reports whose proposals are committed, and the watches that have new orders or
    /// have timed out.
    pub(crate) fn answer_pending(&mut self, ledger: &LedgerState, now_ms: u64) {
        let ready: Vec<_> = self
            .reports
            .extract_if(.., |_, report| report.uncommitted == 0)
            .collect();
        for (_, report) in ready {
            let answer = match report.has_failed {
                true => Err(CallError::OutcomeUnknown),
                false => Ok(ControlReply::Relay(RelayReply {
                    unknown: report.unknown,
                    ..report_reply(ledger, &report.reports)
                })),
            };
            let _ = report.reply.send(answer);
        }
        for mut watch in std::mem::take(&mut self.watches) {
            if watch.reply.is_canceled() {
                continue;
            }
            let updates = match watch.checked_index {
                Some(index) if index == ledger.applied => RelayReply::default(),
                _ => self.watch_reply(ledger, watch.session),
            };
            watch.checked_index = Some(ledger.applied);
            if updates.orders.is_empty() && watch.until_ms > now_ms {
                self.watches.push(watch);
                continue;
            }
            let reply = RelayReply {
                revision: ledger.revision,
                ..updates
            };
            let _ = watch.reply.send(Ok(ControlReply::Relay(reply)));
        }
    }

    /// Returns the new orders for the agents of a session.
    fn watch_reply(&self, ledger: &LedgerState, session: u64) -> RelayReply {
        let session = self.sessions.get(&session);
        let agents = session
            .into_iter()
            .flat_map(|(relay_session, _)| relay_session.agents());
        let updates = agents.filter_map(|agent| {
            let orders = orders_since(ledger, &agent.worker, agent.incarnation, agent.known_orders);
            orders
                .orders
                .is_some()
                .then(|| (agent.worker.clone(), orders))
        });
        RelayReply {
            orders: updates.collect(),
            ..RelayReply::default()
        }
    }
}

/// Returns the orders for the reported agents, which also confirm the renewal of their leases.
fn report_reply(ledger: &LedgerState, reports: &[AgentReport]) -> RelayReply {
    let orders = reports.iter().map(|report| {
        let orders = orders_since(
            ledger,
            &report.worker,
            report.incarnation,
            report.known_orders,
        );
        let orders = AgentOrders {
            renewed: report.sequence,
            ..orders
        };
        (report.worker.clone(), orders)
    });
    RelayReply {
        orders: orders.collect(),
        revision: ledger.revision,
        ..RelayReply::default()
    }
}

/// Returns the orders for an agent if they changed after the index that it knows.
fn orders_since(
    ledger: &LedgerState,
    worker: &WorkerName,
    incarnation: IncarnationId,
    known_index: u64,
) -> AgentOrders {
    let worker_record = ledger.workers.get(worker);
    let record = worker_record.filter(|w| w.live && w.incarnation == incarnation);
    let updates = record.filter(|w| w.orders_index > known_index);
    AgentOrders {
        incarnation,
        renewed: 0,
        known: record.is_some(),
        fenced: worker_record.is_some_and(|w| w.retired.contains(&incarnation)),
        orders_index: updates.map_or(known_index, |w| w.orders_index),
        orders: updates.map(|_| ledger.orders_for(worker, known_index)),
        revision: ledger.revision,
    }
}
