//! Passes calls on to the leader for processes that can't reach it.

use std::time::{
    Duration,
    Instant, //
};

use async_channel::Receiver;
use futures::channel::oneshot;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowReply,
    GroupView,
    InboundCall, //
};

/// How long passing a call on may take, besides the time that it asks the leader to hold its reply back.
const PASS_LIMIT: Duration = Duration::from_millis(900);

/// Passes calls on until nobody sends any more, and learns the members that other processes tell.
///
/// The client must be one [for relays](ControlClient::for_relay), so that two relays don't pass calls to
/// each other.
pub async fn relay_calls(control: ControlClient, calls: Receiver<InboundCall>) {
    while let Ok(call) = calls.recv().await {
        match call {
            InboundCall::Control { call, reply } => match told_group(&call) {
                Some(group) => {
                    control.set_members(&group.members());
                    // Whoever told it tells it again.
                    let _ = reply.send(Ok(ControlReply::Flow(FlowReply::Noted)));
                }
                None => compio::runtime::spawn(pass_on(control.clone(), call, reply)).detach(),
            },
            InboundCall::Exchange { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
            InboundCall::Deliver { .. } | InboundCall::JoinGroup { .. } => {}
        }
    }
}

async fn pass_on(
    control: ControlClient,
    call: ControlCall,
    reply: oneshot::Sender<Result<ControlReply, CallError>>,
) {
    let wait = hold_of(&call);
    let deadline = Instant::now() + wait + PASS_LIMIT;
    let answer = control.call(&call, wait, deadline).await;
    // A caller that has gone away asks again.
    let _ = reply.send(answer.map_err(|error| match error {
        ControlError::NotRun { .. } => CallError::NotServing,
        ControlError::Unknown { .. } => CallError::OutcomeUnknown,
    }));
}

/// Returns the members of the control group that a call tells, if it does.
fn told_group(call: &ControlCall) -> Option<&GroupView> {
    match call {
        ControlCall::Flow(call) => match &**call {
            FlowCall::UpdateGroup(group) => Some(group),
            _ => None,
        },
        _ => None,
    }
}

fn hold_of(call: &ControlCall) -> Duration {
    match call {
        ControlCall::Flow(call) => match &**call {
            FlowCall::Report(report) => report.hold.into(),
            _ => Duration::ZERO,
        },
        _ => Duration::ZERO,
    }
}
