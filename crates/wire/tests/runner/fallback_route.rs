//! Guards against calls that fail because the direct route to the leader is unresponsive although a
//! relay can reach it, and against fallback routes where there must be none.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_model::{
    DurationMs,
    FlowSpec, //
};
use roseridge_wire::{
    CallError,
    CallerAction,
    CallerRequest,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowReply,
    LoadRefusal,
    block_on, //
};

use crate::fake_control::{
    CLUSTER,
    FakeControl,
    ScriptedReply, //
};

/// The time limit of a call, including retries.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// A listener that accepts connections and never replies.
struct UnresponsiveListener {
    listener: TcpListener,
}

impl UnresponsiveListener {
    fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self { listener }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }
}

fn read_call() -> ControlCall {
    ControlCall::Flow(Box::new(FlowCall::ReadConfig))
}

fn scripted_reply() -> ScriptedReply {
    Some(Ok(ControlReply::Flow(FlowReply::NoConfig)))
}

async fn call(client: &ControlClient) -> Result<ControlReply, ControlError> {
    let deadline = Instant::now() + CALL_LIMIT;
    client.call(&read_call(), Duration::ZERO, deadline).await
}

#[test]
fn unresponsive_leader_is_reached_through_a_relay() {
    let run = async {
        let unresponsive = UnresponsiveListener::bind();
        let relay = FakeControl::start(|_, _| scripted_reply()).await;
        let client = ControlClient::new(&[unresponsive.address()], CLUSTER);
        client.set_relays(&[relay.address]);
        let reply = call(&client).await.expect("a reply");
        assert_eq!(reply, ControlReply::Flow(FlowReply::NoConfig));
        assert!(relay.calls.get() >= 1);
    };
    block_on(run).expect("an event loop");
}

fn submission() -> ControlCall {
    ControlCall::Flow(Box::new(FlowCall::Caller(CallerRequest {
        host: "host.example".to_owned(),
        path: "/queue/1".to_owned(),
        key: None,
        action: CallerAction::Submit(FlowSpec::default()),
    })))
}

fn refused() -> ControlReply {
    ControlReply::Flow(FlowReply::Refused {
        reason: LoadRefusal::TooLate,
        retry_after: DurationMs(1_000),
    })
}

/// Guards against a caller that is told that its flow never runs while a copy of the submission is on its way through a
/// relay, which the leader accepts a moment later (`review/11`).
#[test]
fn refusal_is_not_reported_while_a_copy_is_on_its_way_through_a_relay() {
    let run = async {
        let ended = UnresponsiveListener::bind().address();
        let is_submission = |call: &ControlCall| *call == submission();
        let leader = FakeControl::start(move |_, call| match is_submission(&call) {
            true => None,
            false => scripted_reply(),
        })
        .await;
        let relay = FakeControl::start(|_, _| None).await;
        let client = ControlClient::new(&[ended, leader.address], CLUSTER);
        client.set_relays(&[relay.address]);
        let answer = async {
            while leader.pending() == 0 || relay.pending() == 0 {
                compio::time::sleep(Duration::from_millis(5)).await;
            }
            leader.answer_pending(&Ok(refused()));
        };
        let deadline = Instant::now() + CALL_LIMIT;
        let call = submission();
        let call = client.call(&call, Duration::ZERO, deadline);
        let (result, ()) = futures::join!(call, answer);
        assert!(
            matches!(result, Err(ControlError::Unknown { .. })),
            "{result:?}"
        );
    };
    block_on(run).expect("an event loop");
}

#[test]
fn responding_leader_is_not_called_through_a_relay() {
    let run = async {
        let leader = FakeControl::start(|_, _| scripted_reply()).await;
        let relay = FakeControl::start(|_, _| scripted_reply()).await;
        let client = ControlClient::new(&[leader.address], CLUSTER);
        client.set_relays(&[relay.address]);
        for _ in 0..5 {
            call(&client).await.expect("a reply");
        }
        assert_eq!((leader.calls.get(), relay.calls.get()), (5, 0));
    };
    block_on(run).expect("an event loop");
}

#[test]
fn failed_relay_is_replaced_by_another() {
    let run = async {
        let unresponsive = UnresponsiveListener::bind();
        let failing = FakeControl::start(|_, _| Some(Err(CallError::NotServing))).await;
        let working = FakeControl::start(|_, _| scripted_reply()).await;
        let client = ControlClient::new(&[unresponsive.address()], CLUSTER);
        client.set_relays(&[failing.address, working.address]);
        call(&client).await.expect("a reply");
        assert!(working.calls.get() >= 1);
    };
    block_on(run).expect("an event loop");
}

#[test]
fn relay_client_uses_no_fallback_route() {
    let run = async {
        let unresponsive = UnresponsiveListener::bind();
        let relay = FakeControl::start(|_, _| scripted_reply()).await;
        let client = ControlClient::new(&[unresponsive.address()], CLUSTER);
        client.set_members(&[unresponsive.address()]);
        client.set_relays(&[relay.address]);
        let client = client.for_relay();
        let deadline = Instant::now() + Duration::from_millis(700);
        let result = client.call(&read_call(), Duration::ZERO, deadline).await;
        assert!(result.is_err());
        assert_eq!(relay.calls.get(), 0);
    };
    block_on(run).expect("an event loop");
}

/// A seed may be another relay. Calls through it could loop between relays.
#[test]
fn relay_client_calls_known_members_only() {
    let run = async {
        let seed = FakeControl::start(|_, _| scripted_reply()).await;
        let member = FakeControl::start(|_, _| scripted_reply()).await;
        let client = ControlClient::new(&[seed.address], CLUSTER).for_relay();
        assert!(
            call(&client).await.is_err(),
            "a seed is not called, because it may be a relay"
        );
        client.set_members(&[member.address]);
        call(&client).await.expect("a reply");
        assert_eq!((seed.calls.get(), member.calls.get()), (0, 1));
    };
    block_on(run).expect("an event loop");
}
