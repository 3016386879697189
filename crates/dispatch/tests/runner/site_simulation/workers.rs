//! The modelled workers: their speeds and faults, their runs, and their reports.

use std::collections::BTreeSet;

use rand::RngExt;
use roseridge_dispatch::{
    ProgressRate,
    ProgressReading, //
};
use roseridge_flow::{
    FlowChange,
    RunCompletion,
    RunOutcome, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    FastMap,
    FlowId,
    RunKey,
    TaskKey,
    TaskShape,
    UnixMillis, //
};

use super::{
    Fault,
    START_MS,
    SiteSimulation,
    accounting::CORES_PER_ACCELERATOR,
    worker, //
};

/// The time from the end of a run until it is applied, in milliseconds: a commit and the network.
const COMMIT_MS: u64 = 20;
/// The time that a stop takes on a worker, in milliseconds.
const STOP_MS: u64 = 250;
/// The work between two checkpoints, in milliseconds.
const CHECKPOINT_MS: u64 = 500;
/// The slowdown of a rack-bound gang that is placed in several racks.
const CROSS_RACK_FACTOR: u64 = 3;
/// The time between two reports of a worker's agent, in milliseconds.
const REPORT_MS: u64 = 600;
/// The time from a progress reading until it reaches the leader, in milliseconds.
const PROGRESS_DELAY_MS: u64 = 250;

/// The runs of a gang: its flow, step and run.
type GangKey = (FlowId, u16, u32);

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
    is_gang: bool,
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
pub(super) struct ActualWorker {
    runs: Vec<ActualRun>,
    /// The number of the last reported completion.
    last_end: u64,
}

impl SiteSimulation<'_> {
    /// Returns whether the current time is within a period after the start of the clock.
    pub(super) fn is_within(&self, start_ms: u64, duration_ms: u64) -> bool {
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

    /// Returns the current speed of a worker relative to the usual one.
    pub(super) fn pace(&self, number: usize) -> f64 {
        let speeds = &self.site.speeds;
        let speed = speeds[number % speeds.len()];
        self.slowdown(number)
            .map_or(0.0, |factor| speed / factor as f64)
    }

    /// Returns the pace of each running gang, which is that of its slowest member.
    fn gang_paces(&self) -> FastMap<GangKey, f64> {
        let mut paces = FastMap::default();
        if !self.site.has_paced_gangs {
            return paces;
        }
        for (number, worker) in self.workers.values().enumerate() {
            let pace = self.pace(number);
            for run in worker.runs.iter().filter(|run| run.is_gang) {
                let gang_pace: &mut f64 = paces.entry(gang_key(run.key)).or_insert(pace);
                *gang_pace = gang_pace.min(pace);
            }
        }
        paces
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
    pub(super) fn is_partitioned(&self, number: usize) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Partition {
                workers,
                start_ms,
                duration_ms,
            } => number + workers >= self.site.workers && self.is_within(*start_ms, *duration_ms),
            _ => false,
        })
    }

    /// Gives leaving workers a notice of two seconds, and removes them four seconds after its start.
    pub(super) fn apply_departures(&mut self) {
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
    pub(super) fn run_workers(&mut self) {
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        let gang_paces = self.gang_paces();
        for (number, id) in ids.iter().enumerate() {
            let pace = self.pace(number);
            let is_failing = self.is_failing(number);
            let mut worker = self.workers.remove(id).unwrap_or_default();
            let runs = std::mem::take(&mut worker.runs);
            for mut run in runs {
                let gang_pace = gang_paces.get(&gang_key(run.key)).copied();
                let pace = gang_pace.unwrap_or(pace);
                let ended = self.advance_run(&mut run, pace, is_failing);
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
    fn advance_run(&self, run: &mut ActualRun, pace: f64, is_failing: bool) -> Option<RunOutcome> {
        if run.stop_at_ms.is_some_and(|at| self.now_ms >= at) {
            return Some(RunOutcome::Stopped);
        }
        if !run.is_running {
            return None;
        }
        let step = match run.is_cross_rack {
            _ if pace <= 0.0 => return None,
            true => 10.0 * pace / CROSS_RACK_FACTOR as f64,
            false => 10.0 * pace,
        };
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
                self.accounting.metrics.wasted_core_seconds += lost / 1_000.0 * cores;
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
        let running: FastMap<GangKey, usize> = {
            let mut counts = FastMap::default();
            for run in self.workers.values().flat_map(|w| &w.runs) {
                let key = gang_key(run.key);
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
                let key = gang_key(run.key);
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

    /// Reads the progress of the runs on every worker that is due to report, and delivers the readings of
    /// earlier reports to the leader.
    pub(super) fn report_progress(&mut self) {
        for (number, worker) in self.workers.values().enumerate() {
            let is_due = (self.now_ms + number as u64 * 50).is_multiple_of(REPORT_MS);
            if !is_due || self.is_partitioned(number) {
                continue;
            }
            for run in &worker.runs {
                let task = run.key.task;
                let total = self.actual_flows[&task.flow].task_work_ms(task) as f64;
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

    /// Starts and stops runs on the reachable workers as the state orders.
    pub(super) fn execute_orders(&mut self) {
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
        let total_ms = actual.task_work_ms(key.task) as f64;
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
        let restore = if saved > 0 {
            self.site.restore_ms as f64
        } else {
            0.0
        };
        let fails_now =
            always_fails || (key.task.index == 0 && self.rng.random_bool(failure_probability));
        ActualRun {
            key,
            shape,
            remaining_ms: (total_ms - saved as f64).max(10.0) + restore,
            worked_ms: 0.0,
            ready_ms: self.now_ms,
            is_gang,
            is_running: !is_gang,
            is_cross_rack: false,
            fails_after_ms: fails_now.then(|| total_ms * self.rng.random_range(0.1..0.9)),
            stop_at_ms: None,
        }
    }

    /// Starts the gangs whose members are all placed.
    fn start_gangs(&mut self) {
        let mut placed: FastMap<GangKey, BTreeSet<(String, u16)>> = FastMap::default();
        for (id, worker) in &self.workers {
            let rack = self.flows.backends[id]
                .profile
                .rack
                .as_ref()
                .map_or(String::new(), ToString::to_string);
            for run in worker.runs.iter().filter(|run| !run.is_running) {
                let key = gang_key(run.key);
                let members = placed.entry(key).or_default();
                members.insert((rack.clone(), run.key.task.index));
            }
        }
        for worker in self.workers.values_mut() {
            for run in worker.runs.iter_mut().filter(|run| !run.is_running) {
                let key = gang_key(run.key);
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
}

/// Returns the key of the gang that a run would belong to.
fn gang_key(run: RunKey) -> GangKey {
    (run.task.flow, run.task.step, run.run)
}
