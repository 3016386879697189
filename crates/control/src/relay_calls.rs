//! Calls of relays, which the leader answers.

use log::info;
use roseridge_events as events;
use roseridge_ledger::LedgerChange;
use roseridge_wire::{
    AgentReport,
    RelayReport,
    RelayRequest, //
};

use crate::{
    leader_controller::{
        ProposalOwner,
        ReplySender, //
    },
    replica_task::ReplicaTask,
};

impl ReplicaTask {
    /// Renews the leases of the agents in a relay's report and proposes the changes in it.
    ///
    /// The reply waits until all proposals of the report are committed. A watch is held back until
    /// the relay's agents have new orders.
    pub(crate) fn handle_relay_report(&mut self, report: RelayReport, reply: ReplySender) {
        let now_ms = self.clock.now_ms();
        let Some(controller) = &mut self.controller else {
            return;
        };
        let (reports, renewals) = match report.request {
            RelayRequest::Watch(change) => {
                controller
                    .relays
                    .watch(report.session, &change, now_ms, reply);
                return;
            }
            RelayRequest::Report { reports, renewals } => (reports, renewals),
        };
        let number = controller.relays.next_report_number();
        let unknown = controller.renew_slot_leases(&self.ledger, report.session, &renewals, now_ms);
        let mut proposed = 0;
        for report in &reports {
            if let Some(controller) = &mut self.controller {
                controller.renew_lease(&report.worker, report.incarnation, now_ms);
                let worker = report.worker.as_str();
                controller
                    .rollout
                    .record_agent(worker, report.known_revision, now_ms);
            }
            let Some(change) = self.change_from_report(report) else {
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
        if let Some(controller) = &mut self.controller {
            controller
                .relays
                .track_report(number, reports, unknown, proposed, reply);
        }
    }

    /// Returns the change to propose for an agent's report, if the report contains anything new.
    fn change_from_report(&self, report: &AgentReport) -> Option<LedgerChange> {
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
