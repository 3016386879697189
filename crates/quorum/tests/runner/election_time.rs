//! The time from the crash of a leader until the next one serves, on a virtual clock.

use hdrhistogram::Histogram;

use crate::fake_cluster::FakeCluster;

const ELECTIONS: u64 = 400;
/// The one-way latency of a message; a round trip takes 3 ms.
const ONE_WAY_US: u64 = 1_500;
/// The latency of a sync.
const SYNC_US: u64 = 2_000;
/// The maximum 99th percentile of the time.
const LIMIT_MS: u64 = 1_500;

/// Guards against slow failover: repeated split votes would delay the next leader after a crash.
#[test]
fn new_leader_serves_within_the_limit() {
    let mut times = Histogram::<u64>::new(3).expect("the histogram is made");
    for election in 0..ELECTIONS {
        let mut cluster = FakeCluster::bootstrapped_with_seed(3, election);
        (0..election % 10 + 5).for_each(|_| cluster.run_round());
        let leader = cluster.serving_node().expect("a leader serves");
        cluster.crash(leader, 0);
        let micros = cluster.time_until_serving(ONE_WAY_US, SYNC_US);
        times.record(micros / 1_000).expect("the time fits");
    }
    for step in times
        .iter_linear(100)
        .filter(|s| s.count_since_last_iteration() > 0)
    {
        let upper = step.value_iterated_to();
        println!("up to {upper} ms: {}", step.count_since_last_iteration());
    }
    let (median, p99, worst) = (
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    );
    println!("{ELECTIONS} elections: median {median} ms, p99 {p99} ms, worst {worst} ms");
    assert!(p99 <= LIMIT_MS, "p99 is {p99} ms");
}
