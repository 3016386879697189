//! Random histories of a run table: calls that are lost, carried out late or answered out of order,
//! runs that end, and a leader that starts and stops runs.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use roseridge_flow::RunOutcome;
use roseridge_model::{
    DurationMs,
    RunKey, //
};
use roseridge_runner::{
    RunAnswer,
    RunCall,
    RunTable,
    RunnerTiming, //
};
use roseridge_wire::{
    FlowOrders,
    RunOrder, //
};

use crate::fake_backend::{
    FakeBackend,
    instance,
    run,
    status_report, //
};

const SEEDS: u64 = 60;
const STEPS: usize = 600;
const FLOWS: u64 = 5;
const LEASE_MS: u64 = 6_000;

/// The leader's decisions.
#[derive(Default)]
struct FakeLeader {
    /// The current run of each flow's task, and whether it is to stop.
    runs: BTreeMap<u64, (u32, bool)>,
    /// The number of the last run of each flow's task.
    last_runs: BTreeMap<u64, u32>,
    index: u64,
    ends_seen: u64,
    /// Runs that were reported as completed or as unstarted.
    closed: BTreeSet<RunKey>,
}

impl FakeLeader {
    fn orders(&self, backend: &FakeBackend) -> FlowOrders {
        let runs = self.runs.iter().map(|(flow, (number, stop))| RunOrder {
            run: run(*flow, *number),
            stop: *stop,
            saved: String::new(),
        });
        FlowOrders {
            backend: Some(backend.incarnation.clone()),
            fence: 1,
            index: self.index,
            runs: Some(runs.collect()),
            texts: self
                .runs
                .keys()
                .map(|flow| (run(*flow, 1).task.flow, "text".to_owned()))
                .collect(),
            lease_until_ms: Some(backend.clock_ms + LEASE_MS),
            ends_seen: self.ends_seen,
            ..FlowOrders::default()
        }
    }

    fn close(&mut self, key: RunKey) {
        self.closed.insert(key);
        let flow = key.task.flow.0;
        if self
            .runs
            .get(&flow)
            .is_some_and(|(number, _)| *number == key.run)
        {
            self.runs.remove(&flow);
            self.index += 1;
        }
    }
}

/// Runs one random history.
fn run_history(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let list_wait = DurationMs(500);
    let mut table = RunTable::new(instance(), RunnerTiming { list_wait });
    let mut backend = FakeBackend::new("incarnation-1");
    let mut leader = FakeLeader::default();
    // Lost calls that are carried out later, with the time at which each is.
    let mut delayed: Vec<(u64, RunCall)> = Vec::new();
    // Answers with the time at which each reaches the table.
    let mut answers: Vec<(u64, u64, RunCall, RunAnswer)> = Vec::new();
    let mut now_ms = 1_000;
    table.apply_status_report(status_report("incarnation-1", 1));
    for step in 0..STEPS {
        now_ms += 20;
        backend.advance(20);
        for (number, call) in table.next_calls(now_ms) {
            // A call without an answer may be carried out seconds later, after newer calls.
            let is_lost = random.random_bool(0.1);
            let answer = match is_lost {
                true => {
                    if random.random_bool(0.7) {
                        delayed.push((now_ms + random.random_range(50..4_000), call.clone()));
                    }
                    RunAnswer::NoAnswer
                }
                false => backend.answer(&call),
            };
            answers.push((now_ms + random.random_range(0..120), number, call, answer));
        }
        delayed.retain(|(due_ms, call)| {
            if *due_ms <= now_ms {
                backend.answer(call);
            }
            *due_ms > now_ms
        });
        let due_answers: Vec<_> = answers
            .extract_if(.., |(due_ms, ..)| *due_ms <= now_ms)
            .collect();
        for (_, number, call, answer) in due_answers {
            table.apply_answer(number, &call, answer, now_ms);
        }
        apply_random_event(&mut random, &mut leader, &mut backend, step as u64);
        exchange(&mut random, &mut table, &mut leader, &backend, now_ms);
        check_invariants(&leader, &backend, seed);
    }
}

/// Applies one random event: a decision of the leader or the end of a run.
fn apply_random_event(
    random: &mut SmallRng,
    leader: &mut FakeLeader,
    backend: &mut FakeBackend,
    step: u64,
) {
    let flow = random.random_range(0..FLOWS);
    match random.random_range(0..8) {
        0 | 1 if !leader.runs.contains_key(&flow) => {
            let number = leader.last_runs.entry(flow).or_default();
            *number += 1;
            leader.runs.insert(flow, (*number, false));
            leader.index += 1;
        }
        2 => {
            if let Some((_, stop)) = leader.runs.get_mut(&flow) {
                *stop = true;
                leader.index += 1;
            }
        }
        3 => {
            let running: Vec<_> = backend.running.keys().copied().collect();
            if let Some(run) = running.get(step as usize % running.len().max(1)) {
                backend.end(*run, RunOutcome::Done);
            }
        }
        _ => {}
    }
}

/// Exchanges a report for orders, with a probability of 0.3 per step.
fn exchange(
    random: &mut SmallRng,
    table: &mut RunTable,
    leader: &mut FakeLeader,
    backend: &FakeBackend,
    now_ms: u64,
) {
    if !random.random_bool(0.3) {
        return;
    }
    let report = table.report(DurationMs(0), now_ms);
    if let Some(report) = report.backend {
        for end in &report.ends {
            leader.ends_seen = leader.ends_seen.max(end.number);
            leader.close(end.run);
        }
        for unstarted in &report.unstarted {
            let key = unstarted.run;
            assert!(
                !backend.running.contains_key(&key),
                "{key} runs but was reported as unstarted"
            );
            leader.close(key);
        }
    }
    table.apply_orders(leader.orders(backend));
}

/// Checks that no run started twice, that no reported completion or unstarted run is running, and that
/// no task has two runs.
fn check_invariants(leader: &FakeLeader, backend: &FakeBackend, seed: u64) {
    let repeated_starts = backend.repeated_starts();
    assert!(
        repeated_starts.is_empty(),
        "seed {seed}: {repeated_starts:?} started twice"
    );
    for key in backend.running.keys() {
        assert!(
            !leader.closed.contains(key),
            "seed {seed}: {key} runs after it was reported as completed or unstarted"
        );
    }
    for task in backend.running.keys().map(|run| run.task) {
        let runs = backend.running.keys().filter(|run| run.task == task);
        assert_eq!(runs.count(), 1, "seed {seed}: {task} has more than one run");
    }
}

#[test]
fn random_histories_start_no_run_twice_and_run_nothing_completed() {
    (0..SEEDS).for_each(run_history);
}
