//! Replays the loads of both early users over many seeds and prints what is earned.
//!
//!     cargo run --release -p roseridge-dispatch --example site_replay -- [SEEDS]

#[path = "../tests/runner/replay_world.rs"]
mod replay_world;
#[path = "../tests/runner/site_loads.rs"]
mod site_loads;

use replay_world::{
    ReplayFigures,
    SiteLoad,
    Trouble,
    replay, //
};
use site_loads::{
    dispatch,
    payments, //
};

const SEEDS: u64 = 40;
/// Threads that replay at the same time.
const THREADS: u64 = 6;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(SEEDS);
    let burst = Trouble::Burst {
        rank: 0,
        times: 2.2,
        from_ms: 3_000,
        for_ms: 6_000,
    };
    let studies = Trouble::Burst {
        rank: 1,
        times: 2.0,
        from_ms: 6_000,
        for_ms: 4_000,
    };
    let cut = Trouble::Cut {
        workers: 3,
        from_ms: 5_000,
        for_ms: 6_000,
    };
    let slow = Trouble::Slow {
        workers: 2,
        times: 6,
        from_ms: 9_000,
        for_ms: 6_000,
    };
    let failing = Trouble::Failing {
        workers: 1,
        from_ms: 6_000,
        for_ms: 7_000,
    };
    let standing = Trouble::Standing {
        workers: 1,
        from_ms: 8_000,
        for_ms: 5_000,
    };
    let patterns: &[(&str, &[Trouble])] = &[
        ("calm", &[]),
        ("urgent burst", &[burst]),
        ("bursts, cut", &[burst, studies, cut]),
        ("slow workers", &[burst, slow]),
        ("failing worker", &[burst, failing]),
        ("standing worker", &[burst, standing]),
        (
            "worker leaves",
            &[
                burst,
                Trouble::Leave {
                    workers: 1,
                    at_ms: 8_000,
                },
            ],
        ),
        (
            "no leader",
            &[
                burst,
                Trouble::NoLeader {
                    from_ms: 7_000,
                    for_ms: 2_000,
                },
            ],
        ),
        ("hopeless", &[Trouble::Hopeless { rank: 1, part: 0.2 }]),
    ];
    println!(
        "{:<10} {:>5} {:<16} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>7}",
        "site",
        "load",
        "pattern",
        "worth",
        "rank 0",
        "rank 1",
        "rank 2",
        "waste",
        "stops",
        "late0",
        "large"
    );
    for (name, site) in [
        ("dispatch", dispatch as fn(f64) -> SiteLoad),
        ("payments", payments),
    ] {
        let mut total = 0.0;
        for load in [1.0, 1.4] {
            for (pattern, troubles) in patterns {
                let site = site(load);
                let runs = replay_all(&site, troubles, seeds);
                total += print_mean(name, load, pattern, &site, &runs);
            }
        }
        println!(
            "{name} mean worth {:.4}",
            total / (patterns.len() * 2) as f64
        );
    }
}

/// Replays on a few threads.
fn replay_all(site: &SiteLoad, troubles: &[Trouble], seeds: u64) -> Vec<ReplayFigures> {
    let parts: Vec<_> = (0..THREADS)
        .map(|part| (0..seeds).filter(move |seed| seed % THREADS == part))
        .collect();
    std::thread::scope(|scope| {
        let running: Vec<_> = parts
            .into_iter()
            .map(|part| {
                scope.spawn(move || {
                    part.map(|seed| replay(site, troubles, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let done = running.into_iter().map(|run| run.join());
        done.flat_map(|runs| runs.expect("a replay ends")).collect()
    })
}

fn print_mean(
    name: &str,
    load: f64,
    pattern: &str,
    site: &SiteLoad,
    runs: &[ReplayFigures],
) -> f64 {
    let mean =
        |of: &dyn Fn(&ReplayFigures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let waste = mean(&|run| run.waste(site.waste_price));
    let worth = mean(&ReplayFigures::part) - waste;
    let served = |of: &dyn Fn(&ReplayFigures) -> (u32, u32)| {
        let sums = runs
            .iter()
            .map(of)
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        f64::from(sums.1) / f64::from(sums.0.max(1))
    };
    let large = served(&|run| {
        run.large
            .values()
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    });
    println!(
        "{name:<10} {load:>5.2} {pattern:<16} {worth:>6.3} {:>6.3} {:>6.3} {:>6.3} {waste:>6.3} {:>7.1} {:>6.2} {large:>7.2}",
        mean(&|run| run.rank_part(0)),
        mean(&|run| run.rank_part(1)),
        mean(&|run| run.rank_part(2)),
        mean(&|run| run.stops as f64),
        mean(&|run| run.late_reclaims as f64),
    );
    worth
}
