//! The memory of connections that have carried a large frame.
//!
//! The test measures its process, so it is the only one in it.

#[expect(dead_code, reason = "the other tests use the rest")]
#[path = "runner/fake_control.rs"]
mod fake_control;

use std::time::Duration;

use roseridge_model::{
    ConfigRevision,
    SiteConfig, //
};
use roseridge_wire::{
    ControlCall,
    ControlReply,
    FlowCall,
    FlowReply,
    RpcLink,
    block_on, //
};

use fake_control::{
    CLUSTER,
    FakeControl, //
};

const LIMIT: Duration = Duration::from_secs(60);
const TEXT_BYTES: usize = 6 * 1_048_576;
const LINKS: usize = 32;
/// The maximum growth of the process, in bytes: a third of what one buffer for each connection
/// takes.
const MAX_GROWTH_BYTES: usize = LINKS * TEXT_BYTES / 3;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.expect("a size").parse::<usize>().expect("a number") * 1_024
}

/// Guards against buffers that keep the size of the largest frame for as long as their connection is
/// open.
#[test]
fn connections_keep_no_memory_for_a_large_frame() {
    block_on(async {
        let text = "x".repeat(TEXT_BYTES);
        let large_reply = ControlReply::Flow(FlowReply::Config {
            version: 1,
            text: text.clone(),
        });
        let control = FakeControl::start(move |_, call| match call {
            ControlCall::Flow(_) => Some(Ok(large_reply.clone())),
            _ => Some(Ok(ControlReply::Revision(ConfigRevision(7)))),
        })
        .await;
        let config = SiteConfig {
            version: 1,
            text,
            queues: Vec::new(),
            services: Vec::new(),
            customers: Vec::new(),
        };
        let configure = ControlCall::Flow(Box::new(FlowCall::Configure(config)));
        let before = resident_bytes();
        let mut links = Vec::new();
        for _ in 0..LINKS {
            let link = RpcLink::new(control.address, CLUSTER);
            link.control(configure.clone(), LIMIT)
                .await
                .expect("a reply");
            // The buffer of a sent frame is kept until the next one is sent.
            link.control(ControlCall::ReadStatus, LIMIT)
                .await
                .expect("a reply");
            links.push(link);
        }
        let growth = resident_bytes().saturating_sub(before);
        assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
    })
    .expect("an event loop");
}
