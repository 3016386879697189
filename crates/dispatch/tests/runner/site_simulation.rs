//! A simulation of a small installation on a virtual clock: flows arrive, the real state machine and the
//! real decisions place them, and simulated workers execute the orders.

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
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowState,
    RunCompletion,
    RunOutcome,
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

/// The time from the end of a run until it is applied, in milliseconds: a commit and the network.
const COMMIT_MS: u64 = 20;
/// The time that a stop takes on a worker, in milliseconds.
const STOP_MS: u64 = 250;
/// The work between two checkpoints, in milliseconds.
const CHECKPOINT_MS: u64 = 500;
/// The time that a run takes to resume from a checkpoint, in milliseconds.
const RESTORE_MS: u64 = 600;
/// The slowdown of a rack-bound gang that is placed in several racks.
const CROSS_RACK_FACTOR: u64 = 3;
/// The number of cores that an accelerator counts as in the price of work.
const CORES_PER_ACCELERATOR: f64 = 8.0;
/// The time during which flows arrive, in milliseconds.
const ARRIVALS_MS: u64 = 34_000;
/// The time that the simulation continues after the last arrival, in milliseconds.
const COOLDOWN_MS: u64 = 14_000;
/// The time between two reports of a worker's agent, in milliseconds.
const REPORT_MS: u64 = 600;
/// The time from a progress reading until it reaches the leader, in milliseconds.
const PROGRESS_DELAY_MS: u64 = 250;
/// The time at which the virtual clock starts, in milliseconds.
///
/// The times of faults count from here.
const START_MS: u64 = 1_000_000;

/// The flows of one job class: their number and the distributions of their properties.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassLoad {
    pub(crate) rank: u32,
    pub(crate) arrivals_per_second: f64,
    /// The value of a flow of mean size that completes on time.
    pub(crate) value: f64,
    /// The value of a flow of mean size that completes late.
    pub(crate) late_value: f64,
    pub(crate) stretch_percent: u32,
    pub(crate) latency_target_ms: u64,
    pub(crate) attempt_limit: u32,
    /// The mean, spread and maximum of a task's work, in milliseconds.
    pub(crate) work_ms: (f64, f64, f64),
    /// The mean, spread and maximum of the number of tasks in a step.
    pub(crate) width: (f64, f64, f64),
    pub(crate) second_step_probability: f64,
    /// The accelerators of a task; one number is drawn with equal probability.
    pub(crate) accelerator_choices: &'static [u32],
    pub(crate) millicores: u64,
    pub(crate) memory_mib: u64,
    pub(crate) gang: bool,
    pub(crate) one_rack_probability: f64,
    pub(crate) checkpointing_probability: f64,
    /// The error of the callers' estimates: an estimate is the work times `exp(x)`, where `x` is uniform
    /// within plus or minus twice this number.
    pub(crate) estimate_error: f64,
    pub(crate) failure_probability: f64,
    pub(crate) cancel_probability: f64,
}

/// An installation with its load.
#[derive(Debug, Clone)]
pub(crate) struct SiteLoad {
    pub(crate) workers: usize,
    pub(crate) workers_per_rack: usize,
    pub(crate) shape: TaskShape,
    pub(crate) classes: Vec<ClassLoad>,
    /// The price of a core-second of lost work.
    pub(crate) waste_price: f64,
}

/// A fault, or an unusual load, that is injected into a simulation. Times count from its start.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    /// The arrival rate of a class is multiplied by a factor.
    Burst {
        rank: u32,
        factor: f64,
        start_ms: u64,
        duration_ms: u64,
    },
    /// The last workers are unreachable. They keep running and are reachable again afterwards.
    Partition {
        workers: usize,
        start_ms: u64,
        duration_ms: u64,
    },
    /// The first workers are slower by a factor.
    Slow {
        workers: usize,
        factor: u64,
        start_ms: u64,
        duration_ms: u64,
    },
    /// Every run on the first workers fails shortly after its start.
    Failing {
        workers: usize,
        start_ms: u64,
        duration_ms: u64,
    },
    /// The runs on the first workers make no progress.
    Stalled {
        workers: usize,
        start_ms: u64,
        duration_ms: u64,
    },
    /// The last workers receive notice and leave.
    Leaving { workers: usize, at_ms: u64 },
    /// A share of the flows of a rank fails in every attempt.
    FailingFlows { rank: u32, share: f64 },
    /// There is no leader, hence no decisions.
    NoLeader { start_ms: u64, duration_ms: u64 },
}

/// The results of a replay.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplayMetrics {
    /// The value of all evaluated flows on time.
    pub(crate) attainable: f64,
    /// The value that the evaluated flows earned.
    pub(crate) earned: f64,
    /// The attainable and the earned value by rank.
    pub(crate) ranks: BTreeMap<u32, (f64, f64)>,
    /// The number of evaluated and of served flows among the largest tenth of each rank.
    pub(crate) large: BTreeMap<u32, (u32, u32)>,
    /// The number of evaluated and of served flows of each rank.
    pub(crate) flows: BTreeMap<u32, (u32, u32)>,
    /// The lost work of stopped and broken runs.
    pub(crate) wasted_core_seconds: f64,
    /// The number of stop orders.
    pub(crate) stops: usize,
    /// The number of urgent flows within their customer's guarantee whose first step had not started
    /// 2.7 seconds after they were accepted.
    pub(crate) late_reclaims: usize,
    /// The number of flows of each rank that did not end.
    pub(crate) unfinished: BTreeMap<u32, u32>,
    /// The number of flows that failed although they could have completed.
    pub(crate) failed: usize,
}

impl ReplayMetrics {
    /// Returns the earned share of the attainable value.
    pub(crate) fn earned_share(&self) -> f64 {
        self.earned / self.attainable.max(f64::EPSILON)
    }

    /// Returns the earned share of the attainable value of a rank.
    pub(crate) fn rank_earned_share(&self, rank: u32) -> f64 {
        let (attainable, earned) = self.ranks.get(&rank).copied().unwrap_or((1.0, 1.0));
        earned / attainable.max(f64::EPSILON)
    }

    /// Returns the price of the lost work as a share of the attainable value.
    pub(crate) fn waste(&self, price: f64) -> f64 {
        self.wasted_core_seconds * price / self.attainable.max(f64::EPSILON)
    }
}

/// The actual properties of a flow, which the scheduler doesn't know.
#[derive(Debug, Clone)]
struct ActualFlow {
    rank: u32,
    value: f64,
    late_value: f64,
    /// The work of a task in each step, in milliseconds.
    work_ms: Vec<u64>,
    objective_ms: u64,
    arrived_ms: u64,
    /// The factor by which the flow's size scales the value of its class.
    size: f64,
    always_fails: bool,
    cancel_at_ms: Option<u64>,
    /// Whether the flow has been within its customer's guarantee since it was accepted.
    can_reclaim: bool,
}

/// A run on a worker.
#[derive(Debug, Clone)]
struct ActualRun {
    key: RunKey,
    shape: TaskShape,
    /// The remaining time on a healthy worker in the same rack as the gang.
    remaining_ms: f64,
    /// The work done in this run.
    worked_ms: f64,
    /// The time at which the run, or its whole gang, was placed.
    ready_ms: u64,
    /// False for a gang member that waits for the others.
    is_running: bool,
    /// Whether the run belongs to a rack-bound gang that spans several racks.
    is_cross_rack: bool,
    /// The work after which the run fails, in milliseconds.
    fails_after_ms: Option<f64>,
    /// The time at which an ordered stop takes effect.
    stop_at_ms: Option<u64>,
}

/// The state of a worker.
#[derive(Debug, Default)]
struct ActualWorker {
    runs: Vec<ActualRun>,
    /// The number of the last reported completion.
    last_end: u64,
}

/// The state of a simulation.
struct SiteSimulation<'a> {
    site: &'a SiteLoad,
    faults: &'a [Fault],
    rng: SmallRng,
    now_ms: u64,
    log_index: u64,
    flows: FlowState,
    actual_flows: BTreeMap<FlowId, ActualFlow>,
    workers: BTreeMap<BackendId, ActualWorker>,
    /// The work that the last checkpoint of each task preserves, in milliseconds.
    checkpoints: FastMap<TaskKey, u64>,
    /// Reports that are not applied yet, with the time at which they are.
    pending_reports: Vec<(u64, FlowChange)>,
    progress_rates: FastMap<RunKey, ProgressRate>,
    /// Progress readings that have not reached the leader yet, with the time at which they do.
    pending_readings: Vec<(u64, RunKey, ProgressReading)>,
    metrics: ReplayMetrics,
    /// The urgent flows whose first step has been placed whole.
    started_flows: BTreeSet<FlowId>,
    /// The runs whose orders have reached a worker.
    known_runs: BTreeSet<RunKey>,
}

/// Simulates an installation with its load and faults and returns the results.
///
/// The same arguments give the same results.
pub(crate) fn replay(site: &SiteLoad, faults: &[Fault], seed: u64) -> ReplayMetrics {
    let mut simulation = SiteSimulation {
        site,
        faults,
        rng: SmallRng::seed_from_u64(seed),
        now_ms: START_MS,
        log_index: 0,
        flows: FlowState::default(),
        actual_flows: BTreeMap::new(),
        workers: BTreeMap::new(),
        checkpoints: FastMap::default(),
        pending_reports: Vec::new(),
        progress_rates: FastMap::default(),
        pending_readings: Vec::new(),
        metrics: ReplayMetrics::default(),
        started_flows: BTreeSet::new(),
        known_runs: BTreeSet::new(),
    };
    simulation.set_up();
    let arrivals = simulation.draw_arrivals();
    let mut arrivals = arrivals.into_iter().peekable();
    while simulation.now_ms < START_MS + ARRIVALS_MS + COOLDOWN_MS {
        simulation.now_ms += 10;
        while let Some((_, flow)) = arrivals.next_if(|(at, _)| *at <= simulation.now_ms) {
            simulation.submit(flow);
        }
        simulation.advance();
    }
    simulation.finish()
}

impl SiteSimulation<'_> {
    fn apply(&mut self, change: FlowChange) -> FlowOutcome {
        self.log_index += 1;
        let at = UnixMillis(self.now_ms);
        self.flows.apply(self.log_index, at, change)
    }

    /// Configures the queues and customers and announces the workers.
    fn set_up(&mut self) {
        let service = ServiceName::parse("fake").expect("the name is valid");
        let queues = self.site.classes.iter().map(|class| QueueRule {
            key: queue_key(class.rank),
            service: service.clone(),
            rank: class.rank,
            attempt_limit: class.attempt_limit,
            stretch_percent: class.stretch_percent,
            latency_target: DurationMs(class.latency_target_ms),
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
            let rack = format!("rack-{}", number / self.site.workers_per_rack);
            let profile = BackendProfile {
                instance: InstanceName::parse(&format!("side-{number}"))
                    .expect("the name is valid"),
                service: service.clone(),
                domain: DomainName::parse("domain").expect("the name is valid"),
                rack: Some(RackName::parse(&rack).expect("the name is valid")),
                labels: vec!["a".to_owned(), rack],
                shape: self.site.shape,
            };
            self.workers
                .insert(backend.clone(), ActualWorker::default());
            self.apply(FlowChange::Announce { backend, profile });
        }
    }

    /// Draws the arrival times and properties of all flows, in the order of arrival.
    fn draw_arrivals(&mut self) -> Vec<(u64, (FlowId, FlowSpec))> {
        let mut arrivals = Vec::new();
        let mut number = 0;
        for class in self.site.classes.clone() {
            let mut at = 0.0;
            while at < ARRIVALS_MS as f64 {
                let mut rate = class.arrivals_per_second;
                for fault in self.faults {
                    if let Fault::Burst {
                        rank,
                        factor,
                        start_ms,
                        duration_ms,
                    } = fault
                        && *rank == class.rank
                        && (*start_ms as f64..(start_ms + duration_ms) as f64).contains(&at)
                    {
                        rate *= factor;
                    }
                }
                at += -self.rng.random_range(1e-9..1.0f64).ln() / rate * 1_000.0;
                number += 1;
                let flow = FlowId(number);
                let spec = self.draw_flow(&class, flow, START_MS + at as u64);
                arrivals.push((START_MS + at as u64, (flow, spec)));
            }
        }
        arrivals.sort_by_key(|(at, (flow, _))| (*at, *flow));
        arrivals
    }

    /// Draws from a log-normal distribution with a mean, a spread and a maximum.
    fn draw(&mut self, (mean, spread, max): (f64, f64, f64)) -> f64 {
        let normal: f64 = (0..12)
            .map(|_| self.rng.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(max)
    }

    /// Draws the specification of a flow and its actual properties.
    fn draw_flow(&mut self, class: &ClassLoad, flow: FlowId, arrived_ms: u64) -> FlowSpec {
        let choice = self.rng.random_range(0..class.accelerator_choices.len());
        let shape = TaskShape {
            millicores: class.millicores,
            memory_mib: class.memory_mib,
            accelerators: class.accelerator_choices[choice],
        };
        let steps = match self.rng.random_bool(class.second_step_probability) {
            true => 2,
            false => 1,
        };
        let gang = class.gang;
        let one_rack = gang && self.rng.random_bool(class.one_rack_probability);
        let checkpointing = self.rng.random_bool(class.checkpointing_probability);
        let mut work_ms = Vec::new();
        let mut specs = Vec::new();
        for step in 0..steps {
            let count = self.draw(class.width).round().max(1.0) as u16;
            let work = self.draw(class.work_ms).max(300.0);
            let error = class.estimate_error;
            let factor = self.rng.random_range(-error..=error) * 2.0;
            let accelerators = usize::from(count) * shape.accelerators as usize;
            let per_worker = self.site.shape.accelerators as usize;
            let gang = gang && accelerators <= self.site.workers * per_worker / 2;
            let one_rack = one_rack && accelerators <= self.site.workers_per_rack * per_worker;
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
            .accelerator_choices
            .iter()
            .map(|a| f64::from(*a))
            .sum::<f64>()
            / class.accelerator_choices.len() as f64;
        let mean_cores =
            mean_accelerators * CORES_PER_ACCELERATOR + class.millicores as f64 / 1_000.0;
        let mean = class.width.0 * class.work_ms.0 / 1_000.0
            * (1.0 + class.second_step_probability)
            * mean_cores;
        let factor = (0.3 + 0.7 * size / mean).min(4.0);
        let failing_share = self.faults.iter().find_map(|t| match t {
            Fault::FailingFlows { rank, share } if *rank == class.rank => Some(*share),
            _ => None,
        });
        let wave = (self.site.workers * self.site.shape.accelerators as usize) as f64 / 4.0;
        let waves = specs.iter().map(|spec| {
            let count = f64::from(spec.count) * f64::from(shape.accelerators) / wave;
            (count.ceil() as u64).max(1)
        });
        let path_ms: u64 = waves.zip(&work_ms).map(|(waves, work)| waves * work).sum();
        let is_cancelled = self.rng.random_bool(class.cancel_probability);
        let actual = ActualFlow {
            rank: class.rank,
            value: class.value * factor,
            late_value: class.late_value * factor,
            objective_ms: path_ms * u64::from(class.stretch_percent) / 100
                + class.latency_target_ms,
            work_ms,
            arrived_ms,
            size: factor,
            always_fails: failing_share.is_some_and(|share| self.rng.random_bool(share)),
            cancel_at_ms: is_cancelled.then_some(arrived_ms + 1_500),
            can_reclaim: false,
        };
        self.actual_flows.insert(flow, actual);
        FlowSpec {
            text: String::new(),
            steps: specs,
            repeat: None,
        }
    }

    /// Submits a flow for a random customer.
    fn submit(&mut self, (flow, spec): (FlowId, FlowSpec)) {
        let number = self.rng.random_range(0..4);
        let rank = self.actual_flows[&flow].rank;
        self.apply(FlowChange::Submit {
            flow,
            customer: Some(customer(number)),
            queue: queue_key(rank),
            spec,
        });
    }

    /// Returns whether the current time is within a period after the start of the clock.
    fn is_within(&self, start_ms: u64, duration_ms: u64) -> bool {
        (START_MS + start_ms..START_MS + start_ms + duration_ms).contains(&self.now_ms)
    }

    fn is_among_first(&self, number: usize, workers: usize) -> bool {
        number < workers
    }

    /// Returns the current slowdown of a worker, or `None` if its runs are stalled.
    fn slowdown(&self, number: usize) -> Option<u64> {
        let mut factor = 1;
        for fault in self.faults {
            match fault {
                Fault::Slow {
                    workers,
                    factor: by,
                    start_ms,
                    duration_ms,
                } if self.is_among_first(number, *workers)
                    && self.is_within(*start_ms, *duration_ms) =>
                {
                    factor = *by
                }
                Fault::Stalled {
                    workers,
                    start_ms,
                    duration_ms,
                } if self.is_among_first(number, *workers)
                    && self.is_within(*start_ms, *duration_ms) =>
                {
                    return None;
                }
                _ => {}
            }
        }
        Some(factor)
    }

    /// Returns whether all runs on a worker fail now.
    fn is_failing(&self, number: usize) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Failing {
                workers,
                start_ms,
                duration_ms,
            } => self.is_among_first(number, *workers) && self.is_within(*start_ms, *duration_ms),
            _ => false,
        })
    }

    /// Returns whether a worker is unreachable now.
    fn is_partitioned(&self, number: usize) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Partition {
                workers,
                start_ms,
                duration_ms,
            } => number + workers >= self.site.workers && self.is_within(*start_ms, *duration_ms),
            _ => false,
        })
    }

    /// Advances the simulation by one step of the clock.
    fn advance(&mut self) {
        self.cancel_due_flows();
        self.apply_departures();
        self.run_workers();
        self.deliver_reports();
        let has_leader = !self.faults.iter().any(|fault| match fault {
            Fault::NoLeader {
                start_ms,
                duration_ms,
            } => self.is_within(*start_ms, *duration_ms),
            _ => false,
        });
        if has_leader {
            self.report_progress();
            self.run_scheduling_pass();
            self.execute_orders();
        }
        self.count_late_reclaims();
    }

    /// Cancels the flows whose callers give up now.
    fn cancel_due_flows(&mut self) {
        let due: Vec<_> = self
            .actual_flows
            .iter()
            .filter(|(_, actual)| actual.cancel_at_ms.is_some_and(|at| at <= self.now_ms))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in due {
            if let Some(actual) = self.actual_flows.get_mut(&flow) {
                actual.cancel_at_ms = None;
                actual.value = 0.0;
                actual.late_value = 0.0;
            }
            self.apply(FlowChange::Cancel { flow });
        }
    }

    /// Gives leaving workers a notice of two seconds, and removes them four seconds after its start.
    fn apply_departures(&mut self) {
        for fault in self.faults {
            let Fault::Leaving { workers, at_ms } = fault else {
                continue;
            };
            let at = START_MS + at_ms;
            for number in self.site.workers - workers..self.site.workers {
                let backend = worker(number);
                if self.now_ms == at {
                    let remaining = DurationMs(2_000);
                    self.apply(FlowChange::Drain { backend, remaining });
                } else if self.now_ms == at + 4_000 {
                    self.workers
                        .insert(backend.clone(), ActualWorker::default());
                    self.apply(FlowChange::Leave { backend });
                }
            }
        }
    }

    /// Advances the runs on all workers by one step of the clock.
    fn run_workers(&mut self) {
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for (number, id) in ids.iter().enumerate() {
            let slowdown = self.slowdown(number);
            let is_failing = self.is_failing(number);
            let mut worker = self.workers.remove(id).unwrap_or_default();
            let runs = std::mem::take(&mut worker.runs);
            for mut run in runs {
                let ended = self.advance_run(&mut run, slowdown, is_failing);
                match ended {
                    None => worker.runs.push(run),
                    Some(end) => {
                        worker.last_end += 1;
                        self.report(id, number, worker.last_end, run, end);
                    }
                }
            }
            self.workers.insert(id.clone(), worker);
        }
        self.break_gangs();
    }

    /// Advances a run by one step of the clock and returns its outcome if it ended.
    fn advance_run(
        &self,
        run: &mut ActualRun,
        slowdown: Option<u64>,
        is_failing: bool,
    ) -> Option<RunOutcome> {
        if run.stop_at_ms.is_some_and(|at| self.now_ms >= at) {
            return Some(RunOutcome::Stopped);
        }
        if !run.is_running {
            return None;
        }
        let factor = match slowdown {
            None => return None,
            Some(factor) if run.is_cross_rack => factor * CROSS_RACK_FACTOR,
            Some(factor) => factor,
        };
        let step = 10.0 / factor as f64;
        run.worked_ms += step;
        run.remaining_ms -= step;
        match run.fails_after_ms {
            _ if is_failing && run.worked_ms > 300.0 => Some(RunOutcome::Failed),
            Some(after) if run.worked_ms > after => Some(RunOutcome::Failed),
            _ if run.remaining_ms <= 0.0 => Some(RunOutcome::Done),
            _ => None,
        }
    }

    /// Records the completion of a run and its checkpoint, and sends the report of it.
    fn report(
        &mut self,
        id: &BackendId,
        number: usize,
        end_number: u64,
        run: ActualRun,
        end: RunOutcome,
    ) {
        let flow = self.flows.flows.get(&run.key.task.flow);
        let spec = flow.and_then(|f| f.step_spec(run.key.task)).cloned();
        let is_checkpointing = spec.as_ref().is_some_and(|s| s.checkpointing);
        let preserved = if is_checkpointing { run.worked_ms } else { 0.0 };
        let is_done = end == RunOutcome::Done;
        let before = self.checkpoints.get(&run.key.task).copied().unwrap_or(0);
        let saved_ms = before + preserved as u64 / CHECKPOINT_MS * CHECKPOINT_MS;
        if is_checkpointing && end != RunOutcome::Failed && saved_ms > before {
            self.checkpoints.insert(run.key.task, saved_ms);
        }
        if !is_done {
            let lost = run.worked_ms - if is_checkpointing { preserved } else { 0.0 };
            let cores = f64::from(run.shape.accelerators) * CORES_PER_ACCELERATOR
                + run.shape.millicores as f64 / 1_000.0;
            if end != RunOutcome::Failed {
                self.metrics.wasted_core_seconds += lost / 1_000.0 * cores;
            }
        }
        let has_saved = is_checkpointing && end != RunOutcome::Failed && saved_ms > 0 && !is_done;
        let saved = match has_saved {
            true => format!("{saved_ms}"),
            false => String::new(),
        };
        let change = FlowChange::Report {
            backend: id.clone(),
            ends: vec![RunCompletion {
                number: end_number,
                run: run.key,
                end,
                saved,
            }],
            unstarted: Vec::new(),
        };
        let mut at_ms = self.now_ms + COMMIT_MS;
        while self.is_partitioned_at(number, at_ms) {
            at_ms += 50;
        }
        self.pending_reports.push((at_ms, change));
    }

    /// Returns whether a worker is unreachable at a time.
    fn is_partitioned_at(&self, number: usize, at_ms: u64) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Partition {
                workers,
                start_ms,
                duration_ms,
            } => {
                number + workers >= self.site.workers
                    && (START_MS + start_ms..START_MS + start_ms + duration_ms).contains(&at_ms)
            }
            _ => false,
        })
    }

    /// Ends the remaining members of gangs of which a member has ended.
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
            for run in worker.runs.iter().filter(|run| run.is_running) {
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
            let Some(index) = worker.runs.iter().position(|run| run.key == key) else {
                continue;
            };
            let run = worker.runs.remove(index);
            worker.last_end += 1;
            let (end_number, remaining_ms) = (worker.last_end, run.remaining_ms);
            let end = match remaining_ms <= 10.0 {
                true => RunOutcome::Done,
                false => RunOutcome::Broken,
            };
            self.report(&id, number.unwrap_or(0), end_number, run, end);
        }
    }

    /// Applies the reports that are due.
    fn deliver_reports(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_reports)
            .into_iter()
            .partition(|(at, _)| *at <= now_ms);
        self.pending_reports = later;
        for (_, change) in due {
            self.apply(change);
        }
    }

    /// Reads the progress of the runs on every worker that is due to report, and delivers the readings of
    /// earlier reports to the leader.
    fn report_progress(&mut self) {
        for (number, worker) in self.workers.values().enumerate() {
            let is_due = (self.now_ms + number as u64 * 50).is_multiple_of(REPORT_MS);
            if !is_due || self.is_partitioned(number) {
                continue;
            }
            for run in &worker.runs {
                let task = run.key.task;
                let total = self.actual_flows[&task.flow].work_ms[usize::from(task.step)] as f64;
                let percent = ((total - run.remaining_ms) / total * 100.0).clamp(0.0, 99.0) as u8;
                let at = UnixMillis(self.now_ms);
                let reading = ProgressReading { percent, at };
                self.pending_readings
                    .push((self.now_ms + PROGRESS_DELAY_MS, run.key, reading));
            }
        }
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.pending_readings)
            .into_iter()
            .partition(|(at, ..)| *at <= now_ms);
        self.pending_readings = later;
        for (_, run, reading) in due {
            let rate = self.progress_rates.entry(run);
            rate.and_modify(|rate| rate.record(reading))
                .or_insert_with(|| ProgressRate::new(reading));
        }
    }

    /// Runs a scheduling pass and applies its decision.
    fn run_scheduling_pass(&mut self) {
        let contacts: FastMap<_, _> = (0..self.site.workers)
            .filter(|number| !self.is_partitioned(*number))
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
        let decision = decide(&view);
        if !decision.is_empty() {
            self.metrics.stops += decision.stops.len();
            self.apply(FlowChange::Decide {
                stops: decision.stops,
                places: decision.places,
            });
        }
    }

    /// Starts and stops runs on the reachable workers as the state orders.
    fn execute_orders(&mut self) {
        let mut orders = Vec::new();
        for (id, record) in &self.flows.backends {
            for (key, held) in &record.runs {
                orders.push((id.clone(), *key, held.shape, held.stop.is_some()));
            }
        }
        for (id, key, shape, stop) in orders {
            let number = self.workers.keys().position(|known| *known == id);
            if number.is_some_and(|number| self.is_partitioned(number)) {
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
                    let run = self.start_run(key, shape);
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.runs.push(run);
                    }
                }
                None if stop && !known => {
                    worker.last_end += 1;
                    let change = FlowChange::Report {
                        backend: id.clone(),
                        ends: vec![RunCompletion {
                            number: worker.last_end,
                            run: key,
                            end: RunOutcome::Stopped,
                            saved: String::new(),
                        }],
                        unstarted: Vec::new(),
                    };
                    self.pending_reports.push((self.now_ms + COMMIT_MS, change));
                }
                _ => {}
            }
        }
        self.start_gangs();
    }

    /// Creates a run from the task's checkpoint. A gang member waits for the other members.
    fn start_run(&mut self, key: RunKey, shape: TaskShape) -> ActualRun {
        let actual = &self.actual_flows[&key.task.flow];
        let total_ms = actual.work_ms[usize::from(key.task.step)] as f64;
        let class = self
            .site
            .classes
            .iter()
            .find(|class| class.rank == actual.rank);
        let failure_probability = class.map_or(0.0, |class| class.failure_probability);
        let always_fails = actual.always_fails;
        let flow = self.flows.flows.get(&key.task.flow);
        let spec = flow.and_then(|f| f.step_spec(key.task));
        let is_gang = spec.is_some_and(|spec| spec.gang);
        let saved = match (is_gang, flow) {
            (true, Some(flow)) => {
                let step = flow.step(key.task).map_or(0, |step| step.tasks.len());
                let members = (0..step).filter_map(|index| {
                    let index = u16::try_from(index).ok()?;
                    let task = TaskKey { index, ..key.task };
                    self.checkpoints.get(&task).copied()
                });
                members.max().unwrap_or(0)
            }
            _ => self.checkpoints.get(&key.task).copied().unwrap_or(0),
        };
        self.checkpoints.insert(key.task, saved);
        let restore = if saved > 0 { RESTORE_MS as f64 } else { 0.0 };
        let fails_now =
            always_fails || (key.task.index == 0 && self.rng.random_bool(failure_probability));
        ActualRun {
            key,
            shape,
            remaining_ms: (total_ms - saved as f64).max(10.0) + restore,
            worked_ms: 0.0,
            ready_ms: self.now_ms,
            is_running: !is_gang,
            is_cross_rack: false,
            fails_after_ms: fails_now.then(|| total_ms * self.rng.random_range(0.1..0.9)),
            stop_at_ms: None,
        }
    }

    /// Starts the gangs whose members are all placed.
    fn start_gangs(&mut self) {
        let mut placed: FastMap<(FlowId, u16, u32), BTreeSet<(String, u16)>> = FastMap::default();
        for (id, worker) in &self.workers {
            let rack = self.flows.backends[id]
                .profile
                .rack
                .as_ref()
                .map_or(String::new(), ToString::to_string);
            for run in worker.runs.iter().filter(|run| !run.is_running) {
                let key = (run.key.task.flow, run.key.task.step, run.key.run);
                let members = placed.entry(key).or_default();
                members.insert((rack.clone(), run.key.task.index));
            }
        }
        for worker in self.workers.values_mut() {
            for run in worker.runs.iter_mut().filter(|run| !run.is_running) {
                let key = (run.key.task.flow, run.key.task.step, run.key.run);
                let flow = self.flows.flows.get(&run.key.task.flow);
                let Some(spec) = flow.and_then(|f| f.step_spec(run.key.task)) else {
                    continue;
                };
                let members = &placed[&key];
                let racks: BTreeSet<_> = members.iter().map(|(rack, _)| rack).collect();
                if members.len() == usize::from(spec.count) {
                    run.is_running = true;
                    run.is_cross_rack = spec.one_rack && racks.len() > 1;
                    run.ready_ms = self.now_ms;
                }
            }
        }
    }

    /// Counts the urgent flows within their customer's guarantee whose first step has not started 2.7
    /// seconds after they were accepted.
    fn count_late_reclaims(&mut self) {
        let mut demand = BTreeMap::<CustomerName, u64>::new();
        for (_, flow) in self.flows.open_flows().filter(|(_, f)| f.queue.rank == 0) {
            let accelerators = flow.spec.steps.iter();
            let accelerators =
                accelerators.map(|s| u64::from(s.count) * u64::from(s.shape.accelerators));
            let owner = flow.customer.clone().expect("every flow has a customer");
            *demand.entry(owner).or_default() += accelerators.max().unwrap_or(0);
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
            let has_started = tasks.into_iter().all(|t| t.last_run > 0);
            let Some(actual) = self.actual_flows.get_mut(&id) else {
                continue;
            };
            let is_within_guarantee = demand[owner] <= u64::from(guaranteed);
            // A flow counts only if it was within the guarantee the whole time since it was accepted.
            if self.now_ms == flow.accepted.0 {
                actual.can_reclaim = true;
            }
            actual.can_reclaim &= is_within_guarantee;
            if has_started {
                self.started_flows.insert(id);
            }
            let waited = self.now_ms.saturating_sub(flow.accepted.0);
            if actual.can_reclaim && !self.started_flows.contains(&id) && waited == 2_700 {
                late += 1;
            }
        }
        self.metrics.late_reclaims += late;
    }

    /// Computes the results at the end.
    fn finish(mut self) -> ReplayMetrics {
        let mut sizes = BTreeMap::<u32, Vec<f64>>::new();
        for actual in self.actual_flows.values() {
            sizes.entry(actual.rank).or_default().push(actual.size);
        }
        for sizes in sizes.values_mut() {
            sizes.sort_by(f64::total_cmp);
        }
        for (id, actual) in &self.actual_flows {
            if actual.value == 0.0 {
                continue;
            }
            let Some(flow) = self.flows.flows.get(id) else {
                continue;
            };
            let took = |at: UnixMillis| at.0.saturating_sub(actual.arrived_ms);
            let (earned, served) = match flow.phase {
                FlowPhase::Done { at } if took(at) <= actual.objective_ms => (actual.value, 1),
                FlowPhase::Done { at } if took(at) <= actual.objective_ms * 3 => {
                    (actual.late_value, 1)
                }
                // A flow that fails in every attempt is served by the report of its failure.
                FlowPhase::Failed { at } if actual.always_fails => {
                    match took(at) <= actual.objective_ms {
                        true => (actual.value, 1),
                        false => (actual.late_value, 1),
                    }
                }
                FlowPhase::Failed { .. } => {
                    self.metrics.failed += 1;
                    (0.0, 0)
                }
                FlowPhase::Open => {
                    *self.metrics.unfinished.entry(actual.rank).or_default() += 1;
                    (0.0, 0)
                }
                _ => (0.0, 0),
            };
            // A flow that arrived shortly before the end can't be evaluated.
            let is_recent = actual.arrived_ms + actual.objective_ms > self.now_ms;
            if is_recent && earned == 0.0 {
                continue;
            }
            self.metrics.attainable += actual.value;
            self.metrics.earned += earned;
            let rank = self.metrics.ranks.entry(actual.rank).or_default();
            rank.0 += actual.value;
            rank.1 += earned;
            let all = self.metrics.flows.entry(actual.rank).or_default();
            all.0 += 1;
            all.1 += served;
            let of_rank = &sizes[&actual.rank];
            if actual.size >= of_rank[of_rank.len() * 9 / 10] {
                let large = self.metrics.large.entry(actual.rank).or_default();
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
        self.metrics
    }
}

fn queue_key(rank: u32) -> QueueKey {
    QueueKey {
        host: "fake.example".to_owned(),
        prefix: format!("/rank-{rank}/"),
    }
}

fn customer(number: usize) -> CustomerName {
    CustomerName::parse(&format!("customer-{number}")).expect("the name is valid")
}

fn worker(number: usize) -> BackendId {
    BackendId::parse(&format!("worker-{number:03}")).expect("the name is valid")
}
