//! Guards against a client that misreports whether a refused, retried or lost call took effect, or
//! that retries calls it must not retry.

use std::time::{
    Duration,
    Instant, //
};

use roseridge_ledger::{
    CommandOutcome,
    RefusalReason, //
};
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    CustomerName,
    GangShape,
    JobId,
    JobSpec,
    RequestKey,
    ResourceShape, //
};
use roseridge_testutils::cases;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    block_on, //
};

use crate::fake_control::{
    CLUSTER,
    FakeControl,
    ScriptedReply, //
};

/// The time limit of a call, including retries.
const CALL_LIMIT: Duration = Duration::from_secs(60);

fn submission() -> ControlCall {
    ControlCall::Submit {
        customer: CustomerName::parse("benali").expect("a valid name"),
        key: RequestKey::parse("key").expect("a valid name"),
        spec: JobSpec {
            class: ClassName::parse("payment-file").expect("a valid name"),
            gang: GangShape {
                members: 1,
                member: ResourceShape::default(),
                adjacency: AdjacencyRule::Any,
            },
            declared_run_ms: None,
            payload: String::new(),
        },
    }
}

fn refusal(reason: RefusalReason) -> ScriptedReply {
    Some(Err(CallError::Refused { reason }))
}

fn acceptance() -> ScriptedReply {
    let job = JobId(1);
    Some(Ok(ControlReply::Outcome(CommandOutcome::Accepted { job })))
}

/// The replies to the attempts in order, the expected result and the expected number of attempts.
/// The last reply is repeated.
struct CallCase {
    replies: Vec<ScriptedReply>,
    expected: &'static str,
    attempts: u32,
}

fn check_result(case: CallCase) {
    block_on(async {
        let replies = case.replies;
        let control = FakeControl::start(move |number, _| {
            let index = (number as usize).min(replies.len()) - 1;
            replies[index].clone()
        })
        .await;
        let client = ControlClient::new(&[control.address], CLUSTER);
        let deadline = Instant::now() + CALL_LIMIT;
        let result = client.call(&submission(), Duration::ZERO, deadline).await;
        let actual = match result {
            Ok(_) => "accepted",
            Err(ControlError::NotRun { .. }) => "not run",
            Err(ControlError::Unknown { .. }) => "unknown",
        };
        assert_eq!(actual, case.expected);
        assert_eq!(control.calls.get(), case.attempts);
    })
    .expect("an event loop");
}

cases! {
    check_result:
    refusal_is_not_run = CallCase {
        replies: vec![refusal(RefusalReason::StoreFull)],
        expected: "not run",
        attempts: 1,
    },
    overloaded_leader_is_not_retried = CallCase {
        replies: vec![Some(Err(CallError::Overloaded))],
        expected: "not run",
        attempts: 1,
    },
    lost_reply_is_retried = CallCase {
        replies: vec![None, acceptance()],
        expected: "accepted",
        attempts: 2,
    },
    // The first attempt may still arrive and be accepted.
    refusal_after_lost_reply_is_unknown = CallCase {
        replies: vec![None, refusal(RefusalReason::StoreFull)],
        expected: "unknown",
        attempts: 2,
    },
    reused_key_after_lost_reply_is_not_run = CallCase {
        replies: vec![None, refusal(RefusalReason::KeyReused { job: JobId(1) })],
        expected: "not run",
        attempts: 2,
    },
    call_is_retried_until_a_leader_is_elected = CallCase {
        replies: vec![
            Some(Err(CallError::NotLeader { leader: None })),
            Some(Err(CallError::NotServing)),
            acceptance(),
        ],
        expected: "accepted",
        attempts: 3,
    },
}

/// The limit of a periodic call; it is shorter than the time after which other replicas are called.
const SHORT_CALL_LIMIT: Duration = Duration::from_millis(100);

/// A call with a short deadline may end before the client selects another replica. Every later call
/// would then go to the same unresponsive replica.
#[test]
fn call_after_a_timed_out_short_call_goes_to_another_replica() {
    block_on(async {
        let unresponsive = FakeControl::start(|_, _| None).await;
        let leader = FakeControl::start(|_, _| acceptance()).await;
        let client = ControlClient::new(&[unresponsive.address, leader.address], CLUSTER);
        let call = submission();
        let send = || client.call(&call, Duration::ZERO, Instant::now() + SHORT_CALL_LIMIT);
        assert!(send().await.is_err());
        assert!(
            send().await.is_ok(),
            "the next call goes to another replica"
        );
    })
    .expect("an event loop");
}
