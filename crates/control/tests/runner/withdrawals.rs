//! Cancellations of flows whose submissions arrive later.

use roseridge_control::{
    decode_snapshot,
    encode_snapshot, //
};
use roseridge_flow::FlowChange;
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    LedgerState, //
};
use roseridge_model::{
    FlowId,
    UnixMillis, //
};
use roseridge_wire::{
    CallerAction,
    ControlCall,
    ControlReply,
    FlowCall,
    FlowReply,
    FlowStage, //
};

use crate::{
    agent_orders::{
        caller_request,
        configuration,
        small_step,
        submit, //
    },
    control_group::with_group,
    evacuations::leader, //
};

fn call(flow: u64, action: CallerAction) -> ControlCall {
    ControlCall::Flow(Box::new(FlowCall::Caller(caller_request(flow, action))))
}

/// Guards against a flow that is run under a new leader although its caller, who had left, was told that it doesn't exist:
/// a relay forwards the submission after the cancellation (`review/13`).
#[test]
fn copy_of_a_submission_after_its_cancellation_runs_nothing_under_a_new_leader() {
    with_group(async |mut group| {
        group.wait_until_ready().await;
        let configure = ControlCall::Flow(Box::new(FlowCall::Configure(configuration())));
        group.call_until_ok(&configure).await;
        let reply = group.call_until_ok(&call(1, CallerAction::Cancel)).await;
        assert_eq!(reply, ControlReply::Flow(FlowReply::UnknownFlow));
        let failed = leader(&group).await;
        group.kill(failed).await;
        submit(&group, 1, small_step(1, false)).await;
        let stage = group.call_until_ok(&call(1, CallerAction::Read)).await;
        let cancelled = FlowReply::Stage(FlowStage::Cancelled);
        assert_eq!(stage, ControlReply::Flow(cancelled));
    });
}

/// Guards against a cancellation that is forgotten with the compacted log.
#[test]
fn snapshot_keeps_withdrawn_flows() {
    let mut ledger = LedgerState::default();
    let config = configuration();
    let queue = config.queues[0].key.clone();
    let withdrawal = FlowChange::Withdraw {
        flow: FlowId(1),
        queue,
        customer: None,
    };
    for (index, change) in [FlowChange::Configure(config), withdrawal]
        .into_iter()
        .enumerate()
    {
        let command = LedgerCommand {
            at: UnixMillis(1_000),
            change: LedgerChange::Flow(change),
        };
        ledger.apply(index as u64 + 1, command);
    }
    assert!(!ledger.flows.withdrawn.is_empty());
    let snapshot = encode_snapshot(&ledger).expect("an encoding");
    assert_eq!(decode_snapshot(&snapshot).expect("a snapshot"), ledger);
}
