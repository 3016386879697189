//! Which urgent flows are within their customer's guarantee.

use std::collections::BTreeMap;

use roseridge_flow::{
    FlowRecord,
    FlowState, //
};
use roseridge_model::CustomerName;

/// The number of accelerators that the open urgent flows of each customer need: the sum over their
/// largest steps.
#[derive(Debug, Clone, Default)]
pub(crate) struct UrgentDemand<'a> {
    accelerators: BTreeMap<&'a CustomerName, u64>,
}

impl<'a> UrgentDemand<'a> {
    /// Sums the demand of the open urgent flows of each customer.
    pub(crate) fn from_flows(flows: &'a FlowState) -> Self {
        let mut accelerators = BTreeMap::new();
        let urgent = flows.open_flows().filter(|(_, flow)| flow.queue.rank == 0);
        for (_, flow) in urgent {
            if let Some(customer) = &flow.customer {
                *accelerators.entry(customer).or_default() += peak_accelerators(flow);
            }
        }
        Self { accelerators }
    }

    /// Returns whether a flow is urgent and all urgent flows of its customer fit into the guarantee.
    pub(crate) fn is_within_guarantee(&self, flows: &FlowState, flow: &FlowRecord) -> bool {
        let Some(customer) = &flow.customer else {
            return false;
        };
        let guaranteed = flows.config.as_ref().map_or(0, |c| c.guaranteed(customer));
        let demand = self.accelerators.get(customer).copied().unwrap_or(0);
        flow.queue.rank == 0 && demand <= u64::from(guaranteed)
    }
}

/// Returns the number of accelerators that the largest step of a flow uses.
fn peak_accelerators(flow: &FlowRecord) -> u64 {
    let steps = flow.spec.steps.iter();
    let demand = steps.map(|s| u64::from(s.count) * u64::from(s.shape.accelerators));
    demand.max().unwrap_or(0)
}
