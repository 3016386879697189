//! The calls about flows that a leader answers.

use std::hash::{
    Hash,
    Hasher, //
};

use roseridge_dispatch::AdmissionDecision;
use roseridge_flow::{
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    FlowRefusal, //
};
use roseridge_ledger::{
    CommandOutcome,
    LedgerChange, //
};
use roseridge_model::{
    CustomerName,
    FlowId,
    FlowSpec,
    QueueKey,
    QueueRule,
    SiteConfig, //
};
use roseridge_wire::{
    CallError,
    CallerAction,
    CallerRequest,
    ControlReply,
    FlowCall,
    FlowReply,
    FlowReport,
    FlowStage,
    GroupView,
    LoadRefusal, //
};
use rustc_hash::FxHasher;

use crate::{
    flow_events,
    leader_desk::{
        ProposalOwner,
        ReplySender, //
    },
    replica_task::ReplicaTask,
    site_report::site_view, //
};

/// Who calls, and which queue is meant.
struct CallerPlace<'a> {
    queue: &'a QueueRule,
    customer: Option<CustomerName>,
    /// What follows the queue's prefix in the path.
    rest: &'a str,
}

impl ReplicaTask {
    /// Answers a call about flows; this replica leads and may serve.
    pub(crate) fn take_flow(&mut self, call: FlowCall, reply: ReplySender) {
        match call {
            FlowCall::Caller(request) => self.take_caller(request, reply),
            FlowCall::Configure(config) => self.configure(config, reply),
            FlowCall::ReadConfig => {
                let config = self.ledger.flows.config.as_ref();
                let found = config.map_or(FlowReply::NoConfig, |config| FlowReply::Config {
                    version: config.version,
                    text: config.text.clone(),
                });
                answer(reply, found);
            }
            FlowCall::Report(report) => self.take_flow_report(*report, reply),
            FlowCall::ReadGroup { relay } => {
                let now_ms = self.clock.now_ms();
                if let (Some(relay), Some(desk)) = (relay, &mut self.desk) {
                    desk.flows.note_relay(relay, now_ms);
                }
                answer(reply, FlowReply::Group(self.group_view(now_ms)));
            }
            // A replica knows the members from its log.
            FlowCall::UpdateGroup(_) => answer(reply, FlowReply::Noted),
            FlowCall::ReadSite => answer(reply, FlowReply::Site(site_view(&self.ledger.flows))),
            FlowCall::ReadFlow { flow } => {
                let record = self.ledger.flows.flows.get(&flow).cloned();
                let found = record.map(|record| FlowReply::Flow(Box::new(record)));
                answer(reply, found.unwrap_or(FlowReply::UnknownFlow));
            }
        }
    }

    fn configure(&mut self, config: SiteConfig, reply: ReplySender) {
        // An invalid configuration is refused whatever its version.
        match config.check() {
            Err(error) => {
                flow_events::tell_bad_config(config.version, &error.to_string());
                answer(reply, FlowReply::InvalidConfig(error));
            }
            Ok(()) => self.propose_flow(FlowChange::Configure(config), reply),
        }
    }

    fn take_caller(&mut self, request: CallerRequest, reply: ReplySender) {
        let CallerRequest {
            host,
            path,
            key,
            action,
        } = request;
        let place = match self.place_of(&host, &path, key.as_deref()) {
            Ok(place) => place,
            Err(refusal) => return self.answer_request(&path, *refusal, reply),
        };
        let (queue, rest) = (&place.queue.key, place.rest);
        if rest.is_empty() {
            let found = match action {
                CallerAction::Read => {
                    FlowReply::Pending(self.ledger.flows.pending_count(queue) as u64)
                }
                _ => FlowReply::BadName,
            };
            return self.answer_request(&path, found, reply);
        }
        let Ok(flow) = rest.parse::<FlowId>() else {
            let found = match action {
                CallerAction::Submit(_) => FlowReply::BadName,
                _ => FlowReply::UnknownFlow,
            };
            return self.answer_request(&path, found, reply);
        };
        let known = self.known_flow(flow, &place);
        match action {
            CallerAction::Read => {
                let found = known.map_or(FlowReply::UnknownFlow, |record| {
                    FlowReply::Stage(self.stage_of(flow, record))
                });
                self.answer_request(&path, found, reply);
            }
            CallerAction::Cancel => match known.map(|record| &record.phase) {
                None => self.answer_request(&path, FlowReply::UnknownFlow, reply),
                Some(FlowPhase::Open) => self.propose_flow(FlowChange::Cancel { flow }, reply),
                Some(_) => answer(reply, FlowReply::Cancelled),
            },
            CallerAction::Submit(spec) => {
                let (queue, customer) = (queue.clone(), place.customer);
                self.submit_flow(flow, (queue, customer), spec, reply);
            }
        }
    }

    /// Answers a request, and tells of a refusal that the request itself is the cause of.
    fn answer_request(&self, path: &str, found: FlowReply, reply: ReplySender) {
        let is_denied = matches!(
            found,
            FlowReply::UnknownFlow
                | FlowReply::UnknownQueue
                | FlowReply::UnknownKey
                | FlowReply::BadName
                | FlowReply::BadSpec(_)
                | FlowReply::NameReused
        );
        if is_denied {
            let version = self.ledger.flows.config.as_ref().map_or(0, |c| c.version);
            flow_events::tell_denied(path, &found, version);
        }
        answer(reply, found);
    }

    /// Finds the queue and the customer of a request.
    fn place_of<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Result<CallerPlace<'a>, Box<FlowReply>> {
        let config = self
            .ledger
            .flows
            .config
            .as_ref()
            .ok_or(Box::new(FlowReply::NoConfig))?;
        let queue = config.queue_for(host, path);
        let queue = queue.ok_or(Box::new(FlowReply::UnknownQueue))?;
        let customer = key.and_then(|key| config.customer_with_key(key));
        if customer.is_none() && !queue.open {
            return Err(Box::new(FlowReply::UnknownKey));
        }
        Ok(CallerPlace {
            queue,
            customer: customer.map(|c| c.name.clone()),
            rest: &path[queue.key.prefix.len()..],
        })
    }

    /// Returns a flow if it belongs to the queue, and to the customer if both are known.
    fn known_flow(&self, flow: FlowId, place: &CallerPlace<'_>) -> Option<&FlowRecord> {
        let record = self.ledger.flows.flows.get(&flow)?;
        let is_theirs = match (&record.customer, &place.customer) {
            (Some(owner), Some(customer)) => owner == customer,
            _ => place.queue.open,
        };
        (record.queue.key == place.queue.key && is_theirs).then_some(record)
    }

    fn stage_of(&self, flow: FlowId, record: &FlowRecord) -> FlowStage {
        let has_started = self
            .desk
            .as_ref()
            .is_some_and(|desk| desk.flows.has_started(&self.ledger.flows, flow));
        match record.phase {
            FlowPhase::Done { .. } => FlowStage::Completed,
            FlowPhase::Failed { .. } => FlowStage::Failed,
            FlowPhase::Cancelled { .. } => FlowStage::Cancelled,
            FlowPhase::Open if has_started => FlowStage::Running,
            FlowPhase::Open => FlowStage::Queued,
        }
    }

    fn submit_flow(
        &mut self,
        flow: FlowId,
        (queue, customer): (QueueKey, Option<CustomerName>),
        spec: FlowSpec,
        reply: ReplySender,
    ) {
        if let Err(error) = spec.check() {
            return self.answer_request(&flow.to_string(), FlowReply::BadSpec(error), reply);
        }
        let in_flight = self
            .desk
            .as_ref()
            .is_some_and(|desk| desk.flows.is_submitting(flow));
        let known = self.ledger.flows.resubmission_outcome(flow, &queue, &spec);
        if let Some(outcome) = known.filter(|_| !in_flight) {
            return self.answer_request(&flow.to_string(), outcome_reply(&outcome), reply);
        }
        // A submission that is on its way may be accepted, so only a new one is turned away.
        let refusal = match in_flight {
            true => None,
            false => self.refusal_of(flow, &queue, &spec),
        };
        if let Some(refusal) = refusal {
            return answer(reply, refusal);
        }
        if let Some(desk) = &mut self.desk {
            desk.flows.begin_submission(flow);
        }
        let change = FlowChange::Submit {
            flow,
            customer,
            queue,
            spec,
        };
        let owner = ProposalOwner::Flow(Some(flow), reply);
        if let Err((error, ProposalOwner::Flow(_, reply))) =
            self.propose(LedgerChange::Flow(change), owner)
        {
            if let Some(desk) = &mut self.desk {
                desk.flows.end_submission(flow);
            }
            let _ = reply.send(Err(error));
        }
    }

    /// Returns the refusal of a flow that is turned away.
    fn refusal_of(&self, flow: FlowId, queue: &QueueKey, spec: &FlowSpec) -> Option<FlowReply> {
        let flows = &self.ledger.flows;
        let rule = flows.config.as_ref()?.queue(queue)?;
        let desk = self.desk.as_ref()?;
        let now = desk.stamp(self.clock.now_ms());
        let verdict = desk.flows.judge(flows, (rule, spec), now);
        let (reason, retry_after) = match verdict {
            AdmissionDecision::Accept => return None,
            AdmissionDecision::TooLate { retry_after, .. } => (LoadRefusal::TooLate, retry_after),
            AdmissionDecision::NeverFits { retry_after } => (LoadRefusal::NeverFits, retry_after),
            AdmissionDecision::QueueFull { retry_after } => (LoadRefusal::QueueFull, retry_after),
        };
        flow_events::tell_refused(
            flows,
            (flow, rule),
            (reason, retry_after, verdict),
            self.meter.flows(),
        );
        Some(FlowReply::Refused {
            reason,
            retry_after,
        })
    }

    fn propose_flow(&mut self, change: FlowChange, reply: ReplySender) {
        let owner = ProposalOwner::Flow(None, reply);
        if let Err((error, ProposalOwner::Flow(_, reply))) =
            self.propose(LedgerChange::Flow(change), owner)
        {
            let _ = reply.send(Err(error));
        }
    }

    fn take_flow_report(&mut self, report: FlowReport, reply: ReplySender) {
        let now_ms = self.clock.now_ms();
        let Some(desk) = &mut self.desk else {
            return;
        };
        let now = desk.stamp(now_ms);
        let flows = &self.ledger.flows;
        let changes = desk.flows.take_report(flows, report, (now, now_ms), reply);
        for change in changes {
            // What can't be proposed now is reported again.
            let _ = self.propose(LedgerChange::Flow(change), ProposalOwner::Lease);
        }
    }

    /// Returns the addresses of the control group's members and of the relays to it.
    pub(crate) fn group_view(&mut self, now_ms: u64) -> GroupView {
        let members = self.core.members().into_iter().flat_map(|m| m.iter());
        let addresses: Vec<_> = members.map(|(_, m)| m.address.clone()).collect();
        let relays = self.desk.as_mut().map(|desk| desk.flows.relays(now_ms));
        let relays = relays.unwrap_or_default();
        let mut hasher = FxHasher::default();
        (&addresses, &relays).hash(&mut hasher);
        GroupView {
            digest: hasher.finish(),
            addresses,
            relays,
        }
    }

    /// Does what the leader owes the agents and the flows.
    pub(crate) fn lead_flows(&mut self, now_ms: u64) {
        let group = self.group_view(now_ms);
        let fence = self.core.term().0;
        let Some(desk) = &mut self.desk else {
            return;
        };
        let now = desk.stamp(now_ms);
        let flows = &self.ledger.flows;
        desk.flows.answer(flows, fence, &group, now_ms);
        let lost = desk.flows.take_lost(flows, now_ms);
        let expiry = desk.flows.next_expiry(flows, now);
        let decision = desk
            .flows
            .next_decision(flows, self.ledger.applied, now, now_ms);
        for change in lost {
            self.propose_own(LedgerChange::Flow(change), ProposalOwner::Lease);
        }
        if let Some(change) = expiry {
            self.propose_own(LedgerChange::Flow(change), ProposalOwner::FlowExpiry);
        }
        if let Some(change) = decision {
            self.propose_own(LedgerChange::Flow(change), ProposalOwner::FlowScheduler);
        }
    }
}

/// Sends an answer; a caller that has gone away asks again.
fn answer(reply: ReplySender, found: FlowReply) {
    let _ = reply.send(Ok(ControlReply::Flow(found)));
}

/// Makes the reply that tells what a change came to.
pub(crate) fn flow_reply(outcome: &CommandOutcome) -> Result<ControlReply, CallError> {
    match outcome {
        CommandOutcome::Flow(outcome) => Ok(ControlReply::Flow(outcome_reply(outcome))),
        _ => Err(CallError::OutcomeUnknown),
    }
}

fn outcome_reply(outcome: &FlowOutcome) -> FlowReply {
    match outcome {
        FlowOutcome::Accepted { .. } => FlowReply::Accepted,
        FlowOutcome::Configured { version, .. } => FlowReply::Configured { version: *version },
        // Only a cancellation is answered with it.
        FlowOutcome::Applied => FlowReply::Cancelled,
        FlowOutcome::Refused(FlowRefusal::UnknownQueue) => FlowReply::UnknownQueue,
        FlowOutcome::Refused(FlowRefusal::NameReused) => FlowReply::NameReused,
        FlowOutcome::Refused(_) => FlowReply::UnknownFlow,
    }
}
