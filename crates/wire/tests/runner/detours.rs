//! Calls that reach the leader through another process when the direct way is silent.

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
    Answer,
    CLUSTER,
    FakeControl, //
};

/// The time that a call has in all.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// An address that takes connections and never answers.
struct SilentAddress {
    listener: TcpListener,
}

impl SilentAddress {
    fn take() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self { listener }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }
}

fn read() -> ControlCall {
    ControlCall::Flow(Box::new(FlowCall::ReadConfig))
}

fn answer() -> Answer {
    Some(Ok(ControlReply::Flow(FlowReply::NoConfig)))
}

async fn call(client: &ControlClient) -> Result<ControlReply, ControlError> {
    let deadline = Instant::now() + CALL_LIMIT;
    client.call(&read(), Duration::ZERO, deadline).await
}

#[test]
fn silent_leader_is_reached_through_a_relay() {
    let run = async {
        let silent = SilentAddress::take();
        let relay = FakeControl::start(|_, _| answer()).await;
        let client = ControlClient::new(&[silent.address()], CLUSTER);
        client.set_relays(&[relay.address]);
        let reply = call(&client).await.expect("an answer");
        assert_eq!(reply, ControlReply::Flow(FlowReply::NoConfig));
        assert!(relay.calls.get() >= 1);
    };
    block_on(run).expect("an event loop");
}

#[test]
fn answering_leader_is_not_asked_through_a_relay() {
    let run = async {
        let leader = FakeControl::start(|_, _| answer()).await;
        let relay = FakeControl::start(|_, _| answer()).await;
        let client = ControlClient::new(&[leader.address], CLUSTER);
        client.set_relays(&[relay.address]);
        for _ in 0..5 {
            call(&client).await.expect("an answer");
        }
        assert_eq!((leader.calls.get(), relay.calls.get()), (5, 0));
    };
    block_on(run).expect("an event loop");
}

#[test]
fn relay_that_fails_is_left_for_another() {
    let run = async {
        let silent = SilentAddress::take();
        let bad = FakeControl::start(|_, _| Some(Err(CallError::NotServing))).await;
        let good = FakeControl::start(|_, _| answer()).await;
        let client = ControlClient::new(&[silent.address()], CLUSTER);
        client.set_relays(&[bad.address, good.address]);
        call(&client).await.expect("an answer");
        assert!(good.calls.get() >= 1);
    };
    block_on(run).expect("an event loop");
}

#[test]
fn client_of_a_relay_takes_no_detour() {
    let run = async {
        let silent = SilentAddress::take();
        let relay = FakeControl::start(|_, _| answer()).await;
        let client = ControlClient::new(&[silent.address()], CLUSTER);
        client.set_members(&[silent.address()]);
        client.set_relays(&[relay.address]);
        let client = client.for_relay();
        let deadline = Instant::now() + Duration::from_millis(700);
        let found = client.call(&read(), Duration::ZERO, deadline).await;
        assert!(found.is_err());
        assert_eq!(relay.calls.get(), 0);
    };
    block_on(run).expect("an event loop");
}

#[test]
fn client_of_a_relay_calls_known_members_only() {
    let run = async {
        let seed = FakeControl::start(|_, _| answer()).await;
        let member = FakeControl::start(|_, _| answer()).await;
        let client = ControlClient::new(&[seed.address], CLUSTER).for_relay();
        assert!(call(&client).await.is_err(), "a seed may be a relay too");
        client.set_members(&[member.address]);
        call(&client).await.expect("an answer");
        assert_eq!((seed.calls.get(), member.calls.get()), (0, 1));
    };
    block_on(run).expect("an event loop");
}
