//! A named case for each harm that the decisions are to prevent.

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
    RunRatio,
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
/// Rounds within which covered urgent work must hold its places: one that stops, one that places.
const URGENT_ROUNDS: usize = 2;
const HOUR_MS: u64 = 3_600_000;

/// Returns four workers in two racks: `a` is guaranteed two accelerators, `b` a whole rack.
fn two_customers() -> SmallCluster {
    let small = template("a", 1, vec![gang(2, 1, ANY)]);
    let large = template("b", 2, vec![gang(2, 4, RACK)]);
    SmallCluster::new(4, vec![small, large])
}

fn worker(number: usize) -> WorkerName {
    WorkerName::parse(&format!("w{number}")).expect("a name")
}

/// Fills the cluster with work of one class of `a`, then asks for what `b` is guaranteed.
fn check_reclaim(class: &str) {
    let mut cluster = two_customers();
    for _ in 0..16 {
        cluster.submit("a", class, gang(1, 1, ANY));
    }
    cluster.decide();
    cluster.now += HOUR_MS;
    let job = cluster.submit("b", "payment", gang(2, 4, RACK));
    assert!(
        cluster.settles(job, URGENT_ROUNDS),
        "the guarantee was not reclaimed"
    );
}

cases! {
    check_reclaim:
    borrowed_studies_yield_to_a_guarantee = "study",
    borrowed_urgent_work_yields_to_a_guarantee = "urgent",
    work_that_cannot_stop_does_not_borrow = "once",
    payments_do_not_borrow = "payment",
}

#[test]
fn a_late_replan_stops_a_study_of_its_own_customer() {
    let mut cluster = two_customers();
    for _ in 0..16 {
        cluster.submit("a", "study", gang(1, 1, ANY));
    }
    cluster.decide();
    let job = cluster.submit("a", "urgent", gang(1, 1, ANY));
    assert!(cluster.settles(job, URGENT_ROUNDS));
    let studies = cluster
        .jobs
        .values()
        .filter(|j| j.class.as_str() == "study");
    assert_eq!(studies.count(), 16, "a study that yields is not lost");
}

/// Small jobs arrive without end; the large gang gets its rack within its class's wait all the same.
#[test]
fn a_burst_of_small_jobs_does_not_starve_a_large_gang() {
    let mut cluster = two_customers();
    let large = cluster.submit("a", "long", gang(2, 4, RACK));
    for _ in 0..3 {
        cluster.submit("a", "long", gang(2, 4, RACK));
    }
    let start = cluster.now;
    while !cluster.is_placed(large) || cluster.jobs.len() < 40 {
        cluster.submit("a", "study", gang(1, 1, ANY));
        cluster.decide();
        cluster.finish_stops();
        cluster.now += 30_000;
        assert!(cluster.now < start + HOUR_MS, "the large gang starves");
    }
}

/// Work that runs ten times longer than declared keeps its places; the reservation goes on holding the rest.
#[test]
fn an_overrun_does_not_break_a_reservation() {
    let mut cluster = two_customers();
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
        cluster.settles(large, 4),
        "smaller work yields once the patience is over"
    );
    assert!(longs.iter().any(|job| cluster.is_placed(*job)));
}

#[test]
fn a_cancelled_gang_leaves_no_reservation() {
    let mut cluster = two_customers();
    for _ in 0..4 {
        cluster.submit("a", "long", gang(1, 3, ANY));
    }
    cluster.decide();
    let large = cluster.submit("a", "long", gang(2, 4, RACK));
    cluster.decide();
    assert_eq!(cluster.memory.plan.reservations.len(), 1);
    cluster.end(large);
    cluster.decide();
    assert!(cluster.memory.plan.reservations.is_empty());
}

#[test]
fn work_that_can_never_run_is_not_admitted() {
    let cluster = two_customers();
    let admits =
        |class, members, adjacency| cluster.admits("a", class, &gang(members, 4, adjacency));
    assert!(!admits("study", 2, AdjacencyRule::Worker));
    assert!(!admits("study", 3, RACK));
    assert!(
        !admits("once", 4, ANY),
        "it would hold what is guaranteed to others"
    );
    assert!(admits("study", 4, ANY));
}

/// The customer of the lowest rank keeps its guarantee when a rack is lost, and the other is named.
#[test]
fn a_lost_rack_degrades_in_the_order_of_ranks() {
    let first = template("a", 1, vec![gang(2, 4, RACK)]);
    let second = template("b", 2, vec![gang(2, 4, RACK)]);
    let mut cluster = SmallCluster::new(4, vec![second, first]);
    cluster.decide();
    assert!(cluster.memory.plan.degraded.is_empty());
    for lost in [0, 1] {
        cluster.lose(lost);
    }
    cluster.decide();
    let degraded: Vec<_> = cluster.memory.plan.degraded.iter().collect();
    assert_eq!(degraded.len(), 1);
    assert_eq!(
        (degraded[0].customer.as_str(), degraded[0].accelerators),
        ("b", 8)
    );
    for back in [0, 1] {
        cluster.live[back] = true;
    }
    cluster.decide();
    assert!(cluster.memory.plan.degraded.is_empty());
}

/// A guaranteed shape that fits only while nothing is lost is refused, with its owner and size.
#[test]
fn a_guarantee_must_outlast_the_reserve() {
    let check = |members, reserve| {
        let mut templates = two_customers().templates;
        let mut other = template("c", 3, vec![gang(members, 2, ANY)]);
        other.reserve = reserve;
        templates.insert(other.customer.clone(), other);
        let mut workers = two_customers().workers;
        for number in [2, 3] {
            workers[number].1.domain = roseridge_model::DomainName::parse("e").expect("a name");
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

#[test]
fn a_worker_that_fails_everything_is_quarantined_and_probed() {
    let mut memory = PolicyMemory::default();
    let now = UnixMillis(1_000);
    for job in 1..=QUARANTINE_FAILED_JOBS as u64 {
        memory.record_failure(&worker(0), JobId(job), "out of memory", now);
    }
    let state = |memory: &PolicyMemory, at| memory.health[&worker(0)].state(at);
    let HealthState::Quarantined { until } = state(&memory, now) else {
        panic!("not quarantined");
    };
    assert_eq!(state(&memory, until), HealthState::Probing);
    memory.record_failure(&worker(0), JobId(9), "again", until);
    let HealthState::Quarantined { until: later } = state(&memory, until) else {
        panic!("the probe failed");
    };
    assert!(later.since(until) > until.since(now), "the back-off grows");
    memory.record_success(&worker(0), later);
    assert!(!memory.health.contains_key(&worker(0)));
}

/// The bad worker is the emptiest one, and yet it does not swallow the queue.
#[test]
fn a_quarantined_worker_gets_no_work() {
    let mut cluster = two_customers();
    for job in 101..=100 + QUARANTINE_FAILED_JOBS as u64 {
        cluster
            .memory
            .record_failure(&worker(3), JobId(job), "bad", UnixMillis(cluster.now));
    }
    for _ in 0..16 {
        cluster.submit("a", "study", gang(1, 1, ANY));
    }
    cluster.decide();
    assert_eq!(cluster.free(3).0.accelerators, 4);
    cluster.now += 61_000;
    cluster.decide();
    assert_eq!(cluster.free(3).0.accelerators, 3, "one task probes it");
}

#[test]
fn a_faulty_job_does_not_put_its_workers_into_quarantine() {
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

/// A hundred jobs are lost with a rack; their second starts are spread by the customer's budget.
#[test]
fn a_lost_rack_starts_no_retry_storm() {
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

#[test]
fn declared_run_times_are_corrected_by_what_was_seen() {
    let mut ratio = RunRatio::default();
    let declared = DurationMs(600_000);
    for _ in 0..60 {
        ratio.learn(declared, DurationMs(6_000_000));
    }
    assert!(ratio.estimate(declared).0 > 5_000_000);
    assert!(
        ratio.rest(declared, DurationMs(7_000_000)).0 >= 7_000_000,
        "the worst after an overrun"
    );
    for _ in 0..90 {
        ratio.learn(declared, DurationMs(60_000));
    }
    assert!(ratio.estimate(declared).0 < 120_000);
}

#[test]
fn a_rate_allows_a_burst_and_tells_when_to_come_back() {
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

/// A job that waits behind work that may not be stopped says so, and names what is being stopped.
#[test]
fn a_waiting_job_is_explained() {
    let mut cluster = two_customers();
    for _ in 0..16 {
        cluster.submit("a", "study", gang(1, 1, ANY));
    }
    cluster.decide();
    let small = cluster.submit("b", "study", gang(1, 3, AdjacencyRule::Worker));
    let urgent = cluster.submit("b", "urgent", gang(2, 4, RACK));
    let told = explain(&cluster.view(), urgent).expect("it waits");
    assert!(
        matches!(told.wait_reason, Some(WaitReason::MakingRoom { stopping }) if stopping.len() == 8)
    );
    let told = explain(&cluster.view(), small).expect("it waits");
    assert_eq!(told.wait_reason, Some(WaitReason::NoRoom));
    let stopped = cluster.decide().into_iter().find_map(|d| match d {
        PolicyDecision::Preempt { job, .. } => Some(job),
        _ => None,
    });
    let told = explain(&cluster.view(), stopped.expect("one yields")).expect("it is placed");
    assert_eq!(
        (told.stopped_for, told.text.as_str()),
        (Some(urgent), "it is being stopped")
    );
}
