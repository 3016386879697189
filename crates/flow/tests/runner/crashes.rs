//! Crashes that tasks are suspected of, and the limit at which a task is given up.

use roseridge_flow::{
    CrashSuspect,
    FlowChange,
    FlowPhase,
    RunOutcome, //
};
use roseridge_model::RunKey;
use roseridge_testutils::cases;

use crate::small_site::{
    SmallSite,
    backend,
    gang,
    run,
    step,
    task, //
};

const CRASH_LIMIT: u32 = 2;
/// The limit of a suspect without proof.
const UNPROVEN_LIMIT: u32 = 5;

/// Records a crash of a backend server and announces the next incarnation, `next`, on its instance.
fn crash(site: &mut SmallSite, (incarnation, next): (usize, usize), suspects: &[RunKey]) {
    crash_with_limit(site, incarnation, suspects, CRASH_LIMIT);
    site.announce(next, incarnation);
}

fn crash_with_limit(
    site: &mut SmallSite,
    incarnation: usize,
    suspects: &[RunKey],
    crash_limit: u32,
) {
    site.apply(FlowChange::RecordCrash {
        backend: backend(incarnation),
        suspects: suspects.iter().map(|run| starting(*run)).collect(),
        crash_limit,
    });
}

fn starting(run: RunKey) -> CrashSuspect {
    CrashSuspect {
        run,
        at_start: true,
    }
}

fn is_failed(site: &SmallSite, flow: u64) -> bool {
    matches!(site.phase(flow), FlowPhase::Failed { .. })
}

/// Guards against a task that is started again after each crash, without a limit.
#[test]
fn task_at_the_limit_of_crashes_fails_its_flow() {
    let mut site = SmallSite::new(3);
    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    site.submit(1, vec![step(2)]);
    site.place(&[(first, 0), (second, 2)]);
    crash(&mut site, (0, 7), &[run(first, 1)]);
    assert_eq!(site.phase(1), FlowPhase::Open);
    assert_eq!(site.flows.crashes.crashes(first), 1);
    site.place(&[(first, 1)]);
    crash(&mut site, (1, 8), &[run(first, 2)]);
    assert!(is_failed(&site, 1));
    assert!(
        site.is_stopping(2, run(second, 1)),
        "the other runs of the flow are stopped"
    );
    assert!(site.flows.crashes.is_empty(), "its records are removed");
}

/// Guards against a crash that is counted again because its change was proposed again.
#[test]
fn crash_counts_once_for_each_run() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    for _ in 0..CRASH_LIMIT {
        site.apply(FlowChange::RecordCrash {
            backend: backend(0),
            suspects: vec![starting(run(key, 1))],
            crash_limit: CRASH_LIMIT,
        });
    }
    assert_eq!(site.flows.crashes.crashes(key), 1);
    assert_eq!(site.phase(1), FlowPhase::Open);
}

/// Guards against a gang that is given up after its first run, because that crashed a backend server for
/// each of its members.
#[test]
fn crashes_under_one_run_of_a_gang_count_once() {
    let mut site = SmallSite::new(2);
    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    site.submit(1, vec![gang(2)]);
    site.place(&[(first, 0), (second, 1)]);
    crash(&mut site, (0, 7), &[run(first, 1)]);
    crash(&mut site, (1, 8), &[run(second, 1)]);
    assert_eq!(site.flows.crashes.crashes(first), 1);
    assert_eq!(site.phase(1), FlowPhase::Open);
}

/// Guards against a task that is suspected although its run had ended before the crash.
#[test]
fn run_that_has_ended_is_not_suspected() {
    let mut site = SmallSite::new(1);
    let (done, stopped) = (task(1, 0, 0), task(1, 0, 1));
    site.submit(1, vec![step(2)]);
    site.place(&[(done, 0), (stopped, 0)]);
    site.end(0, 1, run(done, 1), RunOutcome::Done);
    site.end(0, 2, run(stopped, 1), RunOutcome::Stopped);
    crash(&mut site, (0, 7), &[run(done, 1), run(stopped, 1)]);
    assert!(site.flows.crashes.is_empty());
}

/// Guards against the crash of a lost backend server that isn't counted, because its runs are no longer on
/// record.
#[test]
fn crash_of_a_lost_backend_server_counts() {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    site.place(&[(key, 0)]);
    site.lose(0);
    crash(&mut site, (0, 7), &[run(key, 1)]);
    assert_eq!(site.flows.crashes.crashes(key), 1);
}

/// Runs the only task of a new flow once for each limit, on one instance, and crashes the backend server under
/// each run. Returns after how many crashes the flow has failed, if it has.
fn crashes_until_failure(limits: &[u32]) -> Option<usize> {
    let mut site = SmallSite::new(1);
    let key = task(1, 0, 0);
    site.submit(1, vec![step(1)]);
    let runs = (1..).map(|number| run(key, number));
    for (incarnation, (limit, run)) in limits.iter().zip(runs).enumerate() {
        site.place(&[(key, incarnation)]);
        crash_with_limit(&mut site, incarnation, &[run], *limit);
        if is_failed(&site, 1) {
            return Some(incarnation + 1);
        }
        site.announce(incarnation + 1, 0);
    }
    None
}

fn check_limits((limits, failed): (&[u32], Option<usize>)) {
    assert_eq!(crashes_until_failure(limits), failed);
}

cases! {
    check_limits:
    // A sound task was given up at its first proven crash, since crashes under runs of it that had not begun
    // counted towards the limit of a sole suspect (soak seed 3 with eight restarts).
    crash_without_proof_does_not_count_towards_the_limit_of_a_sole_suspect =
        (&[UNPROVEN_LIMIT, CRASH_LIMIT, UNPROVEN_LIMIT], None),
    sole_suspect_fails_at_its_second_proven_crash =
        (&[UNPROVEN_LIMIT, CRASH_LIMIT, CRASH_LIMIT], Some(3)),
    // A task was started without end if none of its crashes counted towards another limit.
    proven_crashes_count_towards_the_higher_limits =
        (&[CRASH_LIMIT, UNPROVEN_LIMIT, UNPROVEN_LIMIT, 3, UNPROVEN_LIMIT], Some(5)),
}
