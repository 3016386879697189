//! What a client says of a call that was refused, retried or lost.

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
    Answer,
    CLUSTER,
    FakeControl, //
};

/// The time that a call has in all.
const CALL_LIMIT: Duration = Duration::from_secs(60);

fn submission() -> ControlCall {
    ControlCall::Submit {
        customer: CustomerName::parse("benali").expect("a name"),
        key: RequestKey::parse("key").expect("a name"),
        spec: JobSpec {
            class: ClassName::parse("payment-file").expect("a name"),
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

fn refused(reason: RefusalReason) -> Answer {
    Some(Err(CallError::Refused { reason }))
}

fn accepted() -> Answer {
    let job = JobId(1);
    Some(Ok(ControlReply::Outcome(CommandOutcome::Accepted { job })))
}

/// A scripted exchange: the answers in turn, what the client says, and how many calls it makes.
struct ScriptedCall {
    answers: Vec<Answer>,
    expected: &'static str,
    calls: u32,
}

fn check(script: ScriptedCall) {
    block_on(async {
        let answers = script.answers;
        let control = FakeControl::start(move |number, _| {
            let at = (number as usize).min(answers.len()) - 1;
            answers[at].clone()
        })
        .await;
        let client = ControlClient::new(&[control.address], CLUSTER);
        let deadline = Instant::now() + CALL_LIMIT;
        let result = client.call(&submission(), Duration::ZERO, deadline).await;
        let said = match result {
            Ok(_) => "accepted",
            Err(ControlError::NotRun { .. }) => "not run",
            Err(ControlError::Unknown { .. }) => "unknown",
        };
        assert_eq!(said, script.expected);
        assert_eq!(control.calls.get(), script.calls);
    })
    .expect("an event loop");
}

cases! {
    check:
    a_refusal_is_not_run = ScriptedCall {
        answers: vec![refused(RefusalReason::StoreFull)],
        expected: "not run",
        calls: 1,
    },
    an_overloaded_leader_is_not_asked_again = ScriptedCall {
        answers: vec![Some(Err(CallError::Overloaded))],
        expected: "not run",
        calls: 1,
    },
    a_lost_reply_is_asked_again = ScriptedCall {
        answers: vec![None, accepted()],
        expected: "accepted",
        calls: 2,
    },
    // The first attempt may still arrive and be accepted.
    a_refusal_after_a_lost_reply_is_unknown = ScriptedCall {
        answers: vec![None, refused(RefusalReason::StoreFull)],
        expected: "unknown",
        calls: 2,
    },
    a_reused_key_after_a_lost_reply_is_not_run = ScriptedCall {
        answers: vec![None, refused(RefusalReason::KeyReused { job: JobId(1) })],
        expected: "not run",
        calls: 2,
    },
    a_call_is_tried_until_there_is_a_leader = ScriptedCall {
        answers: vec![
            Some(Err(CallError::NotLeader { leader: None })),
            Some(Err(CallError::NotServing)),
            accepted(),
        ],
        expected: "accepted",
        calls: 3,
    },
}

/// The limit of a question that is asked again and again, shorter than one attempt may take.
const SHORT_LIMIT: Duration = Duration::from_millis(200);

#[test]
fn short_calls_leave_a_silent_replica() {
    block_on(async {
        let silent = FakeControl::start(|_, _| None).await;
        let leader = FakeControl::start(|_, _| accepted()).await;
        let client = ControlClient::new(&[silent.address, leader.address], CLUSTER);
        let call = submission();
        let ask = || client.call(&call, Duration::ZERO, Instant::now() + SHORT_LIMIT);
        assert!(ask().await.is_err());
        assert!(ask().await.is_ok(), "the next call goes to another replica");
    })
    .expect("an event loop");
}
