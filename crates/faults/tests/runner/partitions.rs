//! Replicas that are isolated for several election timeouts, in one direction or both.

use roseridge_faults::{
    CallerRequest,
    RequestOutcome,
    TrafficDirection,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster,
    sleep_ms,
    start_load,
    submit_until_done, //
};

/// The replica that is isolated and the direction of its traffic that is held.
#[derive(Debug, Clone, Copy)]
struct Isolation {
    is_leader: bool,
    direction: TrafficDirection,
}

const fn leader(direction: TrafficDirection) -> Isolation {
    Isolation {
        is_leader: true,
        direction,
    }
}

const fn follower(direction: TrafficDirection) -> Isolation {
    Isolation {
        is_leader: false,
        direction,
    }
}

/// The duration of a partition in milliseconds: several election timeouts.
const PARTITION_MS: u64 = 6_000;

/// Guards against jobs that are lost or run twice because an isolated replica and the majority act
/// on different leaders.
///
/// The majority must complete requests during the partition, and must elect another leader if the
/// old one can't send.
fn isolate(isolation: Isolation) {
    run_on_cluster(async move |cluster| {
        let name = format!("{}-{:?}", isolation.is_leader, isolation.direction).to_lowercase();
        let leader = cluster.operator().leader().await;
        let isolated = match isolation.is_leader {
            true => leader,
            false => (leader + 1) % cluster.entry_count(),
        };
        let before = start_load(cluster, mixed_requests(&format!("{name}-first"), 2));
        sleep_ms(300).await;
        cluster.isolate_entry(isolated, isolation.direction);
        let during = start_load(cluster, mixed_requests(&format!("{name}-during"), 2));
        sleep_ms(PARTITION_MS).await;
        if isolation.is_leader && isolation.direction != TrafficDirection::In {
            let operator = cluster.operator();
            let replaced = operator.poll("another replica leads", async |entry| {
                let status = operator.status_from(entry).await?;
                (status["leader"].as_u64()? != isolated as u64 + 1).then_some(())
            });
            replaced.await;
        }
        submit_until_done(cluster, (isolated + 1) % cluster.entry_count(), &name).await;
        cluster.heal_links();
        let mut records = before.finish().await;
        records.extend(during.finish().await);
        check_invariants(cluster, &records).await;
    });
}

roseridge_testutils::cases! {
    isolate:
    invariants_hold_while_leader_is_isolated = leader(TrafficDirection::Both),
    invariants_hold_while_leader_only_receives = leader(TrafficDirection::Out),
    invariants_hold_while_leader_only_sends = leader(TrafficDirection::In),
    invariants_hold_while_follower_is_isolated = follower(TrafficDirection::Both),
    invariants_hold_while_follower_only_receives = follower(TrafficDirection::Out),
    invariants_hold_while_follower_only_sends = follower(TrafficDirection::In),
}

/// Guards against requests that are accepted without a majority and then lost: all replicas are
/// partitioned from each other, and must serve again afterwards.
#[test]
fn no_accepted_work_is_lost_without_majority() {
    run_on_cluster(async |cluster| {
        for first in 0..cluster.entry_count() {
            for second in 0..first {
                cluster.partition_entries(first, second);
            }
        }
        let load = start_load(cluster, mixed_requests("parted", 1));
        sleep_ms(PARTITION_MS).await;
        cluster.heal_links();
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        let after = CallerRequest::new("benali", "payment-file", "parted-after");
        let after = cluster.caller("benali").submit_until_final(0, after).await;
        assert_eq!(after.outcome, RequestOutcome::Done, "{after:?}");
    });
}
