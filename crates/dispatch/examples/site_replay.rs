//! Replays the loads of the installations over many seeds and prints the earned value.
//!
//! Each line shows the mean over the seeds: the earned share of the attainable value minus the waste, in
//! total; the earned share by rank; the waste, which is the price of lost work; the number of stop orders
//! of late reclaims; and the served share of the largest flows. The heavily loaded installations have
//! further lines: the standard error of the mean, the earned share by customer, and the refused flows of
//! each rank, of which free workers could have run the second number in time.
//!
//!     cargo run --release -p roseridge-dispatch --example site_replay -- [SEEDS] [SITES...]

#[path = "../tests/runner/site_loads.rs"]
mod site_loads;
#[path = "../tests/runner/site_simulation.rs"]
mod site_simulation;

use site_loads::{
    caroni,
    dispatch,
    llpcs,
    payments, //
};
use site_simulation::{
    Fault,
    ReplayMetrics,
    SiteLoad,
    replay, //
};

const SEEDS: u64 = 40;
/// The number of patterns, the first ones, that are replayed for the heavily loaded installations.
const HEAVY_PATTERNS: usize = 3;
/// The number of threads that replay at the same time.
const THREADS: u64 = 6;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(SEEDS);
    let urgent_burst = Fault::Burst {
        rank: 0,
        factor: 2.2,
        start_ms: 3_000,
        duration_ms: 6_000,
    };
    let study_burst = Fault::Burst {
        rank: 1,
        factor: 2.0,
        start_ms: 6_000,
        duration_ms: 4_000,
    };
    let partition = Fault::Partition {
        workers: 3,
        start_ms: 5_000,
        duration_ms: 6_000,
    };
    let slow = Fault::Slow {
        workers: 2,
        factor: 6,
        start_ms: 9_000,
        duration_ms: 6_000,
    };
    let failing = Fault::Failing {
        workers: 1,
        start_ms: 6_000,
        duration_ms: 7_000,
    };
    let stalled = Fault::Stalled {
        workers: 1,
        start_ms: 8_000,
        duration_ms: 5_000,
    };
    let patterns: &[(&str, &[Fault])] = &[
        ("no faults", &[]),
        ("urgent burst", &[urgent_burst]),
        ("burst, partition", &[urgent_burst, study_burst, partition]),
        ("slow workers", &[urgent_burst, slow]),
        ("failing worker", &[urgent_burst, failing]),
        ("stalled worker", &[urgent_burst, stalled]),
        (
            "worker leaves",
            &[
                urgent_burst,
                Fault::Leaving {
                    workers: 1,
                    at_ms: 8_000,
                },
            ],
        ),
        (
            "no leader",
            &[
                urgent_burst,
                Fault::NoLeader {
                    start_ms: 7_000,
                    duration_ms: 2_000,
                },
            ],
        ),
        (
            "failing flows",
            &[Fault::FailingFlows {
                rank: 1,
                share: 0.2,
            }],
        ),
    ];
    println!(
        "{:<10} {:>5} {:<16} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>7}",
        "site",
        "load",
        "pattern",
        "value",
        "rank 0",
        "rank 1",
        "rank 2",
        "waste",
        "stops",
        "late0",
        "large"
    );
    let wanted: Vec<_> = std::env::args().skip(2).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|w| w == name);
    let small_sites = [
        ("dispatch", dispatch as fn(f64) -> SiteLoad),
        ("payments", payments),
    ];
    for (name, site) in small_sites.into_iter().filter(|(name, _)| is_wanted(name)) {
        let mut total = 0.0;
        for load in [1.0, 1.4] {
            for (pattern, faults) in patterns {
                let site = site(load);
                let runs = replay_all(&site, faults, seeds);
                total += print_means(name, load, pattern, &site, &runs);
            }
        }
        println!(
            "{name} mean value {:.4}",
            total / (patterns.len() * 2) as f64
        );
    }
    let heavy_sites = [("caroni", caroni as fn(f64) -> SiteLoad), ("llpcs", llpcs)];
    for (name, site) in heavy_sites.into_iter().filter(|(name, _)| is_wanted(name)) {
        for load in [1.0, 1.6] {
            for (pattern, faults) in &patterns[..HEAVY_PATTERNS] {
                let site = site(load);
                let runs = replay_all(&site, faults, seeds);
                print_means(name, load, pattern, &site, &runs);
                print_details(&site, &runs);
            }
        }
    }
}

/// Replays all seeds on [`THREADS`] threads.
fn replay_all(site: &SiteLoad, faults: &[Fault], seeds: u64) -> Vec<ReplayMetrics> {
    let parts: Vec<_> = (0..THREADS)
        .map(|part| (0..seeds).filter(move |seed| seed % THREADS == part))
        .collect();
    std::thread::scope(|scope| {
        let running: Vec<_> = parts
            .into_iter()
            .map(|part| {
                scope.spawn(move || {
                    part.map(|seed| replay(site, faults, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let done = running.into_iter().map(|run| run.join());
        done.flat_map(|runs| runs.expect("a replay does not panic"))
            .collect()
    })
}

/// Prints the means over the seeds and returns the earned value minus the waste.
fn print_means(
    name: &str,
    load: f64,
    pattern: &str,
    site: &SiteLoad,
    runs: &[ReplayMetrics],
) -> f64 {
    let mean =
        |of: &dyn Fn(&ReplayMetrics) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let waste = mean(&|run| run.waste(site.waste_price));
    let value = mean(&ReplayMetrics::earned_share) - waste;
    let served_share = |of: &dyn Fn(&ReplayMetrics) -> (u32, u32)| {
        let sums = runs
            .iter()
            .map(of)
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        f64::from(sums.1) / f64::from(sums.0.max(1))
    };
    let large = served_share(&|run| {
        run.large
            .values()
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    });
    println!(
        "{name:<10} {load:>5.2} {pattern:<16} {value:>6.3} {:>6.3} {:>6.3} {:>6.3} {waste:>6.3} {:>7.1} {:>6.2} {large:>7.2}",
        mean(&|run| run.rank_earned_share(0)),
        mean(&|run| run.rank_earned_share(1)),
        mean(&|run| run.rank_earned_share(2)),
        mean(&|run| run.stops as f64),
        mean(&|run| run.late_reclaims as f64),
    );
    value
}

/// Prints the standard error, the earned share by customer and the refused flows.
fn print_details(site: &SiteLoad, runs: &[ReplayMetrics]) {
    let values: Vec<_> = runs
        .iter()
        .map(|run| run.earned_share() - run.waste(site.waste_price))
        .collect();
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    println!("{:<10} standard error {:.4}", "", (variance / count).sqrt());
    let shares = (0..site.customers.len()).map(|customer| {
        let sums = runs.iter().filter_map(|run| run.customers.get(&customer));
        let (attainable, earned) = sums.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        format!("{:.3}", earned / f64::max(attainable, f64::EPSILON))
    });
    println!(
        "{:<10} by customer {}",
        "",
        shares.collect::<Vec<_>>().join(" ")
    );
    let refused = site.classes.iter().map(|class| {
        let counts = runs.iter().filter_map(|run| run.refused.get(&class.rank));
        let (refused, while_free) = counts.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        format!(
            "rank {}: {:.1} of which {:.1} while free",
            class.rank,
            f64::from(refused) / count,
            f64::from(while_free) / count
        )
    });
    println!(
        "{:<10} refused {}",
        "",
        refused.collect::<Vec<_>>().join(", ")
    );
}
