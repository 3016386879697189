//! Orders of operators to evacuate a failure domain or to withdraw that.

use std::time::{
    Duration,
    Instant, //
};

use roseridge_model::DomainName;
use roseridge_wire::{
    FlowCall,
    FlowReply, //
};

use crate::{
    CallResult,
    FlowClient, //
};

/// An operator's order about a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationOrder {
    /// Its backend servers shall receive no more work.
    Evacuate(DomainName),
    /// Its backend servers may receive work again.
    Restore(DomainName),
}

impl EvacuationOrder {
    /// Returns the failure domain.
    pub fn domain(&self) -> &DomainName {
        match self {
            Self::Evacuate(domain) | Self::Restore(domain) => domain,
        }
    }

    /// Returns the call that requests the change, based on a revision of the domain.
    fn call(self, base: u64) -> FlowCall {
        match self {
            Self::Evacuate(domain) => FlowCall::Evacuate { domain, base },
            Self::Restore(domain) => FlowCall::Restore { domain, base },
        }
    }
}

/// Reads the revision of the domain from the leader and then requests the change, within `limit`.
///
/// An overtaken order is not repeated with the newer revision: it would undo the change that came
/// before it, which may have been ordered later.
pub async fn send_evacuation_order(
    client: &FlowClient,
    order: EvacuationOrder,
    limit: Duration,
) -> CallResult {
    let started_at = Instant::now();
    let base = match client.request(FlowCall::ReadEvacuations, limit).await {
        CallResult::Answered(FlowReply::Evacuations(view)) => view.revision(order.domain()),
        result => return result,
    };
    let remaining = limit.saturating_sub(started_at.elapsed());
    client.request(order.call(base), remaining).await
}
