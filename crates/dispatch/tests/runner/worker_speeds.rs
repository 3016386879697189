//! Tests of the learned speeds of backend servers and of their use.

use roseridge_dispatch::SpeedReport;
use roseridge_flow::RunOutcome;
use roseridge_model::StepSpec;
use roseridge_testutils::cases;

use crate::{
    site_loads::{
        caroni,
        llpcs, //
    },
    site_simulation::{
        Fault,
        replay, //
    },
    small_site::{
        SmallSite,
        gang,
        step, //
    },
};

/// The number of workers; the first [`SLOW_WORKERS`] take twice as long.
const WORKERS: usize = 8;
const SLOW_WORKERS: usize = 2;
const FAST_MS: u64 = 4_000;

/// Runs a step of one task on every worker, `rounds` times. The tasks take `took` of the number of their
/// worker and of the round.
fn run_steps(site: &mut SmallSite, first: u64, rounds: u64, took: impl Fn(usize, u64) -> u64) {
    for flow in first..first + rounds {
        let count = WORKERS as u16;
        site.submit(flow, 2, 0, vec![step(count, 8)]);
        site.decide();
        let mut ends: Vec<_> = (0..count)
            .map(|index| {
                let place = site.place_of(flow, index).expect("every task is placed");
                (took(place, flow - first), index)
            })
            .collect();
        ends.sort_unstable();
        let mut now_ms = 0;
        for (end_ms, index) in ends {
            site.advance_clock(end_ms - now_ms);
            now_ms = end_ms;
            site.end_run(flow, index, RunOutcome::Done);
        }
    }
}

/// Returns the time of a task: a few percent of variation, and twice the time on the slow workers.
fn uneven_ms(worker: usize, round: u64) -> u64 {
    let variation = (worker as u64 * 7 + round * 3) % 5 * 40;
    match worker < SLOW_WORKERS {
        true => 2 * (FAST_MS + variation),
        false => FAST_MS + variation,
    }
}

fn uneven_site() -> SmallSite {
    let mut site = SmallSite::new(&[WORKERS / 2, WORKERS / 2]);
    run_steps(&mut site, 1, 5, uneven_ms);
    site
}

fn slow_workers(site: &SmallSite) -> Vec<usize> {
    let speeds = site.speeds().into_iter();
    speeds
        .filter(|(_, speed)| *speed < 0.75)
        .map(|(worker, _)| worker)
        .collect()
}

// Guards against speeds that are not learned, or learned for the wrong workers.
#[test]
fn slow_workers_are_known() {
    let site = uneven_site();
    assert_eq!(slow_workers(&site), [0, 1]);
    assert!(site.speeds()[&0] > 0.4, "twice the time is half the speed");
}

// Guards against a single run that takes seven times as long and makes its worker slow.
#[test]
fn one_long_run_changes_nothing() {
    let mut site = SmallSite::new(&[WORKERS / 2, WORKERS / 2]);
    run_steps(&mut site, 1, 5, |worker, round| match (worker, round) {
        (3, 2) => 7 * FAST_MS,
        _ => FAST_MS + (worker as u64 * 7 + round * 3) % 5 * 40,
    });
    assert!(site.speeds().is_empty());
}

// Guards against speeds of long ago that still count.
#[test]
fn stale_speeds_are_forgotten() {
    let mut site = uneven_site();
    site.advance_clock(600_000);
    assert!(slow_workers(&site).is_empty());
}

// Guards against a new incarnation that inherits the speed of the one before.
#[test]
fn new_incarnation_starts_at_the_usual_speed() {
    let mut site = uneven_site();
    site.leave(0);
    site.announce(WORKERS, 0);
    assert_eq!(slow_workers(&site), [1]);
}

// Guards against a new leader, which has no progress readings, that knows less than the results show.
#[test]
fn new_leader_learns_from_the_results() {
    let mut site = uneven_site();
    let before = site.speeds();
    site.submit(50, 2, 0, vec![step(WORKERS as u16, 8)]);
    site.decide();
    site.report_progress(50, &[(1_000, 10), (500, 20), (0, 30)]);
    site.forget_progress();
    assert_eq!(site.speeds(), before);
    assert_eq!(slow_workers(&site), [0, 1]);
}

// Guards against operators who don't learn of slow backend servers, or who are flooded with reports.
#[test]
fn slow_workers_are_reported_once() {
    let mut site = uneven_site();
    let mut report = SpeedReport::default();
    let summary = site
        .report_speeds(&mut report)
        .expect("two workers are slow");
    assert_eq!((summary.count, summary.slowest.len()), (2, 2));
    for _ in 0..20 {
        site.advance_clock(1_000);
        assert_eq!(site.report_speeds(&mut report), None);
    }
    site.leave(0);
    site.advance_clock(10_000);
    let summary = site
        .report_speeds(&mut report)
        .expect("the number has changed");
    assert_eq!(summary.count, 1);
}

/// A unit on an otherwise idle site, and the workers that it has to use.
struct PreferredPlaces {
    rank: u32,
    step: StepSpec,
    allowed: fn(usize) -> bool,
}

fn check_places(case: PreferredPlaces) {
    let mut site = uneven_site();
    site.submit(100, case.rank, 1, vec![case.step]);
    site.decide();
    let places = site.places(100);
    assert!(!places.is_empty() && places.iter().all(|place| (case.allowed)(*place)));
}

fn is_slow(worker: usize) -> bool {
    worker < SLOW_WORKERS
}

fn is_fast(worker: usize) -> bool {
    !is_slow(worker)
}

// Guards against urgent gangs with a slow member, and against small work on the workers that these need.
cases! {
    check_places:
    urgent_gang_uses_fast_workers = PreferredPlaces {
        rank: 0,
        step: StepSpec { one_rack: false, ..gang(3, 8) },
        allowed: is_fast,
    },
    rack_is_chosen_by_its_slowest_worker = PreferredPlaces {
        rank: 0,
        step: gang(3, 8),
        allowed: |worker| worker >= WORKERS / 2,
    },
    waiting_work_uses_slow_workers = PreferredPlaces { rank: 2, step: step(2, 8), allowed: is_slow },
    waiting_gang_is_not_mixed = PreferredPlaces {
        rank: 1,
        step: StepSpec { one_rack: false, ..gang(3, 8) },
        allowed: is_fast,
    },
}

// Guards against noise in the run times of even workers that changes a decision: with no known speed,
// every worker has the same speed and the same class.
#[test]
fn even_installation_knows_no_speeds() {
    let burst = Fault::Burst {
        rank: 0,
        factor: 2.2,
        start_ms: 3_000,
        duration_ms: 6_000,
    };
    for seed in 0..2 {
        let run = replay(&llpcs(1.6), &[burst], seed);
        assert_eq!(run.uneven_passes, 0, "seed {seed}");
    }
}

/// The minimum mean share of the value of rank zero that caroni earns: 0.51 with speeds, 0.42 without.
const MIN_URGENT_SHARE: f64 = 0.46;

// Guards against urgent gangs that are late because of slow members.
#[test]
fn uneven_installation_is_served_better() {
    let shares = (0..4).map(|seed| replay(&caroni(1.0), &[], seed).rank_earned_share(0));
    let mean = shares.sum::<f64>() / 4.0;
    assert!(mean >= MIN_URGENT_SHARE, "rank 0 earns {mean:.3}");
}
