//! Whose urgent flows are within what belongs to their customer.

use std::collections::BTreeMap;

use roseridge_flow::{
    FlowRecord,
    FlowState, //
};
use roseridge_model::CustomerName;

/// The accelerators that the urgent flows of each customer need together, at most.
#[derive(Debug, Clone, Default)]
pub(crate) struct UrgentNeeds<'a> {
    needs: BTreeMap<&'a CustomerName, u64>,
}

impl<'a> UrgentNeeds<'a> {
    pub(crate) fn of(flows: &'a FlowState) -> Self {
        let mut needs = BTreeMap::new();
        let urgent = flows.open_flows().filter(|(_, flow)| flow.queue.rank == 0);
        for (_, flow) in urgent {
            if let Some(customer) = &flow.customer {
                *needs.entry(customer).or_default() += widest_step(flow);
            }
        }
        Self { needs }
    }

    /// Returns whether all urgent flows of a flow's customer fit into what belongs to it.
    pub(crate) fn is_covered(&self, flows: &FlowState, flow: &FlowRecord) -> bool {
        let Some(customer) = &flow.customer else {
            return false;
        };
        let guaranteed = flows.config.as_ref().map_or(0, |c| c.guaranteed(customer));
        let need = self.needs.get(customer).copied().unwrap_or(0);
        flow.queue.rank == 0 && need <= u64::from(guaranteed)
    }
}

fn widest_step(flow: &FlowRecord) -> u64 {
    let steps = flow.spec.steps.iter();
    let needs = steps.map(|s| u64::from(s.count) * u64::from(s.shape.accelerators));
    needs.max().unwrap_or(0)
}
