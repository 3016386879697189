//! Crashes that tasks are suspected of, and the limit at which a task is given up.

use roseridge_flow::{
    CrashSuspect,
    FlowChange,
    FlowPhase,
    RunOutcome, //
};
use roseridge_model::RunKey;

use crate::small_site::{
    SmallSite,
    backend,
    gang,
    run,
    step,
    task, //
};

const CRASH_LIMIT: u32 = 2;

/// Records a crash of a backend server and announces the next incarnation, `next`, on its instance.
fn crash(site: &mut SmallSite, (incarnation, next): (usize, usize), suspects: &[RunKey]) {
    site.apply(FlowChange::RecordCrash {
        backend: backend(incarnation),
        suspects: suspects.iter().map(|run| starting(*run)).collect(),
        crash_limit: CRASH_LIMIT,
    });
    site.announce(next, incarnation);
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
