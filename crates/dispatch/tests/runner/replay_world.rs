//! A small installation on a virtual clock: flows arrive, the real state and the real decisions place
//! them, and workers run what they are told.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use roseridge_dispatch::{
    ContactView,
    DispatchLimits,
    DispatchView,
    ProgressRate,
    ProgressReading,
    decide, //
};
use roseridge_flow::{
    BackendProfile,
    EndRecord,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowState,
    RunEnd,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    CustomerName,
    CustomerRule,
    DomainName,
    DurationMs,
    FastMap,
    FlowId,
    FlowSpec,
    InstanceName,
    QueueKey,
    QueueRule,
    RackName,
    RunKey,
    ServiceName,
    ServiceRule,
    SiteConfig,
    StepSpec,
    TaskKey,
    TaskShape,
    UnixMillis, //
};

/// The time from a decision, or an end, to its effect: a commit and the way to the agent.
const COMMIT_MS: u64 = 20;
/// The time that a stop takes on a worker.
const STOP_MS: u64 = 250;
/// The work between two checkpoints.
const CHECKPOINT_MS: u64 = 500;
/// What resuming from a checkpoint takes.
const RESTORE_MS: u64 = 600;
/// How many times longer a task takes when its gang lies in several racks.
const REMOTE_FACTOR: u64 = 3;
/// The cores that an accelerator counts for in the price of work.
const CORES_PER_ACCELERATOR: f64 = 8.0;
/// The times that flows arrive in, and that the world then goes on for.
const ARRIVALS_MS: u64 = 34_000;
const DRAIN_MS: u64 = 14_000;
/// The time between two reports of a worker's agent, and the age of the list that one carries.
const REPORT_MS: u64 = 600;
const LIST_AGE_MS: u64 = 250;
/// When the clock starts.
const START_MS: u64 = 1_000_000;

/// The kinds of flows of an installation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassLoad {
    pub(crate) rank: u32,
    pub(crate) per_second: f64,
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
    pub(crate) stretch_percent: u32,
    pub(crate) target_ms: u64,
    pub(crate) attempts: u32,
    pub(crate) work_ms: (f64, f64, f64),
    pub(crate) width: (f64, f64, f64),
    pub(crate) second_step: f64,
    pub(crate) accelerators: &'static [u32],
    pub(crate) millicores: u64,
    pub(crate) memory_mib: u64,
    pub(crate) gang: bool,
    pub(crate) one_rack: f64,
    pub(crate) checkpointing: f64,
    pub(crate) estimate_off: f64,
    pub(crate) fails: f64,
    pub(crate) cancelled: f64,
}

/// An installation with its load.
#[derive(Debug, Clone)]
pub(crate) struct SiteLoad {
    pub(crate) workers: usize,
    pub(crate) per_rack: usize,
    pub(crate) shape: TaskShape,
    pub(crate) classes: Vec<ClassLoad>,
    /// The price of a core-second that is thrown away.
    pub(crate) waste_price: f64,
}

/// What happens besides the usual load.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Trouble {
    /// A class comes this many times as often from a time on, for a while.
    Burst {
        rank: u32,
        times: f64,
        from_ms: u64,
        for_ms: u64,
    },
    /// The last workers can't be reached from a time on; they run on, and are back after a while.
    Cut {
        workers: usize,
        from_ms: u64,
        for_ms: u64,
    },
    /// The first workers take this many times as long.
    Slow {
        workers: usize,
        times: u64,
        from_ms: u64,
        for_ms: u64,
    },
    /// The first workers fail all that they start, after a moment.
    Failing {
        workers: usize,
        from_ms: u64,
        for_ms: u64,
    },
    /// What runs on the first workers stands still.
    Standing {
        workers: usize,
        from_ms: u64,
        for_ms: u64,
    },
    /// The last workers leave.
    Leave { workers: usize, at_ms: u64 },
    /// A part of the flows of a rank fails whatever happens.
    Hopeless { rank: u32, part: f64 },
    /// No decisions are taken for a while.
    NoLeader { from_ms: u64, for_ms: u64 },
}

/// What a replay came to.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplayFigures {
    pub(crate) owed: f64,
    pub(crate) earned: f64,
    /// Owed and earned by rank.
    pub(crate) ranks: BTreeMap<u32, (f64, f64)>,
    /// Owed and earned of the largest tenth of each rank, and of all others, in flows.
    pub(crate) large: BTreeMap<u32, (u32, u32)>,
    pub(crate) flows: BTreeMap<u32, (u32, u32)>,
    pub(crate) thrown_away: f64,
    pub(crate) stops: usize,
    /// Urgent flows within their customer's guarantee whose first step began later than allowed.
    pub(crate) late_reclaims: usize,
    /// The longest time that a flow of each rank took, and those that never ended.
    pub(crate) unfinished: BTreeMap<u32, u32>,
    /// The flows that failed although they could have been done.
    pub(crate) failed: usize,
}

impl ReplayFigures {
    /// Returns the earned part of what was owed.
    pub(crate) fn part(&self) -> f64 {
        self.earned / self.owed.max(f64::EPSILON)
    }

    /// Returns the earned part of a rank.
    pub(crate) fn rank_part(&self, rank: u32) -> f64 {
        let (owed, earned) = self.ranks.get(&rank).copied().unwrap_or((1.0, 1.0));
        earned / owed.max(f64::EPSILON)
    }

    /// Returns the price of what was thrown away, as a part of what was owed.
    pub(crate) fn waste(&self, price: f64) -> f64 {
        self.thrown_away * price / self.owed.max(f64::EPSILON)
    }
}

/// What a flow really is.
#[derive(Debug, Clone)]
struct TrueFlow {
    rank: u32,
    worth: f64,
    late_worth: f64,
    work_ms: Vec<u64>,
    objective_ms: u64,
    arrived_ms: u64,
    size: f64,
    is_hopeless: bool,
    cancel_at_ms: Option<u64>,
    reclaim_owed: bool,
}

/// A run on a worker.
#[derive(Debug, Clone)]
struct TrueRun {
    key: RunKey,
    shape: TaskShape,
    /// Work that is left, on a sound worker near its gang.
    left_ms: f64,
    /// Work done in this run.
    worked_ms: f64,
    present_ms: u64,
    is_working: bool,
    remote: bool,
    fails_after: Option<f64>,
    stop_at_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct TrueWorker {
    runs: Vec<TrueRun>,
    ends: u64,
}

struct ReplayWorld<'a> {
    site: &'a SiteLoad,
    troubles: &'a [Trouble],
    random: SmallRng,
    now_ms: u64,
    index: u64,
    flows: FlowState,
    truth: BTreeMap<FlowId, TrueFlow>,
    workers: BTreeMap<BackendId, TrueWorker>,
    /// Checkpoints in milliseconds of work, by task.
    saved: FastMap<TaskKey, u64>,
    deferred: Vec<(u64, FlowChange)>,
    progress_rates: FastMap<RunKey, ProgressRate>,
    /// Progress that is read and did not reach the leader yet, by the time at which it does.
    read: Vec<(u64, RunKey, ProgressReading)>,
    figures: ReplayFigures,
    begun: BTreeSet<FlowId>,
    known_runs: BTreeSet<RunKey>,
}

/// Plays an installation with its load and troubles, and tells what it came to.
pub(crate) fn replay(site: &SiteLoad, troubles: &[Trouble], seed: u64) -> ReplayFigures {
    let mut world = ReplayWorld {
        site,
        troubles,
        random: SmallRng::seed_from_u64(seed),
        now_ms: START_MS,
        index: 0,
        flows: FlowState::default(),
        truth: BTreeMap::new(),
        workers: BTreeMap::new(),
        saved: FastMap::default(),
        deferred: Vec::new(),
        progress_rates: FastMap::default(),
        read: Vec::new(),
        figures: ReplayFigures::default(),
        begun: BTreeSet::new(),
        known_runs: BTreeSet::new(),
    };
    world.begin();
    let arrivals = world.draw_arrivals();
    let mut arrivals = arrivals.into_iter().peekable();
    while world.now_ms < START_MS + ARRIVALS_MS + DRAIN_MS {
        world.now_ms += 10;
        while let Some((_, flow)) = arrivals.next_if(|(at, _)| *at <= world.now_ms) {
            world.arrive(flow);
        }
        world.step();
    }
    world.finish()
}

impl ReplayWorld<'_> {
    fn apply(&mut self, change: FlowChange) -> FlowOutcome {
        self.index += 1;
        let at = UnixMillis(self.now_ms);
        self.flows.apply(self.index, at, change)
    }

    fn begin(&mut self) {
        let service = ServiceName::parse("fake").expect("a name");
        let queues = self.site.classes.iter().map(|class| QueueRule {
            key: queue_key(class.rank),
            service: service.clone(),
            rank: class.rank,
            attempt_limit: class.attempts,
            stretch_percent: class.stretch_percent,
            latency_target: DurationMs(class.target_ms),
            answer_limit: DurationMs(3_000),
            open: false,
        });
        let config = SiteConfig {
            version: 1,
            text: String::new(),
            queues: queues.collect(),
            services: vec![ServiceRule {
                name: service.clone(),
                enforces_capacity: false,
            }],
            customers: (0..4)
                .map(|number| CustomerRule {
                    name: customer(number),
                    keys: Vec::new(),
                    guaranteed: if number == 0 { 16 } else { 8 },
                })
                .collect(),
        };
        self.apply(FlowChange::Configure(config));
        for number in 0..self.site.workers {
            let backend = worker(number);
            let rack = format!("rack-{}", number / self.site.per_rack);
            let profile = BackendProfile {
                instance: InstanceName::parse(&format!("side-{number}")).expect("a name"),
                service: service.clone(),
                domain: DomainName::parse("domain").expect("a name"),
                rack: Some(RackName::parse(&rack).expect("a name")),
                labels: vec!["a".to_owned(), rack],
                shape: self.site.shape,
            };
            self.workers.insert(backend.clone(), TrueWorker::default());
            self.apply(FlowChange::Announce { backend, profile });
        }
    }

    fn draw_arrivals(&mut self) -> Vec<(u64, (FlowId, FlowSpec))> {
        let mut found = Vec::new();
        let mut number = 0;
        for class in self.site.classes.clone() {
            let mut at = 0.0;
            while at < ARRIVALS_MS as f64 {
                let mut rate = class.per_second;
                for trouble in self.troubles {
                    if let Trouble::Burst {
                        rank,
                        times,
                        from_ms,
                        for_ms,
                    } = trouble
                        && *rank == class.rank
                        && (*from_ms as f64..(from_ms + for_ms) as f64).contains(&at)
                    {
                        rate *= times;
                    }
                }
                at += -self.random.random_range(1e-9..1.0f64).ln() / rate * 1_000.0;
                number += 1;
                let flow = FlowId(number);
                let spec = self.draw_flow(&class, flow, START_MS + at as u64);
                found.push((START_MS + at as u64, (flow, spec)));
            }
        }
        found.sort_by_key(|(at, (flow, _))| (*at, *flow));
        found
    }

    /// Draws from a distribution with a mean, a spread and a maximum.
    fn draw(&mut self, (mean, spread, most): (f64, f64, f64)) -> f64 {
        let normal: f64 = (0..12)
            .map(|_| self.random.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(most)
    }

    fn draw_flow(&mut self, class: &ClassLoad, flow: FlowId, arrived_ms: u64) -> FlowSpec {
        let at = self.random.random_range(0..class.accelerators.len());
        let shape = TaskShape {
            millicores: class.millicores,
            memory_mib: class.memory_mib,
            accelerators: class.accelerators[at],
        };
        let steps = match self.random.random_bool(class.second_step) {
            true => 2,
            false => 1,
        };
        let gang = class.gang;
        let one_rack = gang && self.random.random_bool(class.one_rack);
        let checkpointing = self.random.random_bool(class.checkpointing);
        let mut work_ms = Vec::new();
        let mut specs = Vec::new();
        for step in 0..steps {
            let count = self.draw(class.width).round().max(1.0) as u16;
            let work = self.draw(class.work_ms).max(300.0);
            let off = class.estimate_off;
            let factor = self.random.random_range(-off..=off) * 2.0;
            let room = usize::from(count) * shape.accelerators as usize;
            let per_worker = self.site.shape.accelerators as usize;
            let gang = gang && room <= self.site.workers * per_worker / 2;
            let one_rack = one_rack && room <= self.site.per_rack * per_worker;
            work_ms.push(work as u64);
            specs.push(StepSpec {
                count,
                shape,
                estimate: DurationMs((work * factor.exp()) as u64),
                after: (0..step).collect(),
                gang,
                one_rack: one_rack && gang,
                checkpointing,
                ..StepSpec::default()
            });
        }
        let cores = f64::from(shape.accelerators) * CORES_PER_ACCELERATOR
            + class.millicores as f64 / 1_000.0;
        let sizes = specs.iter().zip(&work_ms);
        let size: f64 = sizes
            .map(|(spec, work)| f64::from(spec.count) * *work as f64 / 1_000.0 * cores)
            .sum();
        let mean_accelerators = class
            .accelerators
            .iter()
            .map(|a| f64::from(*a))
            .sum::<f64>()
            / class.accelerators.len() as f64;
        let mean_cores =
            mean_accelerators * CORES_PER_ACCELERATOR + class.millicores as f64 / 1_000.0;
        let mean =
            class.width.0 * class.work_ms.0 / 1_000.0 * (1.0 + class.second_step) * mean_cores;
        let factor = (0.3 + 0.7 * size / mean).min(4.0);
        let hopeless = self.troubles.iter().find_map(|t| match t {
            Trouble::Hopeless { rank, part } if *rank == class.rank => Some(*part),
            _ => None,
        });
        let quarter = (self.site.workers * self.site.shape.accelerators as usize) as f64 / 4.0;
        let waves = specs.iter().map(|spec| {
            let wide = f64::from(spec.count) * f64::from(shape.accelerators) / quarter;
            (wide.ceil() as u64).max(1)
        });
        let chain: u64 = waves.zip(&work_ms).map(|(waves, work)| waves * work).sum();
        let cancelled = self.random.random_bool(class.cancelled);
        let truth = TrueFlow {
            rank: class.rank,
            worth: class.worth * factor,
            late_worth: class.late_worth * factor,
            objective_ms: chain * u64::from(class.stretch_percent) / 100 + class.target_ms,
            work_ms,
            arrived_ms,
            size: factor,
            is_hopeless: hopeless.is_some_and(|part| self.random.random_bool(part)),
            cancel_at_ms: cancelled.then_some(arrived_ms + 1_500),
            reclaim_owed: false,
        };
        self.truth.insert(flow, truth);
        FlowSpec {
            text: String::new(),
            steps: specs,
            repeat: None,
        }
    }

    fn arrive(&mut self, (flow, spec): (FlowId, FlowSpec)) {
        let number = self.random.random_range(0..4);
        let rank = self.truth[&flow].rank;
        self.apply(FlowChange::Submit {
            flow,
            customer: Some(customer(number)),
            queue: queue_key(rank),
            spec,
        });
    }

    fn within(&self, from_ms: u64, for_ms: u64) -> bool {
        (START_MS + from_ms..START_MS + from_ms + for_ms).contains(&self.now_ms)
    }

    fn first(&self, number: usize, workers: usize) -> bool {
        number < workers
    }

    /// Returns how many times longer work takes on a worker now; none stands for standing still.
    fn slowness(&self, number: usize) -> Option<u64> {
        let mut times = 1;
        for trouble in self.troubles {
            match trouble {
                Trouble::Slow {
                    workers,
                    times: by,
                    from_ms,
                    for_ms,
                } if self.first(number, *workers) && self.within(*from_ms, *for_ms) => times = *by,
                Trouble::Standing {
                    workers,
                    from_ms,
                    for_ms,
                } if self.first(number, *workers) && self.within(*from_ms, *for_ms) => return None,
                _ => {}
            }
        }
        Some(times)
    }

    fn is_failing(&self, number: usize) -> bool {
        self.troubles.iter().any(|trouble| match trouble {
            Trouble::Failing {
                workers,
                from_ms,
                for_ms,
            } => self.first(number, *workers) && self.within(*from_ms, *for_ms),
            _ => false,
        })
    }

    fn is_cut(&self, number: usize) -> bool {
        self.troubles.iter().any(|trouble| match trouble {
            Trouble::Cut {
                workers,
                from_ms,
                for_ms,
            } => number + workers >= self.site.workers && self.within(*from_ms, *for_ms),
            _ => false,
        })
    }

    fn step(&mut self) {
        self.cancel_due();
        self.leave_due();
        self.work();
        self.deliver();
        let has_leader = !self.troubles.iter().any(|trouble| match trouble {
            Trouble::NoLeader { from_ms, for_ms } => self.within(*from_ms, *for_ms),
            _ => false,
        });
        if has_leader {
            self.read_progress();
            self.take_decisions();
            self.follow_orders();
        }
        self.check_reclaims();
    }

    fn cancel_due(&mut self) {
        let due: Vec<_> = self
            .truth
            .iter()
            .filter(|(_, truth)| truth.cancel_at_ms.is_some_and(|at| at <= self.now_ms))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in due {
            if let Some(truth) = self.truth.get_mut(&flow) {
                truth.cancel_at_ms = None;
                truth.worth = 0.0;
                truth.late_worth = 0.0;
            }
            self.apply(FlowChange::Cancel { flow });
        }
    }

    fn leave_due(&mut self) {
        for trouble in self.troubles {
            let Trouble::Leave { workers, at_ms } = trouble else {
                continue;
            };
            let at = START_MS + at_ms;
            for number in self.site.workers - workers..self.site.workers {
                let backend = worker(number);
                if self.now_ms == at {
                    let remaining = DurationMs(2_000);
                    self.apply(FlowChange::Drain { backend, remaining });
                } else if self.now_ms == at + 4_000 {
                    self.workers.insert(backend.clone(), TrueWorker::default());
                    self.apply(FlowChange::Leave { backend });
                }
            }
        }
    }

    /// Lets every worker work for one step of the clock.
    fn work(&mut self) {
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for (number, id) in ids.iter().enumerate() {
            let slowness = self.slowness(number);
            let fails = self.is_failing(number);
            let mut worker = self.workers.remove(id).unwrap_or_default();
            let runs = std::mem::take(&mut worker.runs);
            for mut run in runs {
                let ended = self.advance(&mut run, slowness, fails);
                match ended {
                    None => worker.runs.push(run),
                    Some(end) => {
                        worker.ends += 1;
                        self.report(id, number, worker.ends, run, end);
                    }
                }
            }
            self.workers.insert(id.clone(), worker);
        }
        self.break_gangs();
    }

    fn advance(&self, run: &mut TrueRun, slowness: Option<u64>, fails: bool) -> Option<RunEnd> {
        if run.stop_at_ms.is_some_and(|at| self.now_ms >= at) {
            return Some(RunEnd::Stopped);
        }
        if !run.is_working {
            return None;
        }
        let factor = match slowness {
            None => return None,
            Some(times) if run.remote => times * REMOTE_FACTOR,
            Some(times) => times,
        };
        let step = 10.0 / factor as f64;
        run.worked_ms += step;
        run.left_ms -= step;
        match run.fails_after {
            _ if fails && run.worked_ms > 300.0 => Some(RunEnd::Failed),
            Some(after) if run.worked_ms > after => Some(RunEnd::Failed),
            _ if run.left_ms <= 0.0 => Some(RunEnd::Done),
            _ => None,
        }
    }

    fn report(
        &mut self,
        id: &BackendId,
        number: usize,
        end_number: u64,
        run: TrueRun,
        end: RunEnd,
    ) {
        let flow = self.flows.flows.get(&run.key.task.flow);
        let spec = flow.and_then(|f| f.step_spec(run.key.task)).cloned();
        let saves = spec.as_ref().is_some_and(|s| s.checkpointing);
        let kept = if saves { run.worked_ms } else { 0.0 };
        let is_done = end == RunEnd::Done;
        let before = self.saved.get(&run.key.task).copied().unwrap_or(0);
        let saved_ms = before + kept as u64 / CHECKPOINT_MS * CHECKPOINT_MS;
        if saves && end != RunEnd::Failed && saved_ms > before {
            self.saved.insert(run.key.task, saved_ms);
        }
        if !is_done {
            let lost = run.worked_ms - if saves { kept } else { 0.0 };
            let cores = f64::from(run.shape.accelerators) * CORES_PER_ACCELERATOR
                + run.shape.millicores as f64 / 1_000.0;
            if end != RunEnd::Failed {
                self.figures.thrown_away += lost / 1_000.0 * cores;
            }
        }
        let has_saved = saves && end != RunEnd::Failed && saved_ms > 0 && !is_done;
        let saved = match has_saved {
            true => format!("{saved_ms}"),
            false => String::new(),
        };
        let change = FlowChange::Report {
            backend: id.clone(),
            ends: vec![EndRecord {
                number: end_number,
                run: run.key,
                end,
                saved,
            }],
            unstarted: Vec::new(),
        };
        let mut at_ms = self.now_ms + COMMIT_MS;
        while self.is_cut_at(number, at_ms) {
            at_ms += 50;
        }
        self.deferred.push((at_ms, change));
    }

    fn is_cut_at(&self, number: usize, at_ms: u64) -> bool {
        self.troubles.iter().any(|trouble| match trouble {
            Trouble::Cut {
                workers,
                from_ms,
                for_ms,
            } => {
                number + workers >= self.site.workers
                    && (START_MS + from_ms..START_MS + from_ms + for_ms).contains(&at_ms)
            }
            _ => false,
        })
    }

    /// Breaks the gangs of which a member has ended without a result.
    fn break_gangs(&mut self) {
        let mut broken = Vec::new();
        let running: FastMap<(FlowId, u16, u32), usize> = {
            let mut counts = FastMap::default();
            for run in self.workers.values().flat_map(|w| &w.runs) {
                let key = (run.key.task.flow, run.key.task.step, run.key.run);
                *counts.entry(key).or_insert(0) += 1;
            }
            counts
        };
        for (id, worker) in &self.workers {
            for run in worker.runs.iter().filter(|run| run.is_working) {
                let flow = self.flows.flows.get(&run.key.task.flow);
                let Some(spec) = flow.and_then(|f| f.step_spec(run.key.task)) else {
                    continue;
                };
                let key = (run.key.task.flow, run.key.task.step, run.key.run);
                if spec.gang && running[&key] < usize::from(spec.count) {
                    broken.push((id.clone(), run.key));
                }
            }
        }
        for (id, key) in broken {
            let number = self.workers.keys().position(|known| *known == id);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let Some(at) = worker.runs.iter().position(|run| run.key == key) else {
                continue;
            };
            let run = worker.runs.remove(at);
            worker.ends += 1;
            let (end_number, left) = (worker.ends, run.left_ms);
            let end = match left <= 10.0 {
                true => RunEnd::Done,
                false => RunEnd::Broken,
            };
            self.report(&id, number.unwrap_or(0), end_number, run, end);
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.deferred = later;
        for (_, change) in due {
            self.apply(change);
        }
    }

    /// Lets the leader hear how much of their work the runs have done, a while after it was read.
    fn read_progress(&mut self) {
        for (number, worker) in self.workers.values().enumerate() {
            let is_due = (self.now_ms + number as u64 * 50).is_multiple_of(REPORT_MS);
            if !is_due || self.is_cut(number) {
                continue;
            }
            for run in &worker.runs {
                let task = run.key.task;
                let whole = self.truth[&task.flow].work_ms[usize::from(task.step)] as f64;
                let percent = ((whole - run.left_ms) / whole * 100.0).clamp(0.0, 99.0) as u8;
                let at = UnixMillis(self.now_ms);
                let reading = ProgressReading { percent, at };
                self.read
                    .push((self.now_ms + LIST_AGE_MS, run.key, reading));
            }
        }
        let now_ms = self.now_ms;
        let (heard, later) = std::mem::take(&mut self.read)
            .into_iter()
            .partition(|(at, ..)| *at <= now_ms);
        self.read = later;
        for (_, run, reading) in heard {
            let pace = self.progress_rates.entry(run);
            pace.and_modify(|pace| pace.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    fn take_decisions(&mut self) {
        let contacts: FastMap<_, _> = (0..self.site.workers)
            .filter(|number| !self.is_cut(*number))
            .map(|number| (worker(number), ContactView::default()))
            .collect();
        let view = DispatchView {
            flows: &self.flows,
            now: UnixMillis(self.now_ms),
            contacts: &contacts,
            progress_rates: &self.progress_rates,
            limits: DispatchLimits {
                contact_timeout: DurationMs(1_600),
                restore_time: DurationMs(RESTORE_MS),
                reclaim_wait: DurationMs(1_000),
            },
        };
        let round = decide(&view);
        if !round.is_empty() {
            self.figures.stops += round.stops.len();
            self.apply(FlowChange::Decide {
                stops: round.stops,
                places: round.places,
            });
        }
    }

    /// Starts and stops on the workers what the state orders.
    fn follow_orders(&mut self) {
        let mut orders = Vec::new();
        for (id, record) in &self.flows.backends {
            for (key, held) in &record.runs {
                orders.push((id.clone(), *key, held.shape, held.stop.is_some()));
            }
        }
        for (id, key, shape, stop) in orders {
            let number = self.workers.keys().position(|known| *known == id);
            if number.is_some_and(|number| self.is_cut(number)) {
                continue;
            }
            let known = !self.known_runs.insert(key);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let running = worker.runs.iter_mut().find(|run| run.key == key);
            match running {
                Some(run) if stop => {
                    run.stop_at_ms.get_or_insert(self.now_ms + STOP_MS);
                }
                None if !stop && !known => {
                    let run = self.begin_run(key, shape);
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.runs.push(run);
                    }
                }
                None if stop && !known => {
                    worker.ends += 1;
                    let change = FlowChange::Report {
                        backend: id.clone(),
                        ends: vec![EndRecord {
                            number: worker.ends,
                            run: key,
                            end: RunEnd::Stopped,
                            saved: String::new(),
                        }],
                        unstarted: Vec::new(),
                    };
                    self.deferred.push((self.now_ms + COMMIT_MS, change));
                }
                _ => {}
            }
        }
        self.start_gangs();
    }

    fn begin_run(&mut self, key: RunKey, shape: TaskShape) -> TrueRun {
        let truth = &self.truth[&key.task.flow];
        let whole = truth.work_ms[usize::from(key.task.step)] as f64;
        let class = self
            .site
            .classes
            .iter()
            .find(|class| class.rank == truth.rank);
        let fails = class.map_or(0.0, |class| class.fails);
        let is_hopeless = truth.is_hopeless;
        let flow = self.flows.flows.get(&key.task.flow);
        let spec = flow.and_then(|f| f.step_spec(key.task));
        let is_gang = spec.is_some_and(|spec| spec.gang);
        let saved = match (is_gang, flow) {
            (true, Some(flow)) => {
                let step = flow.step(key.task).map_or(0, |step| step.tasks.len());
                let members = (0..step).filter_map(|index| {
                    let index = u16::try_from(index).ok()?;
                    let task = TaskKey { index, ..key.task };
                    self.saved.get(&task).copied()
                });
                members.max().unwrap_or(0)
            }
            _ => self.saved.get(&key.task).copied().unwrap_or(0),
        };
        self.saved.insert(key.task, saved);
        let restore = if saved > 0 { RESTORE_MS as f64 } else { 0.0 };
        let fails_now = is_hopeless || (key.task.index == 0 && self.random.random_bool(fails));
        TrueRun {
            key,
            shape,
            left_ms: (whole - saved as f64).max(10.0) + restore,
            worked_ms: 0.0,
            present_ms: self.now_ms,
            is_working: !is_gang,
            remote: false,
            fails_after: fails_now.then(|| whole * self.random.random_range(0.1..0.9)),
            stop_at_ms: None,
        }
    }

    fn start_gangs(&mut self) {
        let mut present: FastMap<(FlowId, u16, u32), BTreeSet<(String, u16)>> = FastMap::default();
        for (id, worker) in &self.workers {
            let rack = self.flows.backends[id]
                .profile
                .rack
                .as_ref()
                .map_or(String::new(), ToString::to_string);
            for run in worker.runs.iter().filter(|run| !run.is_working) {
                let key = (run.key.task.flow, run.key.task.step, run.key.run);
                let members = present.entry(key).or_default();
                members.insert((rack.clone(), run.key.task.index));
            }
        }
        for worker in self.workers.values_mut() {
            for run in worker.runs.iter_mut().filter(|run| !run.is_working) {
                let key = (run.key.task.flow, run.key.task.step, run.key.run);
                let flow = self.flows.flows.get(&run.key.task.flow);
                let Some(spec) = flow.and_then(|f| f.step_spec(run.key.task)) else {
                    continue;
                };
                let members = &present[&key];
                let racks: BTreeSet<_> = members.iter().map(|(rack, _)| rack).collect();
                if members.len() == usize::from(spec.count) {
                    run.is_working = true;
                    run.remote = spec.one_rack && racks.len() > 1;
                    run.present_ms = self.now_ms;
                }
            }
        }
    }

    /// Counts urgent flows within their customer's guarantee that begin too late.
    fn check_reclaims(&mut self) {
        let mut needs = BTreeMap::<CustomerName, u64>::new();
        for (_, flow) in self.flows.open_flows().filter(|(_, f)| f.queue.rank == 0) {
            let need = flow.spec.steps.iter();
            let need = need.map(|s| u64::from(s.count) * u64::from(s.shape.accelerators));
            let owner = flow.customer.clone().expect("every flow has a customer");
            *needs.entry(owner).or_default() += need.max().unwrap_or(0);
        }
        let mut late = 0;
        for (id, flow) in self.flows.open_flows().filter(|(_, f)| f.queue.rank == 0) {
            let owner = flow.customer.as_ref().expect("every flow has a customer");
            let guaranteed = self
                .flows
                .config
                .as_ref()
                .map_or(0, |c| c.guaranteed(owner));
            let tasks = flow.rounds[0].steps[0].tasks.iter();
            let has_begun = tasks.into_iter().all(|t| t.last_run > 0);
            let Some(truth) = self.truth.get_mut(&id) else {
                continue;
            };
            let covered = needs[owner] <= u64::from(guaranteed);
            // The rule looks at the whole time from the acceptance.
            if self.now_ms == flow.accepted.0 {
                truth.reclaim_owed = true;
            }
            truth.reclaim_owed &= covered;
            if has_begun {
                self.begun.insert(id);
            }
            let waited = self.now_ms.saturating_sub(flow.accepted.0);
            if truth.reclaim_owed && !self.begun.contains(&id) && waited == 2_700 {
                late += 1;
            }
        }
        self.figures.late_reclaims += late;
    }

    fn finish(mut self) -> ReplayFigures {
        let mut sizes = BTreeMap::<u32, Vec<f64>>::new();
        for truth in self.truth.values() {
            sizes.entry(truth.rank).or_default().push(truth.size);
        }
        for sizes in sizes.values_mut() {
            sizes.sort_by(f64::total_cmp);
        }
        for (id, truth) in &self.truth {
            if truth.worth == 0.0 {
                continue;
            }
            let Some(flow) = self.flows.flows.get(id) else {
                continue;
            };
            let took = |at: UnixMillis| at.0.saturating_sub(truth.arrived_ms);
            let (earned, served) = match flow.phase {
                FlowPhase::Done { at } if took(at) <= truth.objective_ms => (truth.worth, 1),
                FlowPhase::Done { at } if took(at) <= truth.objective_ms * 3 => {
                    (truth.late_worth, 1)
                }
                FlowPhase::Failed { at } if truth.is_hopeless => {
                    match took(at) <= truth.objective_ms {
                        true => (truth.worth, 1),
                        false => (truth.late_worth, 1),
                    }
                }
                FlowPhase::Failed { .. } => {
                    self.figures.failed += 1;
                    (0.0, 0)
                }
                FlowPhase::Open => {
                    *self.figures.unfinished.entry(truth.rank).or_default() += 1;
                    (0.0, 0)
                }
                _ => (0.0, 0),
            };
            // A flow that came shortly before the end can't be judged.
            let is_recent = truth.arrived_ms + truth.objective_ms > self.now_ms;
            if is_recent && earned == 0.0 {
                continue;
            }
            self.figures.owed += truth.worth;
            self.figures.earned += earned;
            let rank = self.figures.ranks.entry(truth.rank).or_default();
            rank.0 += truth.worth;
            rank.1 += earned;
            let all = self.figures.flows.entry(truth.rank).or_default();
            all.0 += 1;
            all.1 += served;
            let of_rank = &sizes[&truth.rank];
            if truth.size >= of_rank[of_rank.len() * 9 / 10] {
                let large = self.figures.large.entry(truth.rank).or_default();
                large.0 += 1;
                large.1 += served;
            }
        }
        let done = |phase: &TaskPhase| *phase == TaskPhase::Done;
        debug_assert!(
            self.flows
                .flows
                .values()
                .filter(|f| matches!(f.phase, FlowPhase::Done { .. }))
                .all(|f| f
                    .rounds
                    .iter()
                    .flat_map(|r| &r.steps)
                    .flat_map(|s| &s.tasks)
                    .all(|t| done(&t.phase)))
        );
        self.figures
    }
}

fn queue_key(rank: u32) -> QueueKey {
    QueueKey {
        host: "fake.example".to_owned(),
        prefix: format!("/rank-{rank}/"),
    }
}

fn customer(number: usize) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("a name")
}

fn worker(number: usize) -> BackendId {
    BackendId::parse(&format!("worker-{number:03}")).expect("a name")
}
