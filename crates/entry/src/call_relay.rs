//! Forwards calls to the leader for processes that can't reach it.

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

/// The maximum time for forwarding a call, in addition to the time for which the call allows the
/// leader to delay its reply.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);

/// Forwards calls until all senders are closed, and learns the members of the control group from
/// group updates of other processes.
///
/// The client must be one [for relays](ControlClient::for_relay), so that two relays don't forward
/// calls to each other.
pub async fn relay_calls(control: ControlClient, calls: Receiver<InboundCall>) {
    while let Ok(call) = calls.recv().await {
        match call {
            InboundCall::Control { call, reply, share } => match updated_group(&call) {
                Some(group) => {
                    control.set_members(&group.members());
                    // If the sender does not receive the reply, it repeats the update.
                    let _ = reply.send(Ok(ControlReply::Flow(FlowReply::Noted)));
                }
                None => {
                    let forwarding = forward(control.clone(), call, reply);
                    compio::runtime::spawn(async move {
                        forwarding.await;
                        drop(share);
                    })
                    .detach();
                }
            },
            InboundCall::Exchange { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
            InboundCall::Deliver { .. } | InboundCall::JoinGroup { .. } => {}
        }
    }
}

async fn forward(
    control: ControlClient,
    call: ControlCall,
    reply: oneshot::Sender<Result<ControlReply, CallError>>,
) {
    let wait = requested_wait(&call);
    let deadline = Instant::now() + wait + FORWARD_TIMEOUT;
    let answer = control.call(&call, wait, deadline).await;
    // If the sender does not receive the reply, it repeats the call.
    let _ = reply.send(answer.map_err(|error| match error {
        ControlError::NotRun { .. } => CallError::NotServing,
        ControlError::Unknown { .. } => CallError::OutcomeUnknown,
    }));
}

/// Returns the members of the control group if the call is a group update.
fn updated_group(call: &ControlCall) -> Option<&GroupView> {
    match call {
        ControlCall::Flow(call) => match &**call {
            FlowCall::UpdateGroup(group) => Some(group),
            _ => None,
        },
        _ => None,
    }
}

/// Returns the time for which a call allows the leader to delay its reply.
fn requested_wait(call: &ControlCall) -> Duration {
    match call {
        ControlCall::Flow(call) => match &**call {
            FlowCall::Report(report) | FlowCall::ReportCold { report, .. } => report.hold.into(),
            _ => Duration::ZERO,
        },
        _ => Duration::ZERO,
    }
}
