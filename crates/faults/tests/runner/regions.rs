//! Three regions with five voters, of which one region is cut off from the others.

use roseridge_faults::{
    CallerRequest,
    ClusterShape,
    RequestOutcome,
    RequestRecord,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster_with_shape,
    sleep_ms,
    start_load,
    submit_until_done, //
};

/// The entries of the isolated region: two of five, a minority.
const ISOLATED_ENTRIES: [usize; 2] = [0, 1];
/// The workers of the isolated region.
const ISOLATED_WORKERS: [usize; 2] = [0, 1];
/// The duration of the partition in milliseconds.
///
/// It is shorter than a lease of the default shape with its margin, 11 seconds together.
const PARTITION_MS: u64 = 8_000;

/// Guards against a minority that still accepts requests while it is isolated, which the majority
/// would not know of.
#[test]
fn isolated_region_accepts_no_requests() {
    let shape = ClusterShape {
        entries: 5,
        ..ClusterShape::default()
    };
    run_on_cluster_with_shape(shape, async |cluster| {
        let mut records = Vec::new();
        let before = start_load(cluster, mixed_requests("region-before", 2));
        sleep_ms(300).await;
        cluster.isolate_region(&ISOLATED_ENTRIES, &ISOLATED_WORKERS);
        sleep_ms(PARTITION_MS).await;
        let request = CallerRequest::new("benali", "payment-file", "region-lost-side");
        let mut refused = RequestRecord::new(request);
        let caller = cluster.caller("benali");
        refused.record_reply(
            caller
                .submit(ISOLATED_ENTRIES[0], &refused.request, 0)
                .await,
        );
        let is_refused = refused
            .replies
            .iter()
            .all(|r| matches!(r.status, 503 | 504));
        assert!(
            is_refused,
            "the isolated region accepted a request: {refused:?}"
        );
        submit_until_done(cluster, 3, "region-other-side").await;
        cluster.heal_links();
        if refused.outcome == RequestOutcome::Open {
            refused = caller.submit_until_final(3, refused.request).await;
        }
        records.push(refused);
        records.extend(before.finish().await);
        check_invariants(cluster, &records).await;
        cluster
            .operator()
            .wait_until_ready(cluster.worker_count())
            .await;
    });
}
