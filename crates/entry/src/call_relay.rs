//! Passes calls on to the leader for processes that can't reach it.

use std::time::{
    Duration,
    Instant, //
};

use async_channel::Receiver;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlClient,
    ControlError,
    FlowCall,
    InboundCall, //
};

/// How long passing a call on may take, besides the time that it asks the leader to hold its reply back.
const PASS_LIMIT: Duration = Duration::from_millis(900);

/// Passes calls on until nobody sends any more.
///
/// The client must take no detours itself, so that two relays don't pass calls to each other.
pub async fn relay_calls(control: ControlClient, calls: Receiver<InboundCall>) {
    while let Ok(call) = calls.recv().await {
        match call {
            InboundCall::Control { call, reply } => {
                let control = control.clone();
                compio::runtime::spawn(async move {
                    let wait = hold_of(&call);
                    let deadline = Instant::now() + wait + PASS_LIMIT;
                    let answer = control.call(&call, wait, deadline).await;
                    // A caller that has gone away asks again.
                    let _ = reply.send(answer.map_err(|error| match error {
                        ControlError::NotRun { .. } => CallError::NotServing,
                        ControlError::Unknown { .. } => CallError::OutcomeUnknown,
                    }));
                })
                .detach();
            }
            InboundCall::Exchange { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
            InboundCall::Deliver { .. } | InboundCall::Seek { .. } => {}
        }
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
