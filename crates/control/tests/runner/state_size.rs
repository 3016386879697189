//! The bound on the size of the replicated state.

use std::time::{
    Duration,
    Instant, //
};

use roseridge_control::{
    StateSize,
    encode_snapshot, //
};
use roseridge_flow::FlowChange;
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    LedgerState, //
};
use roseridge_model::{
    DurationMs,
    FlowId,
    FlowSpec,
    QueueKey,
    QueueRule,
    ServiceName,
    ServiceRule,
    SiteConfig,
    StepSpec,
    UnixMillis, //
};
use roseridge_wire::{
    CallError,
    CallerAction,
    CallerRequest,
    ControlCall,
    ControlReply,
    FlowCall,
    FlowReply,
    LoadRefusal, //
};

use crate::control_group::{
    ControlGroup,
    STATE_LIMITS,
    refusal,
    with_group, //
};

const HOST: &str = "host.example";
const PREFIX: &str = "/queue/";
const MIB: usize = 1_048_576;
/// The size of a configuration.
const CONFIG_BYTES: usize = MIB / 2;
/// A size limit.
const LIMIT_BYTES: usize = 24 * MIB;
/// The size of a flow's text.
const TEXT_BYTES: usize = 250_000;
/// The maximum time until the state has room again. It is long because the test machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(20);

fn configuration(version: u64, text_bytes: usize) -> SiteConfig {
    let service = ServiceName::parse("service").expect("a valid name");
    SiteConfig {
        version,
        text: "t".repeat(text_bytes),
        queues: vec![QueueRule {
            key: QueueKey {
                host: HOST.to_owned(),
                prefix: PREFIX.to_owned(),
            },
            service: service.clone(),
            rank: 0,
            attempt_limit: 2,
            stretch_percent: 300,
            latency_target: DurationMs(600_000),
            answer_limit: DurationMs(3_000),
            open: true,
        }],
        services: vec![ServiceRule {
            name: service,
            enforces_capacity: false,
        }],
        customers: Vec::new(),
    }
}

fn configure(version: u64, text_bytes: usize) -> ControlCall {
    let config = configuration(version, text_bytes);
    ControlCall::Flow(Box::new(FlowCall::Configure(config)))
}

fn caller_request(flow: u64, action: CallerAction) -> ControlCall {
    let request = CallerRequest {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{}", FlowId(flow)),
        key: None,
        action,
    };
    ControlCall::Flow(Box::new(FlowCall::Caller(request)))
}

fn submit(flow: u64) -> ControlCall {
    let spec = FlowSpec {
        text: "t".repeat(TEXT_BYTES),
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        repeat: None,
    };
    caller_request(flow, CallerAction::Submit(spec))
}

async fn flow_reply(group: &ControlGroup, call: &ControlCall) -> FlowReply {
    match group.call_until_ok(call).await {
        ControlReply::Flow(reply) => reply,
        other => panic!("{other:?}"),
    }
}

/// Guards against a state whose snapshot neither fits on a disk nor is accepted by a follower: flows,
/// jobs and the configuration together could grow to several times that.
#[test]
fn submissions_to_a_full_state_are_refused_and_other_changes_taken() {
    with_group(async |group| {
        group.wait_until_ready().await;
        let configured = |version| FlowReply::Configured { version };
        let reply = flow_reply(&group, &configure(1, CONFIG_BYTES)).await;
        assert_eq!(reply, configured(1));
        let mut accepted = 0;
        let reason = loop {
            match flow_reply(&group, &submit(accepted)).await {
                FlowReply::Refused { reason, .. } => break reason,
                reply => assert_eq!(reply, FlowReply::Accepted),
            }
            accepted += 1;
            let state_bytes = CONFIG_BYTES + accepted as usize * TEXT_BYTES;
            assert!(
                state_bytes <= STATE_LIMITS.submission_bytes,
                "{accepted} flows"
            );
        };
        assert_eq!(reason, LoadRefusal::QueueFull);
        let resent = flow_reply(&group, &submit(0)).await;
        assert_eq!(resent, FlowReply::Accepted);
        let larger = refusal(group.call(&configure(2, 2 * MIB)).await);
        assert!(matches!(larger, CallError::Overloaded), "{larger:?}");
        let smaller = configure(2, CONFIG_BYTES / 2);
        assert_eq!(flow_reply(&group, &smaller).await, configured(2));
        for flow in 0..accepted {
            let cancel = caller_request(flow, CallerAction::Cancel);
            let reply = flow_reply(&group, &cancel).await;
            assert_eq!(reply, FlowReply::Cancelled);
        }
        // Proposals count for up to two measurements.
        let deadline = Instant::now() + TIMEOUT;
        while flow_reply(&group, &submit(accepted)).await != FlowReply::Accepted {
            assert!(Instant::now() < deadline, "the state has room again");
            compio::time::sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Load pattern: a configuration that would take the rest of the state's room.
#[test]
fn size_is_that_of_the_snapshot_and_of_what_is_proposed_since() {
    let mut ledger = LedgerState::default();
    let change = FlowChange::Configure(configuration(1, 10 * MIB));
    let command = LedgerCommand {
        at: UnixMillis(1),
        change: LedgerChange::Flow(change),
    };
    let mut size = StateSize::default();
    ledger.apply(1, command);
    let used = encode_snapshot(&ledger).expect("an encoding").len();
    let free = LIMIT_BYTES - used;
    assert!(size.has_room(&ledger, (free, LIMIT_BYTES), 0));
    assert!(!size.has_room(&ledger, (free + 1, LIMIT_BYTES), 0));
    size.record_proposal(MIB);
    assert!(!size.has_room(&ledger, (free, LIMIT_BYTES), 999));
    assert!(size.has_room(&ledger, (free - MIB, LIMIT_BYTES), 999));
    // A proposal may still be uncommitted at the next measurement, and counts until the one after it.
    assert!(!size.has_room(&ledger, (free, LIMIT_BYTES), 1_000));
    assert!(size.has_room(&ledger, (free, LIMIT_BYTES), 2_000));
}
