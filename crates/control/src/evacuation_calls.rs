//! Calls about evacuated failure domains, which the leader answers.

use roseridge_flow::{
    FlowChange,
    FlowState, //
};
use roseridge_model::DomainName;
use roseridge_wire::{
    EvacuationView,
    EvacuationsView,
    FlowCall,
    FlowReply, //
};

use crate::{
    flow_calls::send_reply,
    leader_controller::ReplySender,
    replica_task::ReplicaTask, //
};

impl ReplicaTask {
    /// Answers a call about evacuated failure domains, or proposes the change that it requests.
    ///
    /// It may be used only while this replica leads and may serve. A change is answered once it is
    /// committed.
    pub(crate) fn handle_evacuation_call(&mut self, call: FlowCall, reply: ReplySender) {
        match call {
            FlowCall::Evacuate { domain, base } => {
                self.propose_flow(FlowChange::Evacuate { domain, base }, reply);
            }
            FlowCall::Restore { domain, base } => {
                self.propose_flow(FlowChange::Restore { domain, base }, reply);
            }
            _ => {
                let view = evacuations_view(&self.ledger.flows);
                send_reply(reply, FlowReply::Evacuations(view));
            }
        }
    }
}

/// Returns the view of the evacuations and the revisions of their domains.
fn evacuations_view(flows: &FlowState) -> EvacuationsView {
    let records = flows.evacuations.records();
    let domains = records.map(|(domain, record)| {
        let (backends, runs) = remaining_counts(flows, domain);
        EvacuationView {
            domain: domain.clone(),
            revision: record.revision,
            since: record.since,
            backends,
            runs,
        }
    });
    EvacuationsView {
        floor: flows.evacuations.floor(),
        now: flows.now,
        domains: domains.collect(),
    }
}

/// Returns the numbers of backend servers with a lease and of runs in a domain.
pub(crate) fn remaining_counts(flows: &FlowState, domain: &DomainName) -> (u32, u32) {
    let backends = flows.backends.values();
    let present = backends.filter(|b| b.has_lease() && b.profile.domain == *domain);
    present.fold((0, 0), |(backends, runs), record| {
        let count = u32::try_from(record.runs.len()).unwrap_or(u32::MAX);
        (backends + 1, runs + count)
    })
}
