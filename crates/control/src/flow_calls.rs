//! Calls about flows, which the leader answers.

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
    DurationMs,
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
    leader_controller::{
        ProposalOwner,
        ReplySender, //
    },
    replica_task::ReplicaTask,
    site_report::site_view,
    state_size::encoded_bytes, //
};

/// The retry time of a flow for which the state has no room: ended flows and jobs are kept for minutes.
const STATE_FULL_RETRY: DurationMs = DurationMs(10_000);

/// The queue and the customer of a caller's request.
struct RequestTarget<'a> {
    queue: &'a QueueRule,
    customer: Option<CustomerName>,
    /// The part of the path after the queue's prefix.
    path_suffix: &'a str,
}

impl ReplicaTask {
    /// Answers a call about flows, or proposes the change that it requests.
    ///
    /// It may be used only while this replica leads and may serve.
    pub(crate) fn handle_flow_call(&mut self, call: FlowCall, reply: ReplySender) {
        match call {
            FlowCall::Caller(request) => self.handle_caller_request(request, reply),
            FlowCall::Configure(config) => self.configure(config, reply),
            FlowCall::ReadConfig => {
                let config = self.ledger.flows.config.as_ref();
                let response = config.map_or(FlowReply::NoConfig, |config| FlowReply::Config {
                    version: config.version,
                    text: config.text.clone(),
                });
                send_reply(reply, response);
            }
            FlowCall::Report(report) => self.handle_flow_report(*report, DurationMs(0), reply),
            FlowCall::ReportCold {
                report,
                cold_remaining,
            } => self.handle_flow_report(*report, cold_remaining, reply),
            FlowCall::ReadGroup { relay } => {
                let now_ms = self.clock.now_ms();
                if let (Some(relay), Some(controller)) = (relay, &mut self.controller) {
                    controller.flows.record_relay(relay, now_ms);
                }
                send_reply(reply, FlowReply::Group(self.group_view(now_ms)));
            }
            // A replica takes the members from its log, so the call has no effect here.
            FlowCall::UpdateGroup(_) => send_reply(reply, FlowReply::Noted),
            FlowCall::ReadSite => send_reply(reply, FlowReply::Site(site_view(&self.ledger.flows))),
            FlowCall::ReadFlow { flow } => {
                let record = self.ledger.flows.flows.get(&flow).cloned();
                let response = record.map(|record| FlowReply::Flow(Box::new(record)));
                send_reply(reply, response.unwrap_or(FlowReply::UnknownFlow));
            }
            call @ (FlowCall::ReadEvacuations
            | FlowCall::Evacuate { .. }
            | FlowCall::Restore { .. }) => self.handle_evacuation_call(call, reply),
        }
    }

    /// Checks a site configuration and proposes it if it can change the one in force.
    ///
    /// One whose version is not higher changes nothing, and is acknowledged as soon as the higher
    /// or equal one is committed.
    fn configure(&mut self, config: SiteConfig, reply: ReplySender) {
        // An invalid configuration is refused before its version is compared.
        if let Err(error) = config.check() {
            flow_events::log_refused_config(config.version, &error.to_string());
            return send_reply(reply, FlowReply::InvalidConfig(error));
        }
        let version = config.version;
        let in_force = self.ledger.flows.config.as_ref().map(|c| c.version);
        if let Some(in_force) = in_force.filter(|in_force| version <= *in_force) {
            return send_reply(reply, FlowReply::Configured { version: in_force });
        }
        let reply = match &mut self.controller {
            Some(controller) => controller.flows.join_configuration(version, reply),
            None => Some(reply),
        };
        let Some(reply) = reply else {
            return;
        };
        let previous_bytes = self.ledger.flows.config.as_ref().map_or(0, encoded_bytes);
        let growth = encoded_bytes(&config).saturating_sub(previous_bytes);
        if !self.reserve_state(growth, self.config.state.change_bytes) {
            flow_events::log_refused_config(version, "the state has no room for it");
            let _ = reply.send(Err(CallError::Overloaded));
            return;
        }
        let change = LedgerChange::Flow(FlowChange::Configure(config));
        if let Err((error, ProposalOwner::Configuration(_, reply))) =
            self.propose(change, ProposalOwner::Configuration(version, reply))
        {
            let _ = reply.send(Err(error));
        }
    }

    /// Answers the request of a caller, or proposes the change that it requests.
    fn handle_caller_request(&mut self, request: CallerRequest, reply: ReplySender) {
        let CallerRequest {
            host,
            path,
            key,
            action,
        } = request;
        let target = match self.resolve_target(&host, &path, key.as_deref()) {
            Ok(target) => target,
            Err(refusal) => return self.answer_request(&path, *refusal, reply),
        };
        let (queue, path_suffix) = (&target.queue.key, target.path_suffix);
        if path_suffix.is_empty() {
            let response = match action {
                CallerAction::Read => {
                    FlowReply::Pending(self.ledger.flows.pending_count(queue) as u64)
                }
                _ => FlowReply::BadName,
            };
            return self.answer_request(&path, response, reply);
        }
        let Ok(flow) = path_suffix.parse::<FlowId>() else {
            let response = match action {
                CallerAction::Submit(_) => FlowReply::BadName,
                _ => FlowReply::UnknownFlow,
            };
            return self.answer_request(&path, response, reply);
        };
        let known = self.visible_flow(flow, &target);
        match action {
            CallerAction::Read => {
                let response = known.map_or(FlowReply::UnknownFlow, |record| {
                    FlowReply::Stage(self.stage_of(flow, record))
                });
                self.answer_request(&path, response, reply);
            }
            CallerAction::Cancel => match known.map(|record| &record.phase) {
                None => {
                    let (queue, customer) = (queue.clone(), target.customer);
                    self.withdraw_flow(flow, (queue, customer), reply);
                }
                Some(FlowPhase::Open) => self.propose_flow(FlowChange::Cancel { flow }, reply),
                Some(_) => send_reply(reply, FlowReply::Cancelled),
            },
            CallerAction::Submit(spec) => {
                let (queue, customer) = (queue.clone(), target.customer);
                self.submit_flow(flow, (queue, customer), spec, reply);
            }
        }
    }

    /// Answers a request, and logs a refusal that is caused by the request itself.
    fn answer_request(&self, path: &str, response: FlowReply, reply: ReplySender) {
        let is_denied = matches!(
            response,
            FlowReply::UnknownFlow
                | FlowReply::UnknownQueue
                | FlowReply::UnknownKey
                | FlowReply::BadName
                | FlowReply::BadSpec(_)
                | FlowReply::NameReused
        );
        if is_denied {
            let version = self.ledger.flows.config.as_ref().map_or(0, |c| c.version);
            flow_events::log_denied_request(path, &response, version);
        }
        send_reply(reply, response);
    }

    /// Resolves the queue and the customer of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal when there is no configuration, no queue matches, or the queue requires
    /// a key and no customer has this one.
    fn resolve_target<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Result<RequestTarget<'a>, Box<FlowReply>> {
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
        Ok(RequestTarget {
            queue,
            customer: customer.map(|c| c.name.clone()),
            path_suffix: &path[queue.key.prefix.len()..],
        })
    }

    /// Returns a flow if it belongs to the request's queue and customer.
    fn visible_flow(&self, flow: FlowId, target: &RequestTarget<'_>) -> Option<&FlowRecord> {
        let record = self.ledger.flows.flows.get(&flow)?;
        let is_visible = record.is_visible_to(target.queue, target.customer.as_ref());
        is_visible.then_some(record)
    }

    /// Returns the stage of a flow as callers see it.
    fn stage_of(&self, flow: FlowId, record: &FlowRecord) -> FlowStage {
        let has_started = self
            .controller
            .as_ref()
            .is_some_and(|controller| controller.flows.has_started(&self.ledger.flows, flow));
        match record.phase {
            FlowPhase::Done { .. } => FlowStage::Completed,
            FlowPhase::Failed { .. } => FlowStage::Failed,
            FlowPhase::Cancelled { .. } => FlowStage::Cancelled,
            FlowPhase::Open if has_started => FlowStage::Running,
            FlowPhase::Open => FlowStage::Queued,
        }
    }

    /// Proposes the cancellation of an unknown flow, so that a submission which arrives later doesn't start it.
    ///
    /// The caller may be told that there is no such flow only once this is committed.
    fn withdraw_flow(
        &mut self,
        flow: FlowId,
        (queue, customer): (QueueKey, Option<CustomerName>),
        reply: ReplySender,
    ) {
        if self.ledger.flows.withdrawn.is_full() {
            flow_events::log_refused_withdrawal(flow);
            let _ = reply.send(Err(CallError::Overloaded));
            return;
        }
        let change = FlowChange::Withdraw {
            flow,
            queue,
            customer,
        };
        self.propose_flow(change, reply);
    }

    /// Proposes a flow, unless its specification is invalid, its outcome is known or it is refused.
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
        let is_pending = self
            .controller
            .as_ref()
            .is_some_and(|controller| controller.flows.is_submitting(flow));
        let known = self.ledger.flows.resubmission_outcome(flow, &queue, &spec);
        if let Some(outcome) = known.filter(|_| !is_pending) {
            return self.answer_request(&flow.to_string(), outcome_reply(&outcome), reply);
        }
        let flows = &self.ledger.flows;
        let rule = flows.config.as_ref().and_then(|c| c.queue(&queue));
        let is_withdrawn =
            rule.is_some_and(|rule| flows.withdrawn.contains(flow, rule, customer.as_ref()));
        // A proposed submission may still be accepted, so only a new submission can be refused. One that was withdrawn
        // takes no room.
        let refusal = match is_pending || is_withdrawn {
            true => None,
            false => self
                .admission_refusal(flow, &queue, &spec)
                .or_else(|| self.size_refusal(flow, &queue, &spec)),
        };
        if let Some(refusal) = refusal {
            return send_reply(reply, refusal);
        }
        if let Some(controller) = &mut self.controller {
            let bytes = FlowRecord::approximate_bytes_of(&spec);
            controller.flows.begin_submission(flow, bytes);
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
            if let Some(controller) = &mut self.controller {
                controller.flows.end_submission(flow);
            }
            let _ = reply.send(Err(error));
        }
    }

    /// Returns the refusal of a flow that admission control rejects, and logs it.
    fn admission_refusal(
        &self,
        flow: FlowId,
        queue: &QueueKey,
        spec: &FlowSpec,
    ) -> Option<FlowReply> {
        let flows = &self.ledger.flows;
        let rule = flows.config.as_ref()?.queue(queue)?;
        let controller = self.controller.as_ref()?;
        let now_ms = self.clock.now_ms();
        let now = controller.command_time(now_ms);
        let decision = controller
            .flows
            .admission_decision(flows, (rule, spec), (now, now_ms));
        let (reason, retry_after) = match decision {
            AdmissionDecision::Accept => return None,
            AdmissionDecision::TooLate { retry_after, .. } => (LoadRefusal::TooLate, retry_after),
            AdmissionDecision::NeverFits { retry_after } => (LoadRefusal::NeverFits, retry_after),
            AdmissionDecision::QueueFull { retry_after } => (LoadRefusal::QueueFull, retry_after),
        };
        flow_events::report_refused_flow(
            flows,
            (flow, rule),
            (reason, retry_after, decision),
            self.meter.flows(),
        );
        Some(FlowReply::Refused {
            reason,
            retry_after,
        })
    }

    /// Returns the refusal of a flow for which the state has no room, and logs it.
    fn size_refusal(
        &mut self,
        flow: FlowId,
        queue: &QueueKey,
        spec: &FlowSpec,
    ) -> Option<FlowReply> {
        let bytes = FlowRecord::approximate_bytes_of(spec);
        if self.reserve_state(bytes, self.config.state.submission_bytes) {
            return None;
        }
        let flows = &self.ledger.flows;
        let rule = flows.config.as_ref()?.queue(queue)?;
        let (reason, retry_after) = (LoadRefusal::QueueFull, STATE_FULL_RETRY);
        flow_events::report_refused_flow(
            flows,
            (flow, rule),
            (
                reason,
                retry_after,
                AdmissionDecision::QueueFull { retry_after },
            ),
            self.meter.flows(),
        );
        Some(FlowReply::Refused {
            reason,
            retry_after,
        })
    }

    /// Returns whether a change that adds a number of bytes to the state may be proposed, and counts them
    /// if so.
    pub(crate) fn reserve_state(&mut self, bytes: usize, max_bytes: usize) -> bool {
        let now_ms = self.clock.now_ms();
        let has_room = bytes == 0
            || self
                .state_size
                .has_room(&self.ledger, (bytes, max_bytes), now_ms);
        if has_room {
            self.state_size.record_proposal(bytes);
        }
        has_room
    }

    /// Proposes a change whose outcome is the reply to the caller.
    pub(crate) fn propose_flow(&mut self, change: FlowChange, reply: ReplySender) {
        let owner = ProposalOwner::Flow(None, reply);
        if let Err((error, ProposalOwner::Flow(_, reply))) =
            self.propose(LedgerChange::Flow(change), owner)
        {
            let _ = reply.send(Err(error));
        }
    }

    /// Records an agent's report and proposes the changes in it. The reply is held back until there
    /// are new orders or the agent's requested wait has elapsed.
    fn handle_flow_report(
        &mut self,
        report: FlowReport,
        cold_remaining: DurationMs,
        reply: ReplySender,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(controller) = &mut self.controller else {
            return;
        };
        let now = controller.command_time(now_ms);
        let flows = &self.ledger.flows;
        let changes =
            controller
                .flows
                .handle_report(flows, (report, cold_remaining), (now, now_ms), reply);
        for change in changes {
            // The agent's next report repeats a change that can't be proposed now.
            let _ = self.propose(LedgerChange::Flow(change), ProposalOwner::Untracked);
        }
    }

    /// Returns the addresses of the control group's members and of the relays that forward to it.
    pub(crate) fn group_view(&mut self, now_ms: u64) -> GroupView {
        let members = self.core.members().into_iter().flat_map(|m| m.iter());
        let addresses: Vec<_> = members.map(|(_, m)| m.address.clone()).collect();
        let relays = self
            .controller
            .as_mut()
            .map(|controller| controller.flows.recent_relays(now_ms));
        let relays = relays.unwrap_or_default();
        let mut hasher = FxHasher::default();
        (&addresses, &relays).hash(&mut hasher);
        GroupView {
            digest: hasher.finish(),
            addresses,
            relays,
        }
    }

    /// Runs the leader's periodic work for flows: replies to agents, losses, expiry and scheduling.
    pub(crate) fn lead_flows(&mut self, now_ms: u64) {
        let group = self.group_view(now_ms);
        let term = self.core.term().0;
        let Some(controller) = &mut self.controller else {
            return;
        };
        let now = controller.command_time(now_ms);
        let flows = &self.ledger.flows;
        controller.flows.answer_reports(flows, term, &group, now_ms);
        let losses = controller.flows.take_losses(flows, now_ms);
        let expiry = controller.flows.next_expiry(flows, now);
        let decision = controller
            .flows
            .next_decision(flows, self.ledger.applied, now, now_ms);
        let metrics = self.meter.flows();
        controller.flows.report_shares(flows, metrics, now, now_ms);
        for change in losses {
            self.propose_internal(LedgerChange::Flow(change), ProposalOwner::Untracked);
        }
        if let Some(change) = expiry {
            self.propose_internal(LedgerChange::Flow(change), ProposalOwner::FlowExpiry);
        }
        if let Some(change) = decision {
            self.propose_internal(LedgerChange::Flow(change), ProposalOwner::FlowScheduler);
        }
    }
}

/// Sends a reply. Sending fails if the caller has disconnected, and the caller repeats the call.
pub(crate) fn send_reply(reply: ReplySender, response: FlowReply) {
    let _ = reply.send(Ok(ControlReply::Flow(response)));
}

/// Converts the outcome of a change to the reply for its caller.
pub(crate) fn flow_reply(outcome: &CommandOutcome) -> Result<ControlReply, CallError> {
    match outcome {
        CommandOutcome::Flow(outcome) => Ok(ControlReply::Flow(outcome_reply(outcome))),
        _ => Err(CallError::OutcomeUnknown),
    }
}

/// Converts the outcome of a change of the flow state to a reply.
fn outcome_reply(outcome: &FlowOutcome) -> FlowReply {
    match outcome {
        FlowOutcome::Accepted { .. } => FlowReply::Accepted,
        FlowOutcome::Configured { version, .. } => FlowReply::Configured { version: *version },
        // Of all calls, only a cancellation has the outcome `Applied`.
        FlowOutcome::Applied => FlowReply::Cancelled,
        FlowOutcome::Refused(FlowRefusal::UnknownQueue) => FlowReply::UnknownQueue,
        FlowOutcome::Refused(FlowRefusal::NameReused) => FlowReply::NameReused,
        FlowOutcome::Refused(FlowRefusal::TooManyEvacuations) => FlowReply::TooManyEvacuations,
        FlowOutcome::Evacuated { revision, .. } => FlowReply::Evacuated {
            revision: *revision,
        },
        FlowOutcome::Overtaken => FlowReply::Overtaken,
        FlowOutcome::Withdrawn | FlowOutcome::Refused(_) => FlowReply::UnknownFlow,
    }
}
