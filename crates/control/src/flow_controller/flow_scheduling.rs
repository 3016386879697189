//! Scheduling passes, admission checks and the expiry of records.

use roseridge_dispatch::{
    AdmissionDecision,
    ContactView,
    DispatchLimits,
    DispatchView,
    check_admission,
    customer_shares,
    decide, //
};
use roseridge_events::FlowMetrics;
use roseridge_flow::{
    FlowChange,
    FlowState, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    FlowSpec,
    QueueRule,
    RunKey,
    UnixMillis, //
};

use super::FlowController;

/// Interval between scheduling passes while the state does not change, in milliseconds.
const SCHEDULING_INTERVAL_MS: u64 = 250;

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
        let is_placed = |run: &RunKey| {
            let flow = flows.flows.get(&run.task.flow);
            let task = flow.and_then(|flow| flow.task(run.task));
            task.is_some_and(|task| task.phase.is_placed_in(*run))
        };
        self.progress_rates.retain(|run, _| is_placed(run));
        self.started_runs.retain(is_placed);
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

    /// Updates the log lines and metrics for the shares of customers, if that is due.
    pub(crate) fn report_shares(
        &mut self,
        flows: &FlowState,
        metrics: &FlowMetrics,
        now: UnixMillis,
        now_ms: u64,
    ) {
        if self.share_meter.start_update(now_ms) {
            let contacts = self.contact_views(now_ms);
            let shares = customer_shares(&self.dispatch_view(flows, &contacts, now));
            self.share_meter.update(flows, &shares, metrics);
        }
    }

    /// Decides whether to accept a flow.
    pub(crate) fn admission_decision(
        &self,
        flows: &FlowState,
        (queue, spec): (&QueueRule, &FlowSpec),
        (now, now_ms): (UnixMillis, u64),
    ) -> AdmissionDecision {
        let contacts = self.contact_views(now_ms);
        check_admission(&self.dispatch_view(flows, &contacts, now), queue, spec)
    }

    /// Returns the time since the last contact with each backend server.
    ///
    /// The contact of the leader with the agent and that of the agent with the backend server are each as
    /// old as the older one. Their ages aren't added, since a list is up to its requested wait old anyway.
    fn contact_views(&self, now_ms: u64) -> FastMap<BackendId, ContactView> {
        let contacts = self.contacts.iter();
        contacts
            .filter_map(|(id, contact)| {
                let since_report_ms = now_ms.saturating_sub(contact.last_contact_ms?);
                let contact = ContactView {
                    since_contact: DurationMs(since_report_ms.max(contact.list_age_ms)),
                    cold_remaining: DurationMs(contact.cold_until_ms.saturating_sub(now_ms)),
                };
                Some((id.clone(), contact))
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
            proposed_flow_bytes: self.pending_submissions.values().sum(),
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
