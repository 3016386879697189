//! Large calls that wait for a task which handles none, as while a replica is opened again.

use std::time::Duration;

use roseridge_model::SiteConfig;
use roseridge_quorum::{
    DiskId,
    MemberId,
    PeerMessage,
    ReplicaId, //
};
use roseridge_wire::{
    CallError,
    ControlCall,
    FlowCall,
    InboundCall,
    InboundSender,
    LinkError,
    RpcLink,
    block_on,
    serve_listener, //
};

use crate::fake_control::{
    CLUSTER,
    listen, //
};

/// The time limit of a call, which a waiting one reaches.
const LIMIT: Duration = Duration::from_millis(500);
const TEXT_BYTES: usize = 3 * 1_048_576;
const CALLS: usize = 12;
/// The maximum size of the calls that wait, in bytes.
const MAX_WAITING_BYTES: usize = 16 * 1_048_576;

fn configure() -> ControlCall {
    let config = SiteConfig {
        version: 1,
        text: "x".repeat(TEXT_BYTES),
        queues: Vec::new(),
        services: Vec::new(),
        customers: Vec::new(),
    };
    ControlCall::Flow(Box::new(FlowCall::Configure(config)))
}

fn size(call: &InboundCall) -> usize {
    match call {
        InboundCall::Control { call, .. } if *call == configure() => TEXT_BYTES,
        _ => 0,
    }
}

/// Guards against a process that runs out of memory because the number of waiting calls is limited
/// and their size is not.
#[test]
fn large_calls_beyond_a_limit_are_refused_while_messages_are_accepted() {
    block_on(async {
        let (listener, address) = listen().await;
        let (control, inbox) = async_channel::bounded(2_048);
        let inbound = InboundSender {
            control: Some(control),
            relay: None,
        };
        compio::runtime::spawn(serve_listener(listener, CLUSTER.to_owned(), inbound)).detach();
        let mut refused = 0;
        for _ in 0..CALLS {
            let link = RpcLink::new(address, CLUSTER);
            let error = link
                .control(configure(), LIMIT)
                .await
                .expect_err("no reply");
            let overloaded = CallError::Overloaded;
            refused += usize::from(
                matches!(error, LinkError::Answered { source } if source == overloaded),
            );
        }
        let link = RpcLink::new(address, CLUSTER);
        let from = MemberId {
            replica: ReplicaId(1),
            disk: DiskId(1),
        };
        let join = PeerMessage::Join {
            address: String::new(),
        };
        link.deliver(from, vec![join], LIMIT)
            .await
            .expect("messages have a limit of their own");
        let waiting: Vec<_> = std::iter::from_fn(|| inbox.try_recv().ok()).collect();
        let waiting_bytes: usize = waiting.iter().map(size).sum();
        assert!(
            waiting_bytes <= MAX_WAITING_BYTES,
            "{waiting_bytes} bytes wait"
        );
        assert_eq!(
            refused,
            CALLS - waiting_bytes / TEXT_BYTES,
            "no call is dropped without a reply"
        );
        drop(waiting);
        link.control(configure(), LIMIT)
            .await
            .expect_err("no reply");
        assert_eq!(inbox.len(), 1, "there is room again");
    })
    .expect("an event loop");
}
