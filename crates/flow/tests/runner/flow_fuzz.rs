//! Random histories against what must always hold.

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
    EndRecord,
    FlowChange,
    FlowPhase,
    FlowState,
    PlacementOrder,
    RunEnd,
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
const FLOWS: u64 = 4;
const LIVES: usize = 5;
const INSTANCES: usize = 3;
const SEED: [u8; 32] = [17; 32];

/// One step of a history; numbers are taken modulo what is there.
#[derive(Debug, Clone)]
enum HistoryStep {
    Submit(u64),
    Cancel(u64),
    Announce(usize, usize),
    Drain(usize),
    Leave(usize),
    Lose(usize),
    /// Places a step's tasks on lives, one after the other from a first one.
    Place(u64, u16, usize),
    Stop(usize),
    End(usize, u8, bool),
    Unstarted(usize),
    /// The newest ends of a life are reported again.
    Repeat(usize),
    Pass(u64),
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        2 => (0..FLOWS).prop_map(HistoryStep::Submit),
        1 => (0..FLOWS).prop_map(HistoryStep::Cancel),
        2 => (0..LIVES, 0..INSTANCES).prop_map(|(life, at)| HistoryStep::Announce(life, at)),
        1 => (0..LIVES).prop_map(HistoryStep::Drain),
        1 => (0..LIVES).prop_map(HistoryStep::Leave),
        1 => (0..LIVES).prop_map(HistoryStep::Lose),
        8 => (0..FLOWS, 0..2u16, 0..LIVES).prop_map(|(f, s, l)| HistoryStep::Place(f, s, l)),
        2 => (0..64usize).prop_map(HistoryStep::Stop),
        6 => (0..64usize, 0..6u8, any::<bool>()).prop_map(|(r, e, s)| HistoryStep::End(r, e, s)),
        1 => (0..64usize).prop_map(HistoryStep::Unstarted),
        1 => (0..LIVES).prop_map(HistoryStep::Repeat),
        1 => (0..5_000u64).prop_map(HistoryStep::Pass),
    ]
}

/// A state with what the fuzz knows beside it.
struct FuzzedSite {
    flows: FlowState,
    index: u64,
    now: UnixMillis,
    /// The ends that each life has listed.
    ends: BTreeMap<BackendId, Vec<EndRecord>>,
    /// The failed and done ends that were taken note of, by task.
    failed: BTreeMap<TaskKey, u32>,
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

    /// Returns the runs that take room, with their lives.
    fn held(&self) -> Vec<(BackendId, RunKey)> {
        let backends = self.flows.backends.iter();
        let runs = backends.flat_map(|(id, b)| b.runs.keys().map(|run| (id.clone(), *run)));
        runs.collect()
    }

    fn play(&mut self, step: &HistoryStep) {
        match step {
            HistoryStep::Submit(flow) => self.apply(submission(*flow, steps(*flow))),
            HistoryStep::Cancel(flow) => self.apply(FlowChange::Cancel {
                flow: FlowId(*flow),
            }),
            HistoryStep::Announce(life, at) => self.apply(FlowChange::Announce {
                backend: backend(*life),
                profile: profile(*at),
            }),
            HistoryStep::Drain(life) => self.apply(FlowChange::Drain {
                backend: backend(*life),
                remaining: DurationMs(1_000),
            }),
            HistoryStep::Leave(life) => self.apply(FlowChange::Leave {
                backend: backend(*life),
            }),
            HistoryStep::Lose(life) => self.apply(FlowChange::Lose {
                backend: backend(*life),
                saved: Vec::new(),
            }),
            HistoryStep::Place(flow, step, life) => self.place(*flow, *step, *life),
            HistoryStep::Stop(at) => {
                if let Some((_, run)) = pick(&self.held(), *at) {
                    let stops = vec![StopOrder {
                        run,
                        cause: StopCause::Displaced,
                    }];
                    let places = Vec::new();
                    self.apply(FlowChange::Decide { stops, places });
                }
            }
            HistoryStep::End(at, how, saves) => {
                if let Some((life, run)) = pick(&self.held(), *at) {
                    self.end(life, run, *how, *saves);
                }
            }
            HistoryStep::Unstarted(at) => {
                if let Some((backend, run)) = pick(&self.held(), *at) {
                    let reason = "fuzz".to_owned();
                    self.apply(FlowChange::Report {
                        backend,
                        ends: Vec::new(),
                        unstarted: vec![UnstartedRun { run, reason }],
                    });
                }
            }
            HistoryStep::Repeat(life) => {
                let ends = self.ends.get(&backend(*life)).cloned().unwrap_or_default();
                self.apply(FlowChange::Report {
                    backend: backend(*life),
                    ends,
                    unstarted: Vec::new(),
                });
            }
            HistoryStep::Pass(span) => self.now = self.now.plus(DurationMs(*span)),
        }
    }

    fn place(&mut self, flow: u64, step: u16, life: usize) {
        let count = steps(flow).get(usize::from(step)).map_or(0, |s| s.count);
        let tasks = (0..count).map(|index| {
            let at = (life + usize::from(index)) % LIVES;
            (task(flow, step, index), backend(at))
        });
        let places = vec![PlacementOrder {
            tasks: tasks.collect(),
        }];
        let stops = Vec::new();
        self.apply(FlowChange::Decide { stops, places });
    }

    fn end(&mut self, life: BackendId, run: RunKey, how: u8, saves: bool) {
        let end = [
            RunEnd::Done,
            RunEnd::Failed,
            RunEnd::Stopped,
            RunEnd::Lapsed,
            RunEnd::Broken,
            RunEnd::Alone,
        ][usize::from(how)];
        let listed = self.ends.entry(life.clone()).or_default();
        let record = EndRecord {
            number: listed.len() as u64 + 1,
            run,
            end,
            saved: if saves {
                format!("{}", self.index)
            } else {
                String::new()
            },
        };
        listed.push(record.clone());
        match end {
            RunEnd::Failed => *self.failed.entry(run.task).or_default() += 1,
            RunEnd::Done => {
                self.done.insert(run.task, true);
            }
            _ => {}
        }
        self.apply(FlowChange::Report {
            backend: life,
            ends: vec![record],
            unstarted: Vec::new(),
        });
    }

    /// Checks what must hold after every step.
    fn check(&self) {
        let mut holders = BTreeMap::<TaskKey, usize>::new();
        for (id, record) in &self.flows.backends {
            let shapes = record.runs.values().map(|run| run.shape);
            let used = shapes.fold(TaskShape::default(), |sum, shape| sum.plus(&shape));
            assert!(record.profile.shape.can_hold(&used), "{id} holds {used:?}");
            assert!(record.has_lease() || record.runs.is_empty(), "{id} is gone");
            for run in record.runs.keys() {
                *holders.entry(run.task).or_default() += 1;
            }
        }
        for (key, count) in &holders {
            assert!(*count == 1, "{key} has {count} runs at the same time");
        }
        for (flow, record) in &self.flows.flows {
            for (step, (spec, tasks)) in
                (0..).zip(record.spec.steps.iter().zip(&record.rounds[0].steps))
            {
                let placed = tasks.tasks.iter().filter(|t| is_placed(&t.phase));
                let numbers: Vec<_> = placed.map(|t| t.last_run).collect();
                if spec.gang && record.phase == FlowPhase::Open {
                    let equal = numbers.windows(2).all(|pair| pair[0] == pair[1]);
                    assert!(equal, "members of {flow} in runs {numbers:?}");
                }
                for (index, task) in (0..).zip(&tasks.tasks) {
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
            let held = &self.flows.backends[backend].runs;
            let run = RunKey {
                task: key,
                run: *run,
            };
            assert!(held.contains_key(&run), "{run} is placed and holds no room");
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

fn pick<T: Clone>(list: &[T], at: usize) -> Option<T> {
    (!list.is_empty()).then(|| list[at % list.len()].clone())
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
fn random_histories_keep_what_must_hold() {
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
                site.play(step);
                site.check();
            }
            // A replica that restores the state holds the same.
            let bytes = postcard::to_stdvec(&site.flows).expect("an encoded state");
            let restored: FlowState = postcard::from_bytes(&bytes).expect("a state");
            assert_eq!(restored, site.flows);
            Ok(())
        })
        .expect("every history keeps what must hold");
}
