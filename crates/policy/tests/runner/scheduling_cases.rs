//! One test for each kind of fault that scheduling decisions must prevent.

use roseridge_model::{
    AdjacencyRule,
    DurationMs,
    JobId,
    LossReserve,
    UnixMillis,
    WorkerName, //
};
use roseridge_policy::{
    HealthState,
    PolicyDecision,
    PolicyMemory,
    QUARANTINE_FAILED_JOBS,
    RunTimeRatio,
    TokenBucket,
    WaitReason,
    check_guarantees,
    explain, //
};
use roseridge_testutils::cases;

use crate::small_cluster::{
    SmallCluster,
    gang,
    template, //
};

const ANY: AdjacencyRule = AdjacencyRule::Any;
const RACK: AdjacencyRule = AdjacencyRule::Rack;
/// The number of scheduling passes within which an urgent job within its customer's guarantee must
/// be placed: one that preempts, one that places.
const MAX_URGENT_PASSES: usize = 2;
const HOUR_MS: u64 = 3_600_000;

/// Returns four workers in two racks, of which customer `a` is guaranteed two accelerators and `b`
/// a rack.
fn two_customer_cluster() -> SmallCluster {
    let small = template("a", 1, vec![gang(2, 1, ANY)]);
    let large = template("b", 2, vec![gang(2, 4, RACK)]);
    SmallCluster::new(4, vec![small, large])
}

fn worker(number: usize) -> WorkerName {
    WorkerName::parse(&format!("w{number}")).expect("a valid name")
}

/// Guards against guarantees that can't be reclaimed: `a` fills the cluster with jobs of one class,
/// then `b` submits a job that fits its guarantee.
fn check_guarantee_is_reclaimed(class: &str) {
    let mut cluster = two_customer_cluster();
    for _ in 0..16 {
        cluster.submit("a", class, gang(1, 1, ANY));
    }
    cluster.decide();
    cluster.now += HOUR_MS;
    let job = cluster.submit("b", "payment", gang(2, 4, RACK));
    assert!(
        cluster.is_placed_within(job, MAX_URGENT_PASSES),
        "the guarantee was not reclaimed in time"
    );
}

cases! {
    check_guarantee_is_reclaimed:
    guarantee_preempts_borrowing_bulk_jobs = "study",
    guarantee_preempts_borrowing_urgent_jobs = "urgent",
    non_preemptible_bulk_jobs_do_not_borrow = "once",
    non_preemptible_urgent_jobs_do_not_borrow = "payment",
}

/// Guards against an urgent job that waits, and a preempted job that is lost, when the customer's
/// own bulk jobs fill the cluster.
#[test]
fn urgent_job_preempts_bulk_job_of_its_own_customer() {
    let mut cluster = two_customer_cluster();
    for _ in 0..16 {
        cluster.submit("a", "study", gang(1, 1, ANY));
    }
    cluster.decide();
    let job = cluster.submit("a", "urgent", gang(1, 1, ANY));
    assert!(cluster.is_placed_within(job, MAX_URGENT_PASSES));
    let studies = cluster
        .jobs
        .values()
        .filter(|j| j.class.as_str() == "study");
    assert_eq!(studies.count(), 16, "a preempted job must not be lost");
}

/// Guards against starvation of a large gang while small jobs arrive continuously: the gang must
/// get its rack within the start time of its class.
#[test]
fn small_jobs_do_not_starve_large_gang() {
    let mut cluster = two_customer_cluster();
    let large = cluster.submit("a", "long", gang(2, 4, RACK));
    for _ in 0..3 {
        cluster.submit("a", "long", gang(2, 4, RACK));
    }
    let start = cluster.now;
    while !cluster.is_placed(large) || cluster.jobs.len() < 40 {
        cluster.submit("a", "study", gang(1, 1, ANY));
        cluster.decide();
        cluster.complete_stops();
        cluster.now += 30_000;
        assert!(cluster.now < start + HOUR_MS, "the large gang was starved");
    }
}

/// Guards against a reservation that is lost when other jobs run ten times longer than declared:
/// these jobs keep their workers, and the reservation must hold until its job preempts smaller
/// ones.
#[test]
fn reservation_survives_run_time_overrun() {
    let mut cluster = two_customer_cluster();
    let longs = [(); 4].map(|()| cluster.submit("a", "long", gang(1, 3, ANY)));
    cluster.decide();
    let large = cluster.submit("a", "long", gang(2, 4, RACK));
    cluster.decide();
    let reserved = |c: &SmallCluster| c.memory.plan.reservations.iter().any(|r| r.job == large);
    assert!(reserved(&cluster));
    cluster.now += 60_000;
    cluster.submit("a", "long", gang(1, 1, ANY));
    cluster.decide();
    assert!(reserved(&cluster) || cluster.is_placed(large));
    cluster.now += 100 * 60_000;
    assert!(
        cluster.is_placed_within(large, 4),
        "smaller jobs must be preempted once the reservation is old enough"
    );
    assert!(longs.iter().any(|job| cluster.is_placed(*job)));
}

/// Guards against resources that stay reserved after the reservation's job was cancelled.
#[test]
fn cancelled_gang_releases_its_reservation() {
    let mut cluster = two_customer_cluster();
    for _ in 0..4 {
        cluster.submit("a", "long", gang(1, 3, ANY));
    }
    cluster.decide();
    let large = cluster.submit("a", "long", gang(2, 4, RACK));
    cluster.decide();
    assert_eq!(cluster.memory.plan.reservations.len(), 1);
    cluster.end_job(large);
    cluster.decide();
    assert!(cluster.memory.plan.reservations.is_empty());
}

/// Guards against accepting jobs that no worker or rack can hold, or that would block other
/// customers' guarantees.
#[test]
fn gang_that_can_never_start_is_rejected() {
    let cluster = two_customer_cluster();
    let can_start = |class, members, adjacency| {
        cluster.can_ever_start("a", class, &gang(members, 4, adjacency))
    };
    assert!(!can_start("study", 2, AdjacencyRule::Worker));
    assert!(!can_start("study", 3, RACK));
    assert!(
        !can_start("once", 4, ANY),
        "it would block the guarantees of other customers"
    );
    assert!(can_start("study", 4, ANY));
}

/// Guards against degrading the wrong guarantee when a rack is lost: the customer with the lowest
/// rank keeps its guarantee, and the other one is listed as degraded until the rack is back.
#[test]
fn lost_rack_degrades_guarantees_by_rank() {
    let first = template("a", 1, vec![gang(2, 4, RACK)]);
    let second = template("b", 2, vec![gang(2, 4, RACK)]);
    let mut cluster = SmallCluster::new(4, vec![second, first]);
    cluster.decide();
    assert!(cluster.memory.plan.degraded.is_empty());
    for lost in [0, 1] {
        cluster.lose_worker(lost);
    }
    cluster.decide();
    let degraded: Vec<_> = cluster.memory.plan.degraded.iter().collect();
    assert_eq!(degraded.len(), 1);
    assert_eq!(
        (degraded[0].customer.as_str(), degraded[0].accelerators),
        ("b", 8)
    );
    for recovered in [0, 1] {
        cluster.live[recovered] = true;
    }
    cluster.decide();
    assert!(cluster.memory.plan.degraded.is_empty());
}

/// Guards against accepting a guarantee that fits only while no worker or failure domain is lost;
/// the error names the customer and the size.
#[test]
fn guarantee_must_fit_after_reserved_loss() {
    let check = |members, reserve| {
        let mut templates = two_customer_cluster().templates;
        let mut other = template("c", 3, vec![gang(members, 2, ANY)]);
        other.reserve = reserve;
        templates.insert(other.customer.clone(), other);
        let mut workers = two_customer_cluster().workers;
        for number in [2, 3] {
            workers[number].1.domain =
                roseridge_model::DomainName::parse("e").expect("a valid name");
        }
        let workers: Vec<_> = workers.iter().map(|(n, w)| (n, w)).collect();
        check_guarantees(&templates, &workers).map_err(|m| (m.customer.to_string(), m.accelerators))
    };
    assert_eq!(check(1, LossReserve::Worker), Ok(()));
    assert_eq!(check(2, LossReserve::Worker), Err(("c".to_owned(), 4)));
    assert_eq!(
        check(4, LossReserve::Domain).map_err(|(c, _)| c),
        Err("c".to_owned())
    );
}

/// Guards against a worker that fails all tasks and keeps receiving new ones: it is quarantined,
/// probed, and quarantined for longer if the probe fails. A success clears its record.
#[test]
fn failing_worker_is_quarantined_and_probed() {
    let mut memory = PolicyMemory::default();
    let now = UnixMillis(1_000);
    for job in 1..=QUARANTINE_FAILED_JOBS as u64 {
        memory.record_failure(&worker(0), JobId(job), "out of memory", now);
    }
    let state = |memory: &PolicyMemory, at| memory.health[&worker(0)].state(at);
    let HealthState::Quarantined { until } = state(&memory, now) else {
        panic!("the worker must be quarantined");
    };
    assert_eq!(state(&memory, until), HealthState::Probing);
    memory.record_failure(&worker(0), JobId(9), "again", until);
    let HealthState::Quarantined { until: later } = state(&memory, until) else {
        panic!("the failed probe must quarantine the worker again");
    };
    assert!(
        later.since(until) > until.since(now),
        "the quarantine must grow"
    );
    memory.record_success(&worker(0), later);
    assert!(!memory.health.contains_key(&worker(0)));
}

/// Returns a cluster in which jobs failed on the last worker.
fn cluster_with_quarantined_worker() -> SmallCluster {
    let mut cluster = two_customer_cluster();
    for job in 101..=100 + QUARANTINE_FAILED_JOBS as u64 {
        cluster
            .memory
            .record_failure(&worker(3), JobId(job), "bad", UnixMillis(cluster.now));
    }
    cluster
}

/// Guards against a sound worker that urgent jobs wait for, because no job comes that may probe it.
#[test]
fn probing_ends_without_a_probe() {
    let cluster = cluster_with_quarantined_worker();
    let state = |cluster: &SmallCluster, later| {
        let now = UnixMillis(cluster.now).plus(DurationMs(later));
        cluster.memory.health[&worker(3)].state(now)
    };
    assert_eq!(state(&cluster, 61_000), HealthState::Probing);
    assert_eq!(state(&cluster, 121_000), HealthState::Healthy);
}

/// Guards against a failing worker that attracts the whole queue because it has the most free
/// resources.
#[test]
fn quarantined_worker_receives_no_jobs() {
    let mut cluster = cluster_with_quarantined_worker();
    for _ in 0..16 {
        cluster.submit("a", "study", gang(1, 1, ANY));
    }
    cluster.decide();
    assert_eq!(cluster.free_resources(3).0.accelerators, 4);
    cluster.now += 61_000;
    cluster.decide();
    assert_eq!(
        cluster.free_resources(3).0.accelerators,
        3,
        "a single task must probe it"
    );
}

/// Guards against quarantining healthy workers because of jobs that fail on every worker.
#[test]
fn faulty_job_does_not_quarantine_workers() {
    let mut memory = PolicyMemory::default();
    for job in 1..=9 {
        for number in 0..3 {
            memory.record_failure(&worker(number), JobId(job), "bad input", UnixMillis(job));
        }
    }
    let healthy = |n| {
        memory
            .health
            .get(&worker(n))
            .is_none_or(|h| h.state(UnixMillis(9)) == HealthState::Healthy)
    };
    assert!((0..3).all(healthy));
    assert_eq!(memory.jobs[&JobId(1)].reasons.len(), 3);
}

/// Guards against a retry storm when 100 jobs are lost with a rack: the customer's retry budget
/// must spread their restarts.
#[test]
fn lost_rack_causes_no_retry_storm() {
    let mut memory = PolicyMemory::default();
    let now = UnixMillis(1_000);
    let customer = template("a", 1, Vec::new()).customer;
    for job in 1..=100 {
        memory.schedule_retry(&customer, JobId(job), now);
    }
    for second in [1, 10, 60] {
        let until = now.plus(DurationMs(second * 1_000));
        let started = memory
            .jobs
            .values()
            .filter(|h| h.not_before <= until)
            .count();
        assert!(
            started <= 8 + second as usize,
            "{started} retries within {second} s"
        );
    }
}

/// Guards against estimates that trust declared run times which are ten times too short or too
/// long.
#[test]
fn run_time_estimates_follow_observed_ratios() {
    let mut ratio = RunTimeRatio::default();
    let declared = DurationMs(600_000);
    for _ in 0..60 {
        ratio.record(declared, DurationMs(6_000_000));
    }
    assert!(ratio.estimate(declared).0 > 5_000_000);
    assert!(
        ratio.remaining(declared, DurationMs(7_000_000)).0 >= 7_000_000,
        "an overrun is assumed to be half complete"
    );
    for _ in 0..90 {
        ratio.record(declared, DurationMs(60_000));
    }
    assert!(ratio.estimate(declared).0 < 120_000);
}

/// Guards against a rate limit that rejects permitted bursts, or returns a wrong time to retry.
#[test]
fn token_bucket_allows_burst_and_returns_retry_time() {
    let mut bucket = TokenBucket::full(2, UnixMillis(0));
    let mut take = |at| bucket.try_take(1, 2, UnixMillis(at));
    assert_eq!(
        [take(0), take(0), take(0), take(999), take(1_000)],
        [true, true, false, false, true]
    );
    assert_eq!(
        bucket.time_until_token(1, 2, UnixMillis(1_400)),
        DurationMs(600)
    );
}

/// Guards against missing or wrong explanations of a job that waits for preemptions, one that waits
/// for free resources, and one that is being stopped.
#[test]
fn waiting_and_stopping_jobs_are_explained() {
    let mut cluster = two_customer_cluster();
    for _ in 0..16 {
        cluster.submit("a", "study", gang(1, 1, ANY));
    }
    cluster.decide();
    let small = cluster.submit("b", "study", gang(1, 3, AdjacencyRule::Worker));
    let urgent = cluster.submit("b", "urgent", gang(2, 4, RACK));
    let explanation = explain(&cluster.view(), urgent).expect("it waits");
    assert!(
        matches!(explanation.wait_reason, Some(WaitReason::AwaitingPreemption { stopping }) if stopping.len() == 8)
    );
    let explanation = explain(&cluster.view(), small).expect("it waits");
    assert_eq!(explanation.wait_reason, Some(WaitReason::NoCapacity));
    let preempted = cluster.decide().into_iter().find_map(|d| match d {
        PolicyDecision::Preempt { job, .. } => Some(job),
        _ => None,
    });
    let explanation =
        explain(&cluster.view(), preempted.expect("one job is preempted")).expect("it is placed");
    assert_eq!(
        (explanation.stopped_for, explanation.text.as_str()),
        (Some(urgent), "it is being stopped")
    );
}
