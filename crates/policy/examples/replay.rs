//! Replays a generated workload on a virtual clock with this crate's policy and two baseline
//! policies.
//!
//! `cargo run --release -p roseridge-policy --example replay -- SIZE SEED POLICY`, where SIZE is
//! `tuglink`, `benali`, `future` or `all`, and POLICY is `first-come`, `priorities` or `roseridge`.
//!
//! Fragmentation is `(F - W) / T`. T is the time integral of all accelerators, F that of the free
//! ones while a gang of 8 or more accelerators waits, and W that of the free ones in entirely free
//! workers and entirely free racks, each counted half. It is the share of the cluster that is idle
//! in fragments while a gang waits that needs the accelerators of a whole worker or rack.

#[path = "replay/baseline.rs"]
mod baseline;
#[path = "replay/workload.rs"]
mod workload;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        BinaryHeap, //
    },
    time::Instant,
};

use hdrhistogram::Histogram;
use roseridge_model::{
    ClassUrgency,
    CustomerName,
    CustomerTemplate,
    DurationMs,
    JobId,
    ResourceShape,
    UnixMillis, //
};
use roseridge_policy::{
    ClusterView,
    PlacedGang,
    PolicyDecision,
    PolicyMemory,
    WaitingJob,
    WorkerView,
    check_reclaim_plan,
    decide,
    plan_guarantees, //
};
use workload::{
    ReplayJob,
    ReplaySize,
    Workload, //
};

/// The time from the placement to the start of a gang, in milliseconds.
const PREPARE_MS: u64 = 200;
/// The time from the request to stop a gang to its end, in milliseconds.
const STOP_MS: u64 = 800;
/// The extra run time after a restart from a checkpoint, in milliseconds.
const RESTART_MS: u64 = 20_000;
/// The number of failures after which a job isn't retried.
const MAX_ATTEMPTS: u32 = 3;
/// The number of accelerators from which on a gang counts among the largest in the report.
const LARGEST_GANG_ACCELERATORS: u64 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayEvent {
    Arrive(usize),
    Release(usize, u32),
    End(usize, u32),
    Stopped(usize, u32),
    Cancel,
    LoseWorker(usize),
    RecoverWorker(usize),
    Tick,
}

#[derive(Debug, Clone, Default)]
struct JobProgress {
    workers: Vec<usize>,
    placed: u64,
    released: Option<u64>,
    stopping: bool,
    /// Incremented when the gang is placed, stopped or freed, so that outdated events are ignored.
    epoch: u32,
    done_ms: u64,
    failures: u32,
    first_start: Option<u64>,
    within_guarantee: bool,
}

struct Replay<'w> {
    workload: &'w Workload,
    templates: BTreeMap<CustomerName, CustomerTemplate>,
    memory: PolicyMemory,
    jobs: Vec<JobProgress>,
    waiting: BTreeSet<usize>,
    placed: BTreeSet<usize>,
    live: Vec<bool>,
    free: Vec<(ResourceShape, u16)>,
    now: u64,
    events: BinaryHeap<Reverse<(u64, ReplayEvent)>>,
    /// Whether jobs that can never start are refused on arrival, as the ledger does with
    /// `can_ever_start`.
    rejects_unplaceable: bool,
    report: ReplayReport,
}

#[derive(Default)]
struct ReplayReport {
    completion: BTreeMap<String, Vec<u64>>,
    urgent_start_delays: Vec<u64>,
    large_gang_waits: Vec<u64>,
    ended: BTreeMap<&'static str, u32>,
    violations: u64,
    preemptions: u64,
    /// The durations of the scheduling passes, in microseconds.
    pass_durations_us: Option<Histogram<u64>>,
    /// The time integral of the free accelerators while a large gang waits, in
    /// accelerator-milliseconds.
    free_time: f64,
    /// The part of `free_time` in entirely free workers and racks, each counted half.
    unfragmented_time: f64,
    /// The time integral of all accelerators, in accelerator-milliseconds.
    all_time: f64,
}

type DecideFunction = fn(&ClusterView<'_>) -> Vec<PolicyDecision>;

impl Replay<'_> {
    fn run(&mut self, decide: DecideFunction, uses_plan: bool) {
        for (index, job) in self.workload.jobs.iter().enumerate() {
            self.events
                .push(Reverse((job.arrival, ReplayEvent::Arrive(index))));
        }
        for (at, event) in self.workload.faults() {
            self.events.push(Reverse((at, event)));
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > self.workload.horizon {
                break;
            }
            self.measure_free_capacity(at);
            self.now = at;
            self.handle_event(event);
            while self
                .events
                .peek()
                .is_some_and(|Reverse((next, _))| *next == at)
            {
                if let Some(Reverse((_, event))) = self.events.pop() {
                    self.handle_event(event);
                }
            }
            self.run_pass(decide, uses_plan);
        }
        self.record_unfinished();
    }

    fn job(&self, index: usize) -> &ReplayJob {
        &self.workload.jobs[index]
    }

    fn view(&self) -> ClusterView<'_> {
        let workers = self.workload.workers.iter().enumerate();
        let job_id = |index: &usize| JobId(*index as u64 + 1);
        ClusterView {
            now: UnixMillis(self.now),
            templates: &self.templates,
            memory: &self.memory,
            workers: workers
                .map(|(index, (name, shape))| WorkerView {
                    name,
                    shape,
                    free: self.free[index].0,
                    free_slots: self.free[index].1,
                    schedulable: self.live[index],
                })
                .collect(),
            waiting: self
                .waiting
                .iter()
                .map(|index| {
                    let job = self.job(*index);
                    WaitingJob {
                        job: job_id(index),
                        customer: &job.customer,
                        class: &job.class,
                        rule: &self.templates[&job.customer].classes[&job.class],
                        gang: &job.gang,
                        accepted: UnixMillis(job.arrival),
                        declared_run: Some(DurationMs(job.declared)),
                    }
                })
                .collect(),
            placed: self
                .placed
                .iter()
                .map(|index| {
                    let (job, progress) = (self.job(*index), &self.jobs[*index]);
                    PlacedGang {
                        job: job_id(index),
                        customer: &job.customer,
                        class: &job.class,
                        rule: &self.templates[&job.customer].classes[&job.class],
                        gang: &job.gang,
                        workers: progress.workers.clone(),
                        declared_run: Some(DurationMs(job.declared)),
                        placed: UnixMillis(progress.placed),
                        released: progress.released.is_some(),
                        stopping: progress.stopping,
                    }
                })
                .collect(),
        }
    }

    /// Runs the policy once, applies its decisions, checks that guarantees can be reclaimed, and
    /// schedules the next pass if jobs wait.
    fn run_pass(&mut self, decide: DecideFunction, uses_plan: bool) {
        let view = self.view();
        let start = Instant::now();
        let decisions = decide(&view);
        let elapsed_ns = start.elapsed().as_nanos() as u64;
        drop(view);
        if let Some(pass_durations_us) = &mut self.report.pass_durations_us {
            let _ = pass_durations_us.record(elapsed_ns / 1_000);
        }
        for decision in decisions {
            self.apply_decision(decision);
        }
        let all_live = self.live.iter().all(|live| *live);
        let view = self.view();
        let is_violated = match uses_plan {
            true => {
                check_reclaim_plan(&view).is_err()
                    || (all_live && !view.memory.plan.degraded.is_empty())
            }
            false => all_live && !plan_guarantees(&view).degraded.is_empty(),
        };
        drop(view);
        self.report.violations += u64::from(is_violated);
        let is_urgent = |n: &usize| self.rule_urgency(*n) == ClassUrgency::Urgent;
        let tick_interval_ms = if self.waiting.iter().any(is_urgent) {
            500
        } else {
            60_000
        };
        let next = self.now + tick_interval_ms;
        let is_due = |e: &Reverse<(u64, ReplayEvent)>| e.0.0 <= next;
        if !self.waiting.is_empty() && !self.events.peek().is_some_and(is_due) {
            self.events.push(Reverse((next, ReplayEvent::Tick)));
        }
    }

    fn rule_urgency(&self, index: usize) -> ClassUrgency {
        let job = self.job(index);
        self.templates[&job.customer].classes[&job.class].urgency
    }

    fn apply_decision(&mut self, decision: PolicyDecision) {
        match decision {
            PolicyDecision::Plan(plan) => self.memory.plan = plan,
            PolicyDecision::Preempt { job, in_favour_of } => {
                self.memory.record_preemption(job, in_favour_of);
                self.report.preemptions += 1;
                self.stop(job.0 as usize - 1);
            }
            PolicyDecision::Place { job, workers } => {
                let index = job.0 as usize - 1;
                let position = |name| self.workload.workers.iter().position(|(w, _)| w == name);
                let placement: Vec<_> = workers.iter().filter_map(position).collect();
                let member = self.job(index).gang.member;
                for worker in &placement {
                    let (free, slots) = &mut self.free[*worker];
                    assert!(
                        free.can_hold(&member) && *slots > 0,
                        "a placement must be free"
                    );
                    *free = free.minus(&member);
                    *slots -= 1;
                }
                self.memory.record_placement(job);
                self.waiting.remove(&index);
                self.placed.insert(index);
                let now = self.now;
                let progress = &mut self.jobs[index];
                progress.workers = placement;
                progress.placed = now;
                progress.epoch += 1;
                let event = ReplayEvent::Release(index, progress.epoch);
                self.events.push(Reverse((now + PREPARE_MS, event)));
            }
        }
    }

    fn stop(&mut self, index: usize) {
        let progress = &mut self.jobs[index];
        if !progress.stopping {
            progress.stopping = true;
            progress.epoch += 1;
            let event = ReplayEvent::Stopped(index, progress.epoch);
            self.events.push(Reverse((self.now + STOP_MS, event)));
        }
    }

    fn handle_event(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(index)
                if self.rejects_unplaceable && self.job(index).never_fits =>
            {
                self.finish_job(index, "refused");
            }
            ReplayEvent::Arrive(index) => {
                self.jobs[index].within_guarantee = self.is_within_guarantee(index);
                self.waiting.insert(index);
            }
            ReplayEvent::Release(index, epoch) if self.jobs[index].epoch == epoch => {
                self.release(index);
            }
            ReplayEvent::End(index, epoch) if self.jobs[index].epoch == epoch => {
                self.end_run(index);
            }
            ReplayEvent::Stopped(index, epoch) if self.jobs[index].epoch == epoch => {
                self.save_progress(index, 1);
                self.free_placement(index);
                self.waiting.insert(index);
            }
            ReplayEvent::Cancel => {
                let waiting: Vec<_> = self.waiting.iter().copied().step_by(2).collect();
                for index in waiting {
                    if self.rule_urgency(index) == ClassUrgency::Bulk {
                        self.waiting.remove(&index);
                        self.finish_job(index, "cancelled");
                    }
                }
            }
            ReplayEvent::LoseWorker(worker) => self.lose_worker(worker),
            ReplayEvent::RecoverWorker(worker) => self.live[worker] = true,
            _ => {}
        }
    }

    /// Returns whether an urgent job is within its customer's guarantee: the customer's urgent jobs
    /// and jobs that can't be preempted don't exceed the guaranteed accelerators, and all workers
    /// are live.
    fn is_within_guarantee(&self, index: usize) -> bool {
        let job = self.job(index);
        let template = &self.templates[&job.customer];
        let counts_against_guarantee = |n: &&usize| {
            let rule = &template.classes.get(&self.job(**n).class);
            self.job(**n).customer == job.customer
                && rule.is_some_and(|r| {
                    r.urgency == ClassUrgency::Urgent || !(r.checkpointable || r.idempotent)
                })
        };
        let others = self
            .placed
            .iter()
            .chain(&self.waiting)
            .filter(counts_against_guarantee);
        let used: u64 = others.map(|n| self.job(*n).gang.accelerators()).sum();
        let guaranteed: u64 = template.guaranteed.iter().map(|g| g.accelerators()).sum();
        self.rule_urgency(index) == ClassUrgency::Urgent
            && self.live.iter().all(|live| *live)
            && used + job.gang.accelerators() <= guaranteed
    }

    fn release(&mut self, index: usize) {
        let now = self.now;
        let (arrival, real) = (self.job(index).arrival, self.job(index).real);
        let urgent = self.rule_urgency(index) == ClassUrgency::Urgent;
        let faulty = self.job(index).faulty;
        let has_failing_worker = self.jobs[index]
            .workers
            .iter()
            .any(|w| self.workload.is_failing(*w, now));
        let progress = &mut self.jobs[index];
        progress.released = Some(now);
        if progress.first_start.is_none() {
            progress.first_start = Some(now);
            if urgent && progress.within_guarantee {
                self.report.urgent_start_delays.push(now - arrival);
            }
            if self.workload.jobs[index].gang.accelerators() >= LARGEST_GANG_ACCELERATORS {
                self.report.large_gang_waits.push(now - arrival);
            }
        }
        let restart = if progress.done_ms > 0 { RESTART_MS } else { 0 };
        let remaining_ms = real.saturating_sub(progress.done_ms) + restart;
        let duration = if faulty || has_failing_worker {
            1_000
        } else {
            remaining_ms
        };
        let event = ReplayEvent::End(index, progress.epoch);
        self.events.push(Reverse((now + duration, event)));
    }

    fn end_run(&mut self, index: usize) {
        let now = UnixMillis(self.now);
        let job = self.workload.jobs[index].clone();
        let workers = self.jobs[index].workers.clone();
        let failing_worker = workers
            .iter()
            .copied()
            .find(|w| self.workload.is_failing(*w, self.now));
        let blamed = failing_worker.or(job.faulty.then(|| workers[0]));
        self.free_placement(index);
        let Some(worker) = blamed else {
            for worker in &workers {
                self.memory
                    .record_success(&self.workload.workers[*worker].0, now);
            }
            let (declared, real) = (DurationMs(job.declared), DurationMs(job.real));
            self.memory
                .record_run(&job.customer, &job.class, declared, real);
            self.finish_job(index, "done");
            let class = self
                .report
                .completion
                .entry(job.class.to_string())
                .or_default();
            class.push(self.now - job.arrival);
            return;
        };
        let name = &self.workload.workers[worker].0;
        self.memory
            .record_failure(name, JobId(index as u64 + 1), "failed", now);
        self.retry(index, true);
    }

    fn retry(&mut self, index: usize, failed: bool) {
        let job = &self.workload.jobs[index];
        let rule = &self.templates[&job.customer].classes[&job.class];
        let progress = &mut self.jobs[index];
        progress.failures += u32::from(failed);
        if !rule.idempotent || progress.failures >= MAX_ATTEMPTS {
            return self.finish_job(index, if failed { "failed" } else { "unknown" });
        }
        let (customer, id) = (job.customer.clone(), JobId(index as u64 + 1));
        self.memory
            .schedule_retry(&customer, id, UnixMillis(self.now));
        self.waiting.insert(index);
    }

    /// Adds the time that a checkpointable gang has run, rounded down to the checkpoint interval,
    /// to its progress.
    fn save_progress(&mut self, index: usize, checkpoint_interval_ms: u64) {
        let job = &self.workload.jobs[index];
        let is_checkpointable = self.templates[&job.customer].classes[&job.class].checkpointable;
        let progress = &mut self.jobs[index];
        let ran = progress.released.map_or(0, |at| self.now - at);
        progress.done_ms += if is_checkpointable {
            ran / checkpoint_interval_ms * checkpoint_interval_ms
        } else {
            0
        };
    }

    /// Frees the resources of a gang.
    fn free_placement(&mut self, index: usize) {
        let member = self.job(index).gang.member;
        let progress = &mut self.jobs[index];
        progress.epoch += 1;
        progress.stopping = false;
        progress.released = None;
        for worker in std::mem::take(&mut progress.workers) {
            let (free, slots) = &mut self.free[worker];
            *free = free.plus(&member);
            *slots += 1;
        }
        self.placed.remove(&index);
    }

    fn lose_worker(&mut self, worker: usize) {
        self.live[worker] = false;
        let affected = |n: &&usize| self.jobs[**n].workers.contains(&worker);
        let lost: Vec<_> = self.placed.iter().filter(affected).copied().collect();
        for index in lost {
            self.save_progress(index, 600_000);
            self.free_placement(index);
            self.retry(index, false);
        }
    }

    fn finish_job(&mut self, index: usize, outcome: &'static str) {
        self.memory.forget_job(JobId(index as u64 + 1));
        *self.report.ended.entry(outcome).or_default() += 1;
    }

    fn measure_free_capacity(&mut self, until: u64) {
        let duration = (until - self.now) as f64;
        self.report.all_time += duration * self.workload.workers.len() as f64 * 8.0;
        let is_large =
            |n: &usize| !self.job(*n).never_fits && self.job(*n).gang.accelerators() >= 8;
        if !self.waiting.iter().any(is_large) {
            return;
        }
        let (free, unfragmented) =
            workload::unfragmented_capacity(&self.workload.workers, &self.free, &self.live);
        self.report.free_time += free * duration;
        self.report.unfragmented_time += unfragmented * duration;
    }

    /// Adds the jobs that are still waiting to the report, with the time they have waited so far.
    fn record_unfinished(&mut self) {
        for index in self.waiting.clone() {
            let waited = self.workload.horizon - self.job(index).arrival;
            let never_fits = self.job(index).never_fits;
            let progress = &self.jobs[index];
            match progress.first_start {
                None if progress.within_guarantee && !never_fits => {
                    self.report.urgent_start_delays.push(waited)
                }
                None if !never_fits
                    && self.job(index).gang.accelerators() >= LARGEST_GANG_ACCELERATORS =>
                {
                    self.report.large_gang_waits.push(waited);
                }
                _ => {}
            }
            let outcome = if never_fits { "hopeless" } else { "waiting" };
            *self.report.ended.entry(outcome).or_default() += 1;
        }
        *self.report.ended.entry("running").or_default() += self.placed.len() as u32;
    }
}

/// Returns a quantile of times in milliseconds, in seconds.
fn quantile(values: &mut [u64], share: f64) -> f64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * share).ceil() as usize;
    values
        .get(index)
        .map_or(f64::NAN, |ms| *ms as f64 / 1_000.0)
}

fn print_report(name: &str, report: &mut ReplayReport) {
    println!("  {name}");
    for (class, times) in &mut report.completion {
        let (median, high, count) = (quantile(times, 0.5), quantile(times, 0.99), times.len());
        println!("    completion {class:8} median {median:9.1} s  p99 {high:9.1} s  of {count}");
    }
    let starts = &mut report.urgent_start_delays;
    let within = starts.iter().filter(|ms| **ms <= 3_500).count() as f64 / starts.len() as f64;
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| quantile(starts, q));
    println!(
        "    urgent start within guarantee p50 {p50:.2} s  p99 {p99:.2} s  p99.9 {p999:.2} s  within 3.5 s {:.3} %  of {}",
        within * 100.0,
        starts.len()
    );
    let waits = &mut report.large_gang_waits;
    let [p50, longest] = [0.5, 1.0].map(|q| quantile(waits, q));
    println!(
        "    wait of largest gangs p50 {p50:.0} s  longest {longest:.0} s  of {}",
        waits.len()
    );
    let fragmented = report.free_time - report.unfragmented_time;
    let fragmentation = fragmented / report.all_time;
    let ratio = fragmented / report.free_time;
    println!(
        "    fragmentation {fragmentation:.4} ({ratio:.3} of the free accelerators)  violations {}  preemptions {}",
        report.violations, report.preemptions
    );
    println!("    ended {:?}", report.ended);
    if let Some(pass_durations_us) = &report.pass_durations_us {
        let [p50, p99] = [0.5, 0.99].map(|q| pass_durations_us.value_at_quantile(q));
        println!(
            "    decision p50 {p50} us  p99 {p99} us  max {} us  of {}",
            pass_durations_us.max(),
            pass_durations_us.len()
        );
    }
}

fn replay(workload: &Workload, name: &str, decide: DecideFunction, uses_plan: bool) {
    let templates = workload
        .templates
        .iter()
        .map(|t| (t.customer.clone(), t.clone()));
    let mut replay = Replay {
        workload,
        templates: templates.collect(),
        memory: PolicyMemory::default(),
        jobs: vec![JobProgress::default(); workload.jobs.len()],
        waiting: BTreeSet::new(),
        placed: BTreeSet::new(),
        live: vec![true; workload.workers.len()],
        free: workload
            .workers
            .iter()
            .map(|(_, w)| (w.total, w.slots))
            .collect(),
        now: 0,
        events: BinaryHeap::new(),
        rejects_unplaceable: uses_plan,
        report: ReplayReport::default(),
    };
    replay.report.pass_durations_us = Histogram::new(3).ok();
    replay.run(decide, uses_plan);
    print_report(name, &mut replay.report);
}

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let requested_size = arguments.first().map_or("all", String::as_str);
    let seed = arguments.get(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    let only_policy = arguments.get(2).map(String::as_str);
    let policies: [(&str, DecideFunction, bool); 3] = [
        ("first-come", baseline::first_come_first_served, false),
        ("priorities", baseline::priorities, false),
        ("roseridge", decide, true),
    ];
    for size in ReplaySize::all() {
        if requested_size == "all" || requested_size == size.name {
            let workload = Workload::new(&size, seed);
            let work = workload.jobs.iter().filter(|j| !j.never_fits && !j.faulty);
            let work: f64 = work
                .map(|j| j.gang.accelerators() as f64 * j.real as f64)
                .sum();
            let load = work / (workload.workers.len() as f64 * 8.0 * workload.horizon as f64);
            println!(
                "{} seed {seed}: {} jobs, load {load:.2}",
                size.name,
                workload.jobs.len()
            );
            for (name, decide, uses_plan) in policies {
                if only_policy.is_none_or(|policy| policy == name) {
                    replay(&workload, name, decide, uses_plan);
                }
            }
        }
    }
}
