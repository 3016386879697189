//! Changes that operators and callers request: configuration, submission and cancellation.

use roseridge_model::{
    CustomerName,
    FlowId,
    FlowSpec,
    QueueKey,
    SiteConfig, //
};

use crate::{
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    FlowRefusal,
    FlowState,
    StopCause, //
};

impl FlowState {
    /// Puts a configuration in force if its version is higher than the current one.
    ///
    /// Open flows follow the new rules of their queue; they keep the old ones if the queue is gone.
    pub(crate) fn configure(&mut self, config: SiteConfig) -> FlowOutcome {
        let current = self.config.as_ref().map(|c| c.version);
        if let Some(version) = current.filter(|version| config.version <= *version) {
            return FlowOutcome::Configured {
                version,
                changed: false,
            };
        }
        for flow in &self.open {
            let record = self.flows.get_mut(flow);
            let rule = record
                .as_ref()
                .and_then(|r| config.queue(&r.queue.key).cloned());
            if let (Some(record), Some(rule)) = (record, rule) {
                record.queue = rule;
            }
        }
        self.run_times.retain(|queue| config.queue(queue).is_some());
        let version = config.version;
        self.config = Some(config);
        FlowOutcome::Configured {
            version,
            changed: true,
        }
    }

    /// Accepts a flow, unless its identifier belongs to a different flow or its queue is unknown.
    ///
    /// A resent submission is accepted without effect, and one that was withdrawn before is accepted as cancelled.
    pub(crate) fn submit(
        &mut self,
        flow: FlowId,
        customer: Option<CustomerName>,
        queue: &QueueKey,
        spec: FlowSpec,
    ) -> FlowOutcome {
        if let Some(outcome) = self.resubmission_outcome(flow, queue, &spec) {
            return outcome;
        }
        let rule = self.config.as_ref().and_then(|c| c.queue(queue));
        let Some(rule) = rule.cloned() else {
            return FlowOutcome::Refused(FlowRefusal::UnknownQueue);
        };
        let record = FlowRecord::new(customer, rule, spec, self.now);
        self.add_flow(flow, record);
        FlowOutcome::Accepted { again: false }
    }

    /// Returns the outcome of a submission whose flow identifier is already known, or `None` if it
    /// is new.
    pub fn resubmission_outcome(
        &self,
        flow: FlowId,
        queue: &QueueKey,
        spec: &FlowSpec,
    ) -> Option<FlowOutcome> {
        let record = self.flows.get(&flow)?;
        match record.queue.key == *queue && record.is_described_by(spec) {
            true => Some(FlowOutcome::Accepted { again: true }),
            false => Some(FlowOutcome::Refused(FlowRefusal::NameReused)),
        }
    }

    /// Cancels an open flow and orders its runs to stop; a flow that has ended stays as it is.
    pub(crate) fn cancel(&mut self, flow: FlowId) -> FlowOutcome {
        match self.flows.get(&flow).map(|record| &record.phase) {
            None => FlowOutcome::Refused(FlowRefusal::UnknownFlow),
            Some(FlowPhase::Open) => {
                self.finalize_flow(flow, FlowPhase::Cancelled { at: self.now });
                self.stop_flow(flow, StopCause::FlowEnded);
                FlowOutcome::Applied
            }
            Some(_) => FlowOutcome::Applied,
        }
    }
}
