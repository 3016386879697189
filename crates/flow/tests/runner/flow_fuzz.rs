//! Random histories of changes, with a check of the invariants after every step.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    },
};
use roseridge_flow::{
    CrashSuspect,
    FlowChange,
    FlowPhase,
    FlowState,
    PlacementOrder,
    RunCompletion,
    RunOutcome,
    StopCause,
    StopOrder,
    TaskPhase,
    UnstartedRun, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    FlowId,
    RunKey,
    StepSpec,
    TaskKey,
    TaskShape,
    UnixMillis, //
};

use crate::small_site::{
    ATTEMPT_LIMIT,
    backend,
    config,
    gang,
    profile,
    step,
    submission,
    task, //
};

const CASES: u32 = 400;
/// The number of crashes at which a task is given up.
const CRASH_LIMIT: u32 = 3;
const FLOWS: u64 = 4;
const INCARNATIONS: usize = 5;
const INSTANCES: usize = 3;
const SEED: [u8; 32] = [17; 32];

/// One step of a history; an index is taken modulo the number of existing items.
#[derive(Debug, Clone)]
enum HistoryStep {
    Submit(u64),
    Cancel(u64),
    /// Announces an incarnation on an instance.
    Announce(usize, usize),
    Drain(usize),
    Leave(usize),
    Lose(usize),
    /// Places the tasks of a step on consecutive incarnations, beginning with the given one.
    Place(u64, u16, usize),
    Stop(usize),
    /// Ends a run with an outcome, with or without a checkpoint.
    End(usize, u8, bool),
    Unstarted(usize),
    /// Reports all ends of an incarnation again.
    ResendEnds(usize),
    Advance(u64),
    /// Ends an incarnation by a crash of which all its runs are suspected.
    Crash(usize),
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        2 => (0..FLOWS).prop_map(HistoryStep::Submit),
        1 => (0..FLOWS).prop_map(HistoryStep::Cancel),
        2 => (0..INCARNATIONS, 0..INSTANCES)
            .prop_map(|(incarnation, instance)| HistoryStep::Announce(incarnation, instance)),
        1 => (0..INCARNATIONS).prop_map(HistoryStep::Drain),
        1 => (0..INCARNATIONS).prop_map(HistoryStep::Leave),
        1 => (0..INCARNATIONS).prop_map(HistoryStep::Lose),
        8 => (0..FLOWS, 0..2u16, 0..INCARNATIONS)
            .prop_map(|(flow, step, first)| HistoryStep::Place(flow, step, first)),
        2 => (0..64usize).prop_map(HistoryStep::Stop),
        6 => (0..64usize, 0..6u8, any::<bool>())
            .prop_map(|(run, end, saves)| HistoryStep::End(run, end, saves)),
        1 => (0..64usize).prop_map(HistoryStep::Unstarted),
        1 => (0..INCARNATIONS).prop_map(HistoryStep::ResendEnds),
        1 => (0..5_000u64).prop_map(HistoryStep::Advance),
        1 => (0..INCARNATIONS).prop_map(HistoryStep::Crash),
    ]
}

/// The state under test, with the facts that the checks compare it with.
struct FuzzedSite {
    flows: FlowState,
    index: u64,
    now: UnixMillis,
    /// The ends that each incarnation has listed.
    ends: BTreeMap<BackendId, Vec<RunCompletion>>,
    /// The number of reported failed runs of each task.
    failed: BTreeMap<TaskKey, u32>,
    /// The tasks of which a run was reported as done.
    done: BTreeMap<TaskKey, bool>,
}

impl FuzzedSite {
    fn new() -> Self {
        let mut site = Self {
            flows: FlowState::default(),
            index: 0,
            now: UnixMillis(1),
            ends: BTreeMap::new(),
            failed: BTreeMap::new(),
            done: BTreeMap::new(),
        };
        site.apply(FlowChange::Configure(config(1)));
        site
    }

    fn apply(&mut self, change: FlowChange) {
        self.index += 1;
        self.flows.apply(self.index, self.now, change);
    }

    /// Returns the runs that use resources, each with its incarnation.
    fn placed_runs(&self) -> Vec<(BackendId, RunKey)> {
        let backends = self.flows.backends.iter();
        let runs = backends.flat_map(|(id, b)| b.runs.keys().map(|run| (id.clone(), *run)));
        runs.collect()
    }

    fn apply_step(&mut self, step: &HistoryStep) {
        match step {
            HistoryStep::Submit(flow) => self.apply(submission(*flow, steps(*flow))),
            HistoryStep::Cancel(flow) => self.apply(FlowChange::Cancel {
                flow: FlowId(*flow),
            }),
            HistoryStep::Announce(incarnation, instance) => self.apply(FlowChange::Announce {
                backend: backend(*incarnation),
                profile: profile(*instance),
            }),
            HistoryStep::Drain(incarnation) => self.apply(FlowChange::Drain {
                backend: backend(*incarnation),
                remaining: DurationMs(1_000),
            }),
            HistoryStep::Crash(incarnation) => self.crash(backend(*incarnation)),
            HistoryStep::Leave(incarnation) => self.apply(FlowChange::Leave {
                backend: backend(*incarnation),
            }),
            HistoryStep::Lose(incarnation) => self.apply(FlowChange::Lose {
                backend: backend(*incarnation),
                saved: Vec::new(),
            }),
            HistoryStep::Place(flow, step, incarnation) => self.place(*flow, *step, *incarnation),
            HistoryStep::Stop(index) => {
                if let Some((_, run)) = pick(&self.placed_runs(), *index) {
                    let stops = vec![StopOrder {
                        run,
                        cause: StopCause::Displaced,
                    }];
                    let places = Vec::new();
                    self.apply(FlowChange::Decide { stops, places });
                }
            }
            HistoryStep::End(index, end_index, has_checkpoint) => {
                if let Some((incarnation, run)) = pick(&self.placed_runs(), *index) {
                    self.end(incarnation, run, *end_index, *has_checkpoint);
                }
            }
            HistoryStep::Unstarted(index) => {
                if let Some((backend, run)) = pick(&self.placed_runs(), *index) {
                    let reason = "fuzz".to_owned();
                    self.apply(FlowChange::Report {
                        backend,
                        ends: Vec::new(),
                        unstarted: vec![UnstartedRun { run, reason }],
                    });
                }
            }
            HistoryStep::ResendEnds(incarnation) => {
                let ends = self
                    .ends
                    .get(&backend(*incarnation))
                    .cloned()
                    .unwrap_or_default();
                self.apply(FlowChange::Report {
                    backend: backend(*incarnation),
                    ends,
                    unstarted: Vec::new(),
                });
            }
            HistoryStep::Advance(span_ms) => self.now = self.now.plus(DurationMs(*span_ms)),
        }
    }

    fn place(&mut self, flow: u64, step: u16, incarnation: usize) {
        let count = steps(flow).get(usize::from(step)).map_or(0, |s| s.count);
        let tasks = (0..count).map(|index| {
            let number = (incarnation + usize::from(index)) % INCARNATIONS;
            (task(flow, step, index), backend(number))
        });
        let places = vec![PlacementOrder {
            tasks: tasks.collect(),
        }];
        let stops = Vec::new();
        self.apply(FlowChange::Decide { stops, places });
    }

    fn end(&mut self, incarnation: BackendId, run: RunKey, end_index: u8, has_checkpoint: bool) {
        let end = [
            RunOutcome::Done,
            RunOutcome::Failed,
            RunOutcome::Stopped,
            RunOutcome::Lapsed,
            RunOutcome::Broken,
            RunOutcome::Alone,
        ][usize::from(end_index)];
        let listed = self.ends.entry(incarnation.clone()).or_default();
        let record = RunCompletion {
            number: listed.len() as u64 + 1,
            run,
            end,
            saved: if has_checkpoint {
                format!("{}", self.index)
            } else {
                String::new()
            },
        };
        listed.push(record.clone());
        match end {
            RunOutcome::Failed => *self.failed.entry(run.task).or_default() += 1,
            RunOutcome::Done => {
                self.done.insert(run.task, true);
            }
            _ => {}
        }
        self.apply(FlowChange::Report {
            backend: incarnation,
            ends: vec![record],
            unstarted: Vec::new(),
        });
    }

    fn crash(&mut self, backend: BackendId) {
        let record = self.flows.backends.get(&backend);
        let suspects = record.into_iter().flat_map(|record| record.runs.keys());
        let suspects = suspects.map(|run| CrashSuspect {
            run: *run,
            at_start: run.run % 2 == 0,
        });
        let suspects = suspects.collect();
        self.apply(FlowChange::RecordCrash {
            backend: backend.clone(),
            suspects,
            crash_limit: CRASH_LIMIT,
        });
        self.apply(FlowChange::Leave { backend });
    }

    /// Checks the invariants, which hold after every step.
    fn check(&self) {
        for unit in self.flows.crashes.suspected() {
            let crashes = self.flows.crashes.crashes(unit);
            assert!(
                crashes < CRASH_LIMIT,
                "{unit} is open after {crashes} crashes"
            );
            let phase = self.flows.flows.get(&unit.flow).map(|flow| &flow.phase);
            assert_eq!(phase, Some(&FlowPhase::Open), "{unit} is suspected");
        }
        let mut holders = BTreeMap::<TaskKey, usize>::new();
        for (id, record) in &self.flows.backends {
            let shapes = record.runs.values().map(|run| run.shape);
            let used = shapes.fold(TaskShape::default(), |sum, shape| sum.plus(&shape));
            assert!(
                record.profile.shape.can_hold(&used),
                "{id} is overcommitted with {used:?}"
            );
            assert!(
                record.has_lease() || record.runs.is_empty(),
                "{id} has runs without a lease"
            );
            for run in record.runs.keys() {
                *holders.entry(run.task).or_default() += 1;
            }
        }
        for (key, count) in &holders {
            assert!(*count == 1, "{key} has {count} runs at the same time");
        }
        for (flow, record) in &self.flows.flows {
            let Some(round) = record.rounds.first() else {
                // Only a flow that has ended before its first placement has no tasks.
                assert!(record.phase != FlowPhase::Open, "{flow} has no tasks");
                assert!(
                    holders.keys().all(|task| task.flow != *flow),
                    "{flow} has runs and no tasks"
                );
                continue;
            };
            for (step, (spec, step_record)) in (0..).zip(record.spec.steps.iter().zip(&round.steps))
            {
                let placed = step_record.tasks.iter().filter(|t| is_placed(&t.phase));
                let numbers: Vec<_> = placed.map(|t| t.last_run).collect();
                if spec.gang && record.phase == FlowPhase::Open {
                    let equal = numbers.windows(2).all(|pair| pair[0] == pair[1]);
                    assert!(equal, "members of {flow} are in different runs {numbers:?}");
                }
                for (index, task) in (0..).zip(&step_record.tasks) {
                    let key = TaskKey {
                        flow: *flow,
                        round: 0,
                        step,
                        index,
                    };
                    self.check_task(key, &task.phase, spec);
                }
            }
        }
    }

    fn check_task(&self, key: TaskKey, phase: &TaskPhase, spec: &StepSpec) {
        if let TaskPhase::Placed { run, backend, .. } = phase {
            let backend_runs = &self.flows.backends[backend].runs;
            let run = RunKey {
                task: key,
                run: *run,
            };
            assert!(
                backend_runs.contains_key(&run),
                "{run} is placed and uses no resources"
            );
            if !spec.gang {
                let failed = self.failed.get(&key).copied().unwrap_or(0);
                assert!(failed < ATTEMPT_LIMIT, "{key} runs after {failed} failures");
                assert!(
                    !self.done.contains_key(&key),
                    "{key} runs after it was done"
                );
            }
        }
    }
}

fn is_placed(phase: &TaskPhase) -> bool {
    matches!(phase, TaskPhase::Placed { .. })
}

fn pick<T: Clone>(list: &[T], index: usize) -> Option<T> {
    (!list.is_empty()).then(|| list[index % list.len()].clone())
}

fn steps(flow: u64) -> Vec<StepSpec> {
    match flow % 3 {
        0 => vec![step(3)],
        1 => vec![gang(3)],
        _ => vec![
            step(2),
            StepSpec {
                after: vec![0],
                ..gang(2)
            },
        ],
    }
}

#[test]
fn random_histories_keep_the_invariants() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    let histories = proptest::collection::vec(history_step(), 1..120);
    runner
        .run(&histories, |history| {
            let mut site = FuzzedSite::new();
            for step in &history {
                site.apply_step(step);
                site.check();
            }
            // A replica that restores the state from a snapshot has the same state.
            let bytes = postcard::to_stdvec(&site.flows).expect("an encoded state");
            let mut restored: FlowState = postcard::from_bytes(&bytes).expect("a state");
            // Stored in extensions of the snapshot.
            restored.crashes = site.flows.crashes.clone();
            restored.fences = site.flows.fences.clone();
            restored.doubts = site.flows.doubts.clone();
            assert_eq!(restored, site.flows);
            Ok(())
        })
        .expect("every history keeps the invariants");
}
