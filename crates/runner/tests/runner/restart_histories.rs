//! Random histories of a backend server that restarts under its name while starts are carried out late.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use proptest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use roseridge_model::{
    BackendId,
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

const STEPS: u64 = 1_500;
const STEP_MS: u64 = 20;
const FLOWS: u64 = 4;
const LEASE_MS: u64 = 6_000;
/// The maximum time after which a lost start is carried out, in milliseconds.
const MAX_LATE_MS: u64 = 12_000;

/// The leader's view: the runs that it ordered, and all runs that were ordered on each incarnation.
#[derive(Default)]
struct RestartLeader {
    current: Option<BackendId>,
    ordered: BTreeMap<u64, u32>,
    last_runs: BTreeMap<u64, u32>,
    index: u64,
    /// The runs that were ever ordered on the current incarnation.
    allowed: BTreeSet<RunKey>,
}

/// Plays one history and checks that no run of an earlier incarnation runs on one that is reported.
fn play_history(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let list_wait = DurationMs(500);
    let mut table = RunTable::new(instance(), RunnerTiming { list_wait });
    let mut backend = FakeBackend::new("i-1@1000");
    let mut leader = RestartLeader::default();
    let mut late: Vec<(u64, RunCall)> = Vec::new();
    let mut answers: Vec<(u64, u64, RunCall, RunAnswer)> = Vec::new();
    let mut now_ms = 1_000;
    for step in 0..STEPS {
        now_ms += STEP_MS;
        backend.advance(STEP_MS);
        if random.random_bool(0.003) {
            // The clock may have been stepped back.
            let start_ms: u64 = random.random_range(1..1_000_000);
            backend = FakeBackend::new(&format!("i-1@{start_ms}"));
        }
        if step % 50 == 0 {
            table.apply_status_report(status_report(backend.incarnation.as_str(), step + 1));
        }
        for (number, call) in table.next_calls(now_ms) {
            let answer = match random.random_bool(0.15) {
                true => {
                    if matches!(call, RunCall::Start { .. }) {
                        late.push((now_ms + random.random_range(50..MAX_LATE_MS), call.clone()));
                    }
                    RunAnswer::NoAnswer
                }
                false => backend.answer(&call),
            };
            answers.push((now_ms + random.random_range(0..150), number, call, answer));
        }
        for (_, call) in late.extract_if(.., |(due_ms, _)| *due_ms <= now_ms) {
            backend.answer(&call);
        }
        for (_, number, call, answer) in answers.extract_if(.., |(due_ms, ..)| *due_ms <= now_ms) {
            table.apply_answer(number, &call, answer, now_ms);
        }
        exchange(&mut random, (&mut table, &mut leader), &backend, now_ms);
        if leader.current.as_ref() == Some(&backend.incarnation) {
            for key in backend.running.keys() {
                assert!(
                    leader.allowed.contains(key),
                    "seed {seed}, step {step}: {key} runs on {} without an order for it",
                    backend.incarnation
                );
            }
        }
    }
}

/// Reports to the leader, which orders or withdraws runs.
fn exchange(
    random: &mut SmallRng,
    (table, leader): (&mut RunTable, &mut RestartLeader),
    backend: &FakeBackend,
    now_ms: u64,
) {
    if !random.random_bool(0.3) {
        return;
    }
    let report = table.report(DurationMs(0), now_ms);
    let Some(report) = report.backend else {
        return;
    };
    if leader.current.as_ref() != Some(&report.backend) {
        // The earlier incarnation has ended; its tasks wait again.
        leader.current = Some(report.backend.clone());
        leader.ordered.clear();
        leader.allowed.clear();
    }
    leader.index += 1;
    let flow = random.random_range(0..FLOWS);
    match leader.ordered.contains_key(&flow) {
        true if random.random_bool(0.2) => {
            leader.ordered.remove(&flow);
        }
        true => {}
        false => {
            let number = leader.last_runs.entry(flow).or_default();
            *number += 1;
            leader.ordered.insert(flow, *number);
            leader.allowed.insert(run(flow, *number));
        }
    }
    let runs = leader.ordered.iter().map(|(flow, number)| RunOrder {
        run: run(*flow, *number),
        stop: false,
        saved: String::new(),
    });
    table.apply_orders(FlowOrders {
        backend: leader.current.clone(),
        fence: 1,
        index: leader.index,
        runs: Some(runs.collect()),
        texts: (0..FLOWS)
            .map(|flow| (run(flow, 1).task.flow, "text".to_owned()))
            .collect(),
        lease_until_ms: Some(backend.clock_ms + LEASE_MS),
        ..FlowOrders::default()
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7_105),
        ..ProptestConfig::default()
    })]

    /// Guards against a run of an earlier incarnation that runs on a later one under the same name
    /// after the leader has placed its task again.
    #[test]
    fn no_run_of_an_earlier_incarnation_runs_on_a_reported_one(seed in any::<u64>()) {
        play_history(seed);
    }
}
