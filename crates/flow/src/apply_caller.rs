//! What operators and callers change.

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
    /// Puts a configuration in force if its version is higher; an older one changes nothing.
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
        self.flows.insert(flow, record);
        self.open.insert(flow);
        FlowOutcome::Accepted { again: false }
    }

    /// Returns what a submission comes to whose name is known already.
    pub fn resubmission_outcome(
        &self,
        flow: FlowId,
        queue: &QueueKey,
        spec: &FlowSpec,
    ) -> Option<FlowOutcome> {
        let record = self.flows.get(&flow)?;
        match record.queue.key == *queue && record.spec == *spec {
            true => Some(FlowOutcome::Accepted { again: true }),
            false => Some(FlowOutcome::Refused(FlowRefusal::NameReused)),
        }
    }

    pub(crate) fn cancel(&mut self, flow: FlowId) -> FlowOutcome {
        match self.flows.get(&flow).map(|record| &record.phase) {
            None => FlowOutcome::Refused(FlowRefusal::UnknownFlow),
            Some(FlowPhase::Open) => {
                self.end_flow(flow, FlowPhase::Cancelled { at: self.now });
                self.stop_flow(flow, StopCause::FlowEnded);
                FlowOutcome::Applied
            }
            Some(_) => FlowOutcome::Applied,
        }
    }
}
