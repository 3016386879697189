//! Random histories: calls that are lost, carried out late or answered out of turn, lives that change and
//! leaders that move on.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use roseridge_flow::RunEnd;
use roseridge_model::{
    DurationMs,
    RunKey, //
};
use roseridge_runner::{
    RunAnswer,
    RunCall, //
    RunTable,
    RunnerTiming,
};
use roseridge_wire::{
    FlowOrders,
    RunOrder, //
};

use crate::fake_backend::{
    FakeBackend,
    instance,
    notice,
    run, //
};

const SEEDS: u64 = 60;
const STEPS: usize = 600;
const FLOWS: u64 = 5;
const LEASE_MS: u64 = 6_000;

/// What the leader has decided: each task's run, and whether it is to stop.
#[derive(Default)]
struct FakeLeader {
    runs: BTreeMap<u64, (u32, bool)>,
    last: BTreeMap<u64, u32>,
    index: u64,
    ends_seen: u64,
    /// Runs whose end was reported, or that were proved never to start.
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
            backend: Some(backend.life.clone()),
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

fn play(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let list_wait = DurationMs(500);
    let mut book = RunTable::new(instance(), RunnerTiming { list_wait });
    let mut backend = FakeBackend::new("life-1");
    let mut leader = FakeLeader::default();
    let mut late: Vec<(u64, RunCall)> = Vec::new();
    let mut answers: Vec<(u64, u64, RunCall, RunAnswer)> = Vec::new();
    let mut now_ms = 1_000;
    book.hear(notice("life-1", 1));
    for step in 0..STEPS {
        now_ms += 20;
        backend.pass(20);
        for (number, call) in book.next_calls(now_ms) {
            // An unanswered call may be carried out seconds later, after newer ones.
            let lost = random.random_bool(0.1);
            let answer = match lost {
                true => {
                    if random.random_bool(0.7) {
                        late.push((now_ms + random.random_range(50..4_000), call.clone()));
                    }
                    RunAnswer::NoAnswer
                }
                false => backend.answer(&call),
            };
            answers.push((now_ms + random.random_range(0..120), number, call, answer));
        }
        late.retain(|(at, call)| {
            if *at <= now_ms {
                backend.answer(call);
            }
            *at > now_ms
        });
        let due: Vec<_> = answers.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, number, call, answer) in due {
            book.take_answer(number, &call, answer, now_ms);
        }
        act(&mut random, &mut leader, &mut backend, step as u64);
        exchange(&mut random, &mut book, &mut leader, &backend, now_ms);
        check(&leader, &backend, seed);
    }
}

/// Lets the leader decide something, or a run end.
fn act(random: &mut SmallRng, leader: &mut FakeLeader, backend: &mut FakeBackend, step: u64) {
    let flow = random.random_range(0..FLOWS);
    match random.random_range(0..8) {
        0 | 1 if !leader.runs.contains_key(&flow) => {
            let number = leader.last.entry(flow).or_default();
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
                backend.end(*run, RunEnd::Done);
            }
        }
        _ => {}
    }
}

/// Exchanges a report for orders, at times.
fn exchange(
    random: &mut SmallRng,
    book: &mut RunTable,
    leader: &mut FakeLeader,
    backend: &FakeBackend,
    now_ms: u64,
) {
    if !random.random_bool(0.3) {
        return;
    }
    let report = book.report(DurationMs(0), now_ms);
    if let Some(report) = report.backend {
        for end in &report.ends {
            leader.ends_seen = leader.ends_seen.max(end.number);
            leader.close(end.run);
        }
        for unstarted in &report.unstarted {
            let key = unstarted.run;
            assert!(
                !backend.running.contains_key(&key),
                "{key} runs and was reported as never started"
            );
            leader.close(key);
        }
    }
    book.take_orders(leader.orders(backend));
}

fn check(leader: &FakeLeader, backend: &FakeBackend, seed: u64) {
    let repeated = backend.repeated();
    assert!(repeated.is_empty(), "seed {seed}: {repeated:?} ran twice");
    for key in backend.running.keys() {
        assert!(
            !leader.closed.contains(key),
            "seed {seed}: {key} runs after the leader was told that it is over"
        );
    }
    for tasks in backend.running.keys().map(|run| run.task) {
        let runs = backend.running.keys().filter(|run| run.task == tasks);
        assert_eq!(runs.count(), 1, "seed {seed}: {tasks} has two runs");
    }
}

#[test]
fn random_histories_run_nothing_twice_and_nothing_that_is_over() {
    (0..SEEDS).for_each(play);
}
