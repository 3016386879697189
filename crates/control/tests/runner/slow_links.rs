//! Large entries over slow links, which must neither end a leader's term nor be sent for ever.

use std::time::Duration;

use roseridge_model::SiteConfig;
use roseridge_wire::{
    ControlCall,
    ControlReply,
    FlowCall,
    FlowReply,
    MemberState,
    MemberView,
    StatusView, //
};

use crate::control_group::{
    ControlGroup,
    with_group, //
};

/// The size of the text of a configuration, in bytes.
const TEXT_BYTES: usize = 3 * 1_048_576;
/// The bandwidth of a slow link, in bytes a second.
const BANDWIDTH: u32 = 1_048_576;
/// The maximum time until an entry is committed, which is several times that of its transfer.
const COMMIT_LIMIT: Duration = Duration::from_secs(20);

fn configure(version: u64) -> ControlCall {
    let config = SiteConfig {
        version,
        text: "x".repeat(TEXT_BYTES),
        queues: Vec::new(),
        services: Vec::new(),
        customers: Vec::new(),
    };
    ControlCall::Flow(Box::new(FlowCall::Configure(config)))
}

async fn status(group: &ControlGroup) -> StatusView {
    match group.call_until_ok(&ControlCall::ReadStatus).await {
        ControlReply::Status(status) => status,
        other => panic!("{other:?}"),
    }
}

/// An append that took longer than the time limit of a delivery was broken off and sent again for
/// ever, and the heartbeats behind it were dropped, so that the leader lost its lease.
#[test]
fn large_configurations_are_committed_over_slow_links() {
    with_group(async |group| {
        group.wait_until_ready().await;
        let before = status(&group).await;
        for (number, proxy) in &group.proxies {
            if *number != before.leader {
                proxy.limit_bandwidth(BANDWIDTH);
            }
        }
        let mut opened = Vec::new();
        for version in 1..=2 {
            let call = group.call_replica(before.leader, configure(version));
            let reply = compio::time::timeout(COMMIT_LIMIT, call).await;
            let reply = reply.expect("the configuration is committed in time");
            let expected = ControlReply::Flow(FlowReply::Configured { version });
            assert_eq!(reply.expect("a reply"), expected);
            opened.push(group.proxies.values().map(|p| p.opened()).sum::<u64>());
        }
        assert_eq!(opened[0], opened[1], "no connection is replaced");
        assert_eq!(status(&group).await.term, before.term);
        let last = status(&group).await.commit;
        let has_all = |view: &MemberView| view.state == MemberState::Leader || view.matched >= last;
        group
            .wait_for("all replicas have the configurations", |members| {
                members.iter().all(has_all)
            })
            .await;
    });
}
