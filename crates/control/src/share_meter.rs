//! Log lines and metrics for the shares of customers.

use std::collections::BTreeSet;

use roseridge_dispatch::CustomerShare;
use roseridge_events::{
    self as events,
    FlowMetrics,
    event, //
};
use roseridge_flow::FlowState;
use roseridge_model::CustomerName;

/// The minimum time between two updates, in milliseconds. It bounds the log to one line for each
/// customer and update.
const UPDATE_INTERVAL_MS: u64 = 5_000;
/// The label of flows that were submitted without a key.
const NO_CUSTOMER: &str = "none";

/// The customers that asked for more than their share at the last update.
#[derive(Debug, Default)]
pub(crate) struct ShareMeter {
    exceeding: BTreeSet<Option<CustomerName>>,
    updated_ms: u64,
}

impl ShareMeter {
    /// Returns whether an update is due, and if so, counts the next interval from now.
    pub(crate) fn start_update(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.updated_ms + UPDATE_INTERVAL_MS;
        if is_due {
            self.updated_ms = now_ms;
        }
        is_due
    }

    /// Sets the metrics, and logs each customer that has begun or ceased to ask for more than its
    /// share.
    pub(crate) fn update(
        &mut self,
        flows: &FlowState,
        shares: &[CustomerShare],
        metrics: &FlowMetrics,
    ) {
        let config = flows.config.iter();
        for rule in config.flat_map(|config| &config.customers) {
            metrics.customer_labels.admit(rule.name.as_str(), []);
        }
        metrics.customer_work.reset();
        for share in shares {
            let name = share.customer.as_ref();
            let name = name.map_or(NO_CUSTOMER, CustomerName::as_str);
            metrics.add_customer_work(name, "used", share.used);
            metrics.add_customer_work(name, "open", share.open);
            metrics.add_customer_work(name, "entitled", share.entitled);
            let is_exceeding = share.exceeds_entitlement();
            if is_exceeding != self.exceeding.contains(&share.customer) {
                event!(
                    info,
                    events::SHARE_CHANGED,
                    customer = name,
                    exceeded = is_exceeding,
                    used_s = format!("{:.1}", share.used),
                    open_s = format!("{:.1}", share.open),
                    entitled_s = format!("{:.1}", share.entitled),
                    guaranteed_s = format!("{:.1}", share.guaranteed),
                    customers = shares.len()
                );
            }
        }
        let exceeding = shares.iter().filter(|share| share.exceeds_entitlement());
        self.exceeding = exceeding.map(|share| share.customer.clone()).collect();
    }
}
