//! Replies to the reports of agents: orders and leases.

use roseridge_flow::{
    FlowPhase,
    FlowState, //
};
use roseridge_model::{
    FlowId,
    RunKey, //
};
use roseridge_wire::{
    BackendReport,
    ControlReply,
    FlowOrders,
    FlowReply,
    FlowReport,
    GroupView,
    RunOrder, //
};

use super::{
    FlowController,
    HeldReport,
    PendingChange,
    SLOWEST_CLOCK_PERCENT,
    is_ended,
    max_lease_ms, //
};
use crate::{
    leader_controller::ReplySender,
    restart_barrier::{
        stop_orders,
        unsettled_incarnation, //
    },
};

/// The maximum size of the texts in one reply to an agent, in bytes. A single text may be larger.
const MAX_TEXTS_BYTES: usize = 1_048_576;

impl FlowController {
    /// Answers the held reports for which there is an update or whose requested wait has elapsed.
    ///
    /// The fence of the orders is the leader's term, increased by what tells the incarnations on the instance apart:
    /// it grows with both.
    pub fn answer_reports(&mut self, flows: &FlowState, term: u64, group: &GroupView, now_ms: u64) {
        for (instance, held_report) in std::mem::take(&mut self.held_reports) {
            let fence = term.saturating_add(flows.fences.of_instance(&instance));
            let is_due = held_report.arrived_ms + held_report.report.hold.0 <= now_ms;
            match held_report.replies.iter().all(ReplySender::is_canceled) {
                true => {}
                false if is_due || has_updates(flows, &held_report.report, fence) => {
                    let orders = self.orders_for(flows, &held_report, (fence, group), now_ms);
                    let backend = orders.backend.as_ref();
                    let hidden_ends = backend.map_or(0, |id| flows.doubts.hidden_ends(id));
                    let orders = match hidden_ends {
                        0 => FlowReply::Orders(orders),
                        _ => FlowReply::OrdersOnTrial {
                            orders,
                            hidden_ends,
                        },
                    };
                    for reply in held_report.replies {
                        // Sending fails if the agent has disconnected. It reports again.
                        let _ = reply.send(Ok(ControlReply::Flow(orders.clone())));
                    }
                }
                false => {
                    self.held_reports.insert(instance, held_report);
                }
            }
        }
    }

    /// Builds the reply to a report and renews the lease of its backend server.
    fn orders_for(
        &mut self,
        flows: &FlowState,
        held_report: &HeldReport,
        (fence, group): (u64, &GroupView),
        now_ms: u64,
    ) -> FlowOrders {
        let report = &held_report.report;
        let mut orders = FlowOrders {
            fence,
            group: (group.digest != report.known_group).then(|| group.clone()),
            ..FlowOrders::default()
        };
        let Some(backend) = &report.backend else {
            return orders;
        };
        orders.backend = Some(backend.backend.clone());
        let record = flows.backends.get(&backend.backend);
        let Some(record) = record.filter(|record| record.has_lease()) else {
            orders.wants_profile = record.is_none_or(|r| !is_ended(r.status));
            if let Some(earlier) = unsettled_incarnation(flows, report) {
                orders.index = earlier.orders_index;
                orders.runs = Some(stop_orders(earlier));
            }
            return orders;
        };
        // The announcement of a change may be delayed or lost. Without this request, the agent would
        // not send the profile again.
        orders.wants_profile = backend
            .profile
            .as_ref()
            .is_some_and(|p| *p != record.profile && p.service == record.profile.service);
        orders.index = record.orders_index;
        orders.ends_seen = record.ends_seen;
        orders.lease_until_ms = self.renew_lease(backend, held_report.arrived_ms, now_ms);
        if record.orders_index > backend.known_orders {
            let runs = record.runs.iter();
            let runs: Vec<_> = runs
                .map(|(run, held)| RunOrder {
                    run: *run,
                    stop: held.stop.is_some(),
                    saved: checkpoint_for(flows, *run),
                })
                .collect();
            let (texts, is_complete) = missing_texts(flows, &runs, &backend.texts);
            if !is_complete {
                // The agent then reports that it lacks the newest orders, and gets the other texts.
                orders.index = record.orders_index - 1;
            }
            orders.texts = texts;
            orders.runs = Some(runs);
        }
        orders
    }

    /// Renews the lease of a backend server and returns its end on the backend server's clock.
    ///
    /// The report carries a reading of that clock. Since then the clock has advanced at least by
    /// the time for which the report was held here, at the slowest rate. The leader itself waits
    /// for the lease to end by the slowest clock. Returns `None` once the loss of the backend
    /// server is proposed, and while its agent can't reach it: the lease ends unless it answers.
    fn renew_lease(&mut self, report: &BackendReport, arrived_ms: u64, now_ms: u64) -> Option<u64> {
        let loss = PendingChange::Lose(report.backend.clone());
        if self.proposals.contains_key(&loss) || !self.is_backend_heard(report) {
            return None;
        }
        let held_ms = now_ms.saturating_sub(arrived_ms);
        let contact = self.contacts.get_mut(&report.backend)?;
        contact.lease_end_ms = contact.lease_end_ms.max(now_ms + max_lease_ms(self.timing));
        let elapsed_ms = held_ms * SLOWEST_CLOCK_PERCENT / 100;
        Some(report.clock_ms + elapsed_ms + self.timing.lease_ms)
    }
}

/// Returns whether a reply would contain anything that the agent does not know yet.
fn has_updates(flows: &FlowState, report: &FlowReport, fence: u64) -> bool {
    let Some(backend) = report
        .backend
        .as_ref()
        .filter(|_| fence <= report.known_fence)
    else {
        return fence > report.known_fence;
    };
    match flows.backends.get(&backend.backend) {
        Some(record) if record.has_lease() => {
            record.orders_index > backend.known_orders || record.ends_seen > backend.known_ends
        }
        Some(record) => !is_ended(record.status) && backend.profile.is_none(),
        None => {
            let earlier = unsettled_incarnation(flows, report);
            backend.profile.is_none()
                || earlier.is_some_and(|e| e.orders_index > backend.known_orders)
        }
    }
}

/// Returns the checkpoint from which a run starts. The members of a gang share one checkpoint.
fn checkpoint_for(flows: &FlowState, run: RunKey) -> String {
    let flow = flows.flows.get(&run.task.flow);
    let spec = flow.and_then(|flow| flow.step_spec(run.task));
    let checkpoint = match (flow, spec) {
        (Some(flow), Some(spec)) if spec.gang => {
            flow.step(run.task).map(|step| step.newest_checkpoint().0)
        }
        (Some(flow), _) => flow.task(run.task).map(|task| task.saved.as_str()),
        (None, _) => None,
    };
    checkpoint.unwrap_or_default().to_owned()
}

/// Returns the texts of the flows in the orders, without those that the agent already holds, up to
/// [`MAX_TEXTS_BYTES`], and whether these are all.
///
/// The record of an ended flow no longer has its text, and no run of it may start.
fn missing_texts(
    flows: &FlowState,
    runs: &[RunOrder],
    held: &[FlowId],
) -> (Vec<(FlowId, String)>, bool) {
    let mut texts: Vec<(FlowId, String)> = Vec::new();
    let mut total_bytes = 0;
    for order in runs.iter().filter(|order| !order.stop) {
        let flow = order.run.task.flow;
        let is_known = held.contains(&flow) || texts.iter().any(|(known, _)| *known == flow);
        let record = flows.flows.get(&flow).filter(|_| !is_known);
        if let Some(record) = record.filter(|record| record.phase == FlowPhase::Open) {
            total_bytes += record.spec.text.len();
            if total_bytes > MAX_TEXTS_BYTES && !texts.is_empty() {
                return (texts, false);
            }
            texts.push((flow, record.spec.text.clone()));
        }
    }
    (texts, true)
}
