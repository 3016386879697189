//! The users' load patterns, replayed on a virtual clock with fixed seeds.
//!
//! The bounds are the users' requirements: urgent flows within their customer's guarantee always
//! start in time, the largest tenth of a class is served at least half as often as the whole class, and
//! every class earns at least 0.48 of its attainable value without faults and 0.41 with faults.

use roseridge_testutils::cases;

use crate::{
    site_loads::{
        caroni,
        dispatch,
        llpcs,
        payments, //
    },
    site_simulation::{
        Fault,
        ReplayMetrics,
        SiteLoad,
        replay, //
    },
};

const SEEDS: u64 = 4;
/// The minimum earned share of the attainable value of every class without faults.
const FAULT_FREE_MIN_SHARE: f64 = 0.48;
/// The minimum earned share of the attainable value of every class with faults.
const FAULTY_MIN_SHARE: f64 = 0.41;

/// The faults that are injected besides the usual load, and the minimum earned share of every class.
struct LoadPattern {
    faults: &'static [Fault],
    min_share: f64,
}

const URGENT_BURST: Fault = Fault::Burst {
    rank: 0,
    factor: 2.2,
    start_ms: 3_000,
    duration_ms: 6_000,
};
const STUDY_BURST: Fault = Fault::Burst {
    rank: 1,
    factor: 2.4,
    start_ms: 6_000,
    duration_ms: 4_000,
};

fn check(pattern: LoadPattern) {
    for (name, site) in [("dispatch", dispatch(1.2)), ("payments", payments(1.2))] {
        let runs = replay_all(&site, pattern.faults);
        let late: usize = runs.iter().map(|run| run.late_reclaims).sum();
        assert_eq!(
            late, 0,
            "{name}: urgent flows within their guarantee start late"
        );
        for rank in 0..3 {
            let share = mean(&runs, |run| run.rank_earned_share(rank));
            assert!(
                share >= pattern.min_share,
                "{name}: rank {rank} earns {share:.3} of its value"
            );
            let (all, large) = served(&runs, rank);
            assert!(
                large >= all / 2.0,
                "{name}: {all:.2} of rank {rank} are served, but {large:.2} of its largest flows"
            );
        }
    }
}

fn replay_all(site: &SiteLoad, faults: &[Fault]) -> Vec<ReplayMetrics> {
    (0..SEEDS).map(|seed| replay(site, faults, seed)).collect()
}

fn mean(runs: &[ReplayMetrics], of: impl Fn(&ReplayMetrics) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

/// Returns the served share of a rank's flows, and that of its largest tenth.
fn served(runs: &[ReplayMetrics], rank: u32) -> (f64, f64) {
    let share = |counts: Vec<(u32, u32)>| {
        let evaluated: u32 = counts.iter().map(|(evaluated, _)| evaluated).sum();
        let served: u32 = counts.iter().map(|(_, served)| served).sum();
        match evaluated {
            0 => 1.0,
            evaluated => f64::from(served) / f64::from(evaluated),
        }
    };
    let all = runs.iter().filter_map(|run| run.flows.get(&rank).copied());
    let large = runs.iter().filter_map(|run| run.large.get(&rank).copied());
    (share(all.collect()), share(large.collect()))
}

cases! {
    check:
    no_faults = LoadPattern { faults: &[], min_share: FAULT_FREE_MIN_SHARE },
    burst_of_urgent_gangs = LoadPattern { faults: &[URGENT_BURST], min_share: FAULTY_MIN_SHARE },
    burst_of_large_jobs = LoadPattern {
        faults: &[URGENT_BURST, STUDY_BURST],
        min_share: FAULTY_MIN_SHARE,
    },
    jobs_that_fail_in_every_attempt = LoadPattern {
        faults: &[Fault::FailingFlows { rank: 1, share: 0.2 }],
        min_share: FAULTY_MIN_SHARE,
    },
    worker_that_fails_every_run = LoadPattern {
        faults: &[
            URGENT_BURST,
            Fault::Failing { workers: 1, start_ms: 6_000, duration_ms: 7_000 },
        ],
        min_share: FAULTY_MIN_SHARE,
    },
    stalled_tasks = LoadPattern {
        faults: &[
            URGENT_BURST,
            Fault::Stalled { workers: 1, start_ms: 8_000, duration_ms: 5_500 },
        ],
        min_share: FAULTY_MIN_SHARE,
    },
    slow_workers = LoadPattern {
        faults: &[
            URGENT_BURST,
            Fault::Slow { workers: 2, factor: 6, start_ms: 9_000, duration_ms: 6_000 },
        ],
        min_share: FAULTY_MIN_SHARE,
    },
    network_partition_of_workers = LoadPattern {
        faults: &[
            URGENT_BURST,
            Fault::Partition { workers: 3, start_ms: 5_000, duration_ms: 6_000 },
        ],
        min_share: FAULTY_MIN_SHARE,
    },
    workers_leave = LoadPattern {
        faults: &[URGENT_BURST, Fault::Leaving { workers: 2, at_ms: 8_000 }],
        min_share: FAULTY_MIN_SHARE,
    },
    no_leader_during_burst = LoadPattern {
        faults: &[
            URGENT_BURST,
            Fault::NoLeader { start_ms: 6_000, duration_ms: 1_500 },
        ],
        min_share: FAULTY_MIN_SHARE,
    },
}

#[test]
fn replay_is_deterministic() {
    let site = payments(1.0);
    let runs = [0, 1].map(|_| replay(&site, &[URGENT_BURST], 3));
    assert_eq!(runs[0].earned.to_bits(), runs[1].earned.to_bits());
    assert_eq!(runs[0].stops, runs[1].stops);
    assert!(runs[0].earned_share() > 0.0 && runs[0].waste(site.waste_price) >= 0.0);
}

// Guards against flows that the accounting of the heavy loads counts twice or not at all.
#[test]
fn accounts_of_heavy_loads_agree() {
    for site in [caroni(1.0), llpcs(1.0)] {
        let run = replay(&site, &[URGENT_BURST], 1);
        let sum = |parts: Vec<(f64, f64)>| {
            parts
                .into_iter()
                .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))
        };
        let ranks = sum(run.ranks.values().copied().collect());
        let customers = sum(run.customers.values().copied().collect());
        for (attainable, earned) in [ranks, customers] {
            assert!((attainable - run.attainable).abs() < 1e-6);
            assert!((earned - run.earned).abs() < 1e-6);
        }
        // The customer with the smallest share of the demand may submit nothing in one replay.
        let present = run.customers.len();
        assert!(run.earned > 0.0 && present + 1 >= site.customers.len());
        assert!(run.refused.values().all(|(all, free)| free <= all));
    }
}

// Guards against admission by a sum of capacity: in these replays it refused two flows of caroni and one
// of llpcs that free workers could have run in time.
#[test]
fn no_flow_is_refused_while_free_workers_can_run_it() {
    for (name, site) in [("caroni", caroni(1.6)), ("llpcs", llpcs(1.6))] {
        let run = replay(&site, &[], 1);
        let while_free: u32 = run.refused.values().map(|(_, free)| free).sum();
        assert_eq!(
            while_free, 0,
            "{name}: flows are refused while workers are free"
        );
    }
}
