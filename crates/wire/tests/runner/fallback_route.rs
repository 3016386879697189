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

use roseridge_wire::{
    CallError,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowReply,
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
