//! The users' load patterns, replayed on a virtual clock with fixed seeds.
//!
//! The bounds are the users': urgent flows within their customer's guarantee always begin in time, the
//! largest tenth of a class is served at least half as often as the class, and on days with trouble
//! every class earns at least 0.41 of what it is owed, on calm ones 0.48.

use roseridge_testutils::cases;

use crate::{
    replay_world::{
        ReplayFigures,
        SiteLoad,
        Trouble,
        replay, //
    },
    site_loads::{
        dispatch,
        payments, //
    },
};

const SEEDS: u64 = 4;
/// What every class earns at least on a calm day, and on one with trouble.
const CALM_FLOOR: f64 = 0.48;
const TROUBLED_FLOOR: f64 = 0.41;

/// A load pattern: what happens beside the usual load, and what every class earns at least.
struct LoadPattern {
    troubles: &'static [Trouble],
    floor: f64,
}

const URGENT_BURST: Trouble = Trouble::Burst {
    rank: 0,
    times: 2.2,
    from_ms: 3_000,
    for_ms: 6_000,
};
const STUDY_BURST: Trouble = Trouble::Burst {
    rank: 1,
    times: 2.4,
    from_ms: 6_000,
    for_ms: 4_000,
};

fn check(pattern: LoadPattern) {
    for (name, site) in [("dispatch", dispatch(1.2)), ("payments", payments(1.2))] {
        let runs = replay_all(&site, pattern.troubles);
        let late: usize = runs.iter().map(|run| run.late_reclaims).sum();
        assert_eq!(
            late, 0,
            "{name}: urgent flows within their guarantee begin late"
        );
        for rank in 0..3 {
            let part = mean(&runs, |run| run.rank_part(rank));
            assert!(part >= pattern.floor, "{name}: rank {rank} earns {part:.3}");
            let (all, large) = served(&runs, rank);
            assert!(
                large >= all / 2.0,
                "{name}: of rank {rank} {all:.2} are served, of its largest {large:.2}"
            );
        }
    }
}

fn replay_all(site: &SiteLoad, troubles: &[Trouble]) -> Vec<ReplayFigures> {
    (0..SEEDS)
        .map(|seed| replay(site, troubles, seed))
        .collect()
}

fn mean(runs: &[ReplayFigures], of: impl Fn(&ReplayFigures) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

/// Returns the served part of a rank's flows, and of its largest tenth.
fn served(runs: &[ReplayFigures], rank: u32) -> (f64, f64) {
    let part = |counts: Vec<(u32, u32)>| {
        let asked: u32 = counts.iter().map(|(asked, _)| asked).sum();
        let served: u32 = counts.iter().map(|(_, served)| served).sum();
        match asked {
            0 => 1.0,
            asked => f64::from(served) / f64::from(asked),
        }
    };
    let all = runs.iter().filter_map(|run| run.flows.get(&rank).copied());
    let large = runs.iter().filter_map(|run| run.large.get(&rank).copied());
    (part(all.collect()), part(large.collect()))
}

cases! {
    check:
    calm_day = LoadPattern { troubles: &[], floor: CALM_FLOOR },
    burst_of_urgent_gangs = LoadPattern { troubles: &[URGENT_BURST], floor: TROUBLED_FLOOR },
    burst_of_large_jobs = LoadPattern {
        troubles: &[URGENT_BURST, STUDY_BURST],
        floor: TROUBLED_FLOOR,
    },
    many_hopeless_jobs = LoadPattern {
        troubles: &[Trouble::Hopeless { rank: 1, part: 0.2 }],
        floor: TROUBLED_FLOOR,
    },
    worker_that_fails_all_it_starts = LoadPattern {
        troubles: &[
            URGENT_BURST,
            Trouble::Failing { workers: 1, from_ms: 6_000, for_ms: 7_000 },
        ],
        floor: TROUBLED_FLOOR,
    },
    tasks_that_stand_still = LoadPattern {
        troubles: &[
            URGENT_BURST,
            Trouble::Standing { workers: 1, from_ms: 8_000, for_ms: 5_500 },
        ],
        floor: TROUBLED_FLOOR,
    },
    slow_workers = LoadPattern {
        troubles: &[
            URGENT_BURST,
            Trouble::Slow { workers: 2, times: 6, from_ms: 9_000, for_ms: 6_000 },
        ],
        floor: TROUBLED_FLOOR,
    },
    workers_cut_off = LoadPattern {
        troubles: &[
            URGENT_BURST,
            Trouble::Cut { workers: 3, from_ms: 5_000, for_ms: 6_000 },
        ],
        floor: TROUBLED_FLOOR,
    },
    workers_leave = LoadPattern {
        troubles: &[URGENT_BURST, Trouble::Leave { workers: 2, at_ms: 8_000 }],
        floor: TROUBLED_FLOOR,
    },
    leader_lost_in_the_burst = LoadPattern {
        troubles: &[
            URGENT_BURST,
            Trouble::NoLeader { from_ms: 6_000, for_ms: 1_500 },
        ],
        floor: TROUBLED_FLOOR,
    },
}

#[test]
fn replay_gives_the_same_figures_every_time() {
    let site = payments(1.0);
    let runs = [0, 1].map(|_| replay(&site, &[URGENT_BURST], 3));
    assert_eq!(runs[0].earned.to_bits(), runs[1].earned.to_bits());
    assert_eq!(runs[0].stops, runs[1].stops);
    assert!(runs[0].part() > 0.0 && runs[0].waste(site.waste_price) >= 0.0);
}
