//! Scheduling passes, admission checks and the expiry of records.

use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    DispatchLimits,
    DispatchView,
    RefusedFlow,
    check_admission_behind,
    decide, //
};
use roseridge_flow::{
    FlowChange,
    FlowState, //
};
use roseridge_model::{
    BackendId,
    CustomerName,
    DurationMs,
    FastMap,
    FlowId,
    FlowSpec,
    QueueRule,
    UnixMillis, //
};

use super::FlowController;

/// Interval between scheduling passes while the state does not change, in milliseconds.
const SCHEDULING_INTERVAL_MS: u64 = 250;

/// A flow whose admission is checked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Submission<'a> {
    pub(crate) flow: FlowId,
    pub(crate) customer: Option<&'a CustomerName>,
    pub(crate) queue: &'a QueueRule,
    pub(crate) spec: &'a FlowSpec,
}

impl FlowController {
    /// Runs a scheduling pass if the state has changed or [`SCHEDULING_INTERVAL_MS`] has elapsed.
    ///
    /// Returns `None` while earlier decisions are not committed, or if the pass decided nothing.
    pub(crate) fn next_decision(
        &mut self,
        flows: &FlowState,
        applied: u64,
        now: UnixMillis,
        now_ms: u64,
    ) -> Option<FlowChange> {
        let (index, at_ms) = self.last_decision;
        let is_due = applied > index || now_ms >= at_ms + SCHEDULING_INTERVAL_MS;
        if self.decision_pending || !is_due {
            return None;
        }
        self.last_decision = (applied, now_ms);
        self.progress_rates.retain(|run, _| {
            let flow = flows.flows.get(&run.task.flow);
            let task = flow.and_then(|flow| flow.task(run.task));
            task.is_some_and(|task| task.phase.is_placed_in(*run))
        });
        let contacts = self.contact_views(now_ms);
        let decision = decide(&self.dispatch_view(flows, &contacts, now));
        if decision.is_empty() {
            return None;
        }
        self.decision_pending = true;
        Some(FlowChange::Decide {
            stops: decision.stops,
            places: decision.places,
        })
    }

    /// Decides whether to accept a flow. A refused caller is expected to return.
    pub(crate) fn admission_decision(
        &mut self,
        flows: &FlowState,
        submission: Submission<'_>,
        now: UnixMillis,
        now_ms: u64,
    ) -> AdmissionDecision {
        let Submission {
            flow,
            customer,
            queue,
            spec,
        } = submission;
        self.returns.expire(now_ms);
        let returns = self.returns.work_ahead(customer, flow, queue.rank);
        let contacts = self.contact_views(now_ms);
        let view = self.dispatch_view(flows, &contacts, now);
        match check_admission_behind(&view, queue, spec, returns) {
            AdmissionDecision::TooLate {
                retry_after,
                planned,
                useful_for,
                inputs,
            } => {
                let refused = RefusedFlow {
                    flow,
                    rank: queue.rank,
                    work: inputs.work,
                    patience: queue.answer_limit,
                };
                let capacity = (retry_after, inputs.workers);
                AdmissionDecision::TooLate {
                    retry_after: self.returns.record(customer, refused, capacity, now_ms),
                    planned,
                    useful_for,
                    inputs,
                }
            }
            decision => {
                self.returns.remove(customer, flow);
                decision
            }
        }
    }

    /// Returns the number of refused callers who are expected to return.
    pub(crate) fn expected_returns(&self) -> usize {
        self.returns.len()
    }

    /// Returns the time since the last contact with each backend server.
    fn contact_views(&self, now_ms: u64) -> FastMap<BackendId, ContactView> {
        let contacts = self.contacts.iter();
        contacts
            .filter_map(|(id, contact)| {
                let since_contact = DurationMs(now_ms.saturating_sub(contact.last_contact_ms?));
                Some((id.clone(), ContactView { since_contact }))
            })
            .collect()
    }

    /// Returns the input of the scheduler.
    fn dispatch_view<'a>(
        &'a self,
        flows: &'a FlowState,
        contacts: &'a FastMap<BackendId, ContactView>,
        now: UnixMillis,
    ) -> DispatchView<'a> {
        DispatchView {
            flows,
            now,
            contacts,
            progress_rates: &self.progress_rates,
            limits: DispatchLimits {
                contact_timeout: DurationMs(self.timing.contact_timeout_ms),
                restore_time: DurationMs(self.timing.restore_ms),
                reclaim_wait: DurationMs(self.timing.reclaim_wait_ms),
            },
        }
    }

    /// Allows the next scheduling pass.
    pub(crate) fn end_decision(&mut self) {
        self.decision_pending = false;
    }

    /// Returns the change that expires due records, unless one is already proposed.
    pub(crate) fn next_expiry(&mut self, flows: &FlowState, now: UnixMillis) -> Option<FlowChange> {
        let due = flows.next_expiry()?;
        if self.expiry_pending || due > now {
            return None;
        }
        self.expiry_pending = true;
        Some(FlowChange::Expire)
    }

    /// Allows the next expiry.
    pub(crate) fn end_expiry(&mut self) {
        self.expiry_pending = false;
    }
}
