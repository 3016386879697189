//! The load of a simulated installation: its flows, their customers and the injected faults.

use rand::RngExt;
use roseridge_model::{
    DurationMs,
    FlowId,
    FlowSpec,
    StepSpec,
    TaskKey,
    TaskShape, //
};

use super::{
    ARRIVALS_MS,
    START_MS,
    SiteSimulation,
    accounting::CORES_PER_ACCELERATOR, //
};

/// The factor by which a long run exceeds the usual run time.
const LONG_RUN_FACTOR: f64 = 7.0;

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
    /// The speeds of the workers, in turn; work takes the reciprocal of its time.
    pub(crate) speeds: Vec<f64>,
    /// The number of failure domains, over which the racks are distributed.
    pub(crate) domains: usize,
    pub(crate) customers: Vec<CustomerLoad>,
    pub(crate) wave: Option<DemandWave>,
    /// The spread of the run times within a step.
    pub(crate) step_spread: f64,
    /// The share of the tasks, and of the gangs, that take [`LONG_RUN_FACTOR`] times as long.
    pub(crate) long_run_probability: f64,
    /// The time that a run takes to resume from a checkpoint, in milliseconds.
    pub(crate) restore_ms: u64,
    /// Whether flows are refused by the admission check; otherwise all are accepted.
    pub(crate) has_admission: bool,
    /// Whether a gang advances at the pace of its slowest member; otherwise its first member that
    /// completes its work ends it.
    pub(crate) has_paced_gangs: bool,
    /// Whether scheduling passes run only after a change and at an interval; otherwise there is one in
    /// every step of the clock.
    pub(crate) has_sparse_passes: bool,
}

/// A customer's share of the demand and its guarantee.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CustomerLoad {
    /// The share of the flows, relative to the other customers.
    pub(crate) demand: f64,
    /// The number of guaranteed accelerators.
    pub(crate) guaranteed: u32,
}

/// A periodic change of the arrival rates.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandWave {
    pub(crate) period_ms: f64,
    /// The maximum deviation from the mean rate, as a share of it.
    pub(crate) swing: f64,
}

impl DemandWave {
    /// Returns the factor of the arrival rates at a time since the start.
    fn factor(&self, at_ms: f64) -> f64 {
        1.0 + self.swing * (std::f64::consts::TAU * at_ms / self.period_ms).sin()
    }
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

/// The actual properties of a flow, which the scheduler doesn't know.
#[derive(Debug, Clone)]
pub(super) struct ActualFlow {
    pub(super) rank: u32,
    pub(super) value: f64,
    pub(super) late_value: f64,
    /// The number of its customer.
    pub(super) customer: usize,
    /// The work of each task in each step, in milliseconds.
    pub(super) work_ms: Vec<Vec<u64>>,
    pub(super) objective_ms: u64,
    pub(super) arrived_ms: u64,
    /// The factor by which the flow's size scales the value of its class.
    pub(super) size: f64,
    pub(super) always_fails: bool,
    pub(super) cancel_at_ms: Option<u64>,
    /// Whether the flow has been within its customer's guarantee since it was accepted.
    pub(super) can_reclaim: bool,
}

impl ActualFlow {
    /// Returns the work of a task, in milliseconds.
    pub(super) fn task_work_ms(&self, task: TaskKey) -> u64 {
        self.work_ms[usize::from(task.step)][usize::from(task.index)]
    }
}

impl SiteSimulation<'_> {
    /// Draws the arrival times and properties of all flows, in the order of arrival.
    pub(super) fn draw_arrivals(&mut self) -> Vec<(u64, (FlowId, FlowSpec))> {
        let mut arrivals = Vec::new();
        let mut number = 0;
        for class in self.site.classes.clone() {
            let mut at = 0.0;
            while at < ARRIVALS_MS as f64 {
                let mut rate = class.arrivals_per_second;
                if let Some(wave) = &self.site.wave {
                    rate *= wave.factor(at);
                }
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
            work_ms.push(self.draw_task_work(work, count, gang));
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
        let sizes = work_ms
            .iter()
            .map(|works| works.iter().sum::<u64>() as f64 / 1_000.0 * cores);
        let size: f64 = sizes.sum();
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
        let longest = work_ms
            .iter()
            .map(|works| works.iter().max().copied().unwrap_or(0));
        let path_ms: u64 = waves.zip(longest).map(|(waves, work)| waves * work).sum();
        let is_cancelled = self.rng.random_bool(class.cancel_probability);
        let actual = ActualFlow {
            rank: class.rank,
            customer: 0,
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

    /// Draws the work of each task of a step, in milliseconds. The members of a gang have the same work.
    fn draw_task_work(&mut self, work_ms: f64, count: u16, gang: bool) -> Vec<u64> {
        let (spread, probability) = (self.site.step_spread, self.site.long_run_probability);
        let mut draw_one = || {
            let mut work = work_ms;
            if spread > 0.0 {
                work = self.draw((work_ms, spread, f64::INFINITY));
            }
            if probability > 0.0 && self.rng.random_bool(probability) {
                work *= LONG_RUN_FACTOR;
            }
            work as u64
        };
        match gang {
            true => vec![draw_one(); usize::from(count)],
            false => (0..count).map(|_| draw_one()).collect(),
        }
    }

    /// Draws a customer by the customers' shares of the demand.
    pub(super) fn draw_customer(&mut self) -> usize {
        let customers = &self.site.customers;
        let is_even = customers.iter().all(|c| c.demand == customers[0].demand);
        if is_even {
            return self.rng.random_range(0..customers.len());
        }
        let total: f64 = customers.iter().map(|c| c.demand).sum();
        let mut drawn = self.rng.random_range(0.0..total);
        let found = customers.iter().position(|customer| {
            drawn -= customer.demand;
            drawn < 0.0
        });
        found.unwrap_or(customers.len() - 1)
    }
}
