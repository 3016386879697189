//! The reports of relays, on the leader.

use log::info;
use roseridge_events as events;
use roseridge_ledger::LedgerChange;
use roseridge_wire::{
    AgentReport,
    RelayReport, //
    RelayRequest,
};

use crate::{
    leader_desk::{
        ProposalOwner,
        ReplySender, //
    },
    replica_task::ReplicaTask,
};

impl ReplicaTask {
    pub(crate) fn take_relay(&mut self, report: RelayReport, reply: ReplySender) {
        let now_ms = self.clock.now_ms();
        let Some(desk) = &mut self.desk else {
            return;
        };
        let (reports, renewals) = match report.request {
            RelayRequest::Watch(change) => {
                desk.relays.watch(report.session, &change, now_ms, reply);
                return;
            }
            RelayRequest::Report { reports, renewals } => (reports, renewals),
        };
        let number = desk.relays.next_number();
        let unknown = desk.renew_slots(&self.ledger, report.session, &renewals, now_ms);
        let mut proposed = 0;
        for report in &reports {
            if let Some(desk) = &mut self.desk {
                desk.renew(&report.worker, report.incarnation, now_ms);
                let worker = report.worker.as_str();
                desk.rollout
                    .hear_agent(worker, report.known_revision, now_ms);
            }
            let Some(change) = self.change_of(report) else {
                continue;
            };
            match self.propose(change, ProposalOwner::Relay(number)) {
                Ok(()) => proposed += 1,
                Err((error, _)) => {
                    let _ = reply.send(Err(error));
                    return;
                }
            }
        }
        if let Some(desk) = &mut self.desk {
            desk.relays.open(number, reports, unknown, proposed, reply);
        }
    }

    /// Returns the change that a report asks for, if it tells anything new.
    fn change_of(&self, report: &AgentReport) -> Option<LedgerChange> {
        let worker = self.ledger.workers.get(&report.worker);
        let known = worker.filter(|w| w.live && w.incarnation == report.incarnation);
        let is_retired = worker.is_some_and(|w| w.retired.contains(&report.incarnation));
        match (&report.announce, known) {
            (Some(_), None) if is_retired => None,
            (Some(shape), None) => {
                info!("{}", events::WORKER_ANNOUNCED.line(&report.worker));
                Some(LedgerChange::AnnounceWorker {
                    worker: report.worker.clone(),
                    incarnation: report.incarnation,
                    shape: shape.clone(),
                    found: report.statuses.clone(),
                    leaving: report.leaving,
                })
            }
            (_, Some(worker))
                if !report.statuses.is_empty() || (report.leaving && !worker.leaving) =>
            {
                Some(LedgerChange::Report {
                    worker: report.worker.clone(),
                    incarnation: report.incarnation,
                    statuses: report.statuses.clone(),
                    leaving: report.leaving,
                })
            }
            _ => None,
        }
    }
}
