//! Which urgent flows are within their customer's guarantee.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    FlowRecord,
    FlowState, //
};
use roseridge_model::{
    CustomerName,
    FlowId,
    UnixMillis, //
};

/// The open urgent flows that fit within the guarantees of their customers.
///
/// Load pattern: a customer submits more urgent work than it is guaranteed. The flows of each customer
/// are taken in the order of acceptance, and each one that still fits beside those taken before is within
/// the guarantee. A flow that doesn't fit takes nothing away from later ones. A flow needs the
/// accelerators of its largest step.
#[derive(Debug, Clone, Default)]
pub(crate) struct UrgentDemand {
    within_guarantee: BTreeSet<FlowId>,
}

impl UrgentDemand {
    /// Selects the flows within the guarantee of each customer.
    pub(crate) fn from_flows(flows: &FlowState) -> Self {
        let mut urgent = BTreeMap::<&CustomerName, Vec<(UnixMillis, FlowId, u64)>>::new();
        for (id, flow) in flows.open_flows().filter(|(_, f)| f.queue.rank == 0) {
            if let Some(customer) = &flow.customer {
                let demand = (flow.accepted, id, peak_accelerators(flow));
                urgent.entry(customer).or_default().push(demand);
            }
        }
        let mut within_guarantee = BTreeSet::new();
        for (customer, mut demands) in urgent {
            let guaranteed = flows.config.as_ref().map_or(0, |c| c.guaranteed(customer));
            let mut remaining = u64::from(guaranteed);
            demands.sort_unstable();
            for (_, flow, accelerators) in demands {
                if let Some(rest) = remaining.checked_sub(accelerators) {
                    remaining = rest;
                    within_guarantee.insert(flow);
                }
            }
        }
        Self { within_guarantee }
    }

    /// Returns whether a flow is urgent and within its customer's guarantee.
    pub(crate) fn is_within_guarantee(&self, flow: FlowId) -> bool {
        self.within_guarantee.contains(&flow)
    }
}

/// Returns the number of accelerators that the largest step of a flow uses.
fn peak_accelerators(flow: &FlowRecord) -> u64 {
    let steps = flow.spec.steps.iter();
    let demand = steps.map(|s| u64::from(s.count) * u64::from(s.shape.accelerators));
    demand.max().unwrap_or(0)
}
