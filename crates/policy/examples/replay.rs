//! Replays arrivals and ends on a virtual clock through the decisions and two baselines.
//!
//! `cargo run --release -p roseridge-policy --example replay -- SIZE SEED POLICY`, where SIZE is `tuglink`, `benali`,
//! `future` or `all`. Fragmentation is `(F - W) / T`: T is the time integral of all accelerators, F that of
//! the free ones while a gang of 8 or more waits, W that of those in wholly free workers and wholly free
//! racks, each counted half. It is the share of the cluster that stands idle in pieces while a gang
//! waits that needs a worker's or a rack's accelerators together.

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

/// From the places to the start, and from the stop to the end of a gang, in milliseconds.
const PREPARE_MS: u64 = 200;
const STOP_MS: u64 = 800;
/// What a restart from a checkpoint costs, in milliseconds.
const RESTART_MS: u64 = 20_000;
/// Attempts of a job that may fail.
const ATTEMPTS: u32 = 3;
/// Accelerators from which a gang is one of the largest.
const LARGEST: u64 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayEvent {
    Arrive(usize),
    Release(usize, u32),
    End(usize, u32),
    Stopped(usize, u32),
    Cancel,
    Lose(usize),
    Return(usize),
    Tick,
}

#[derive(Debug, Clone, Default)]
struct JobProgress {
    workers: Vec<usize>,
    placed: u64,
    released: Option<u64>,
    stopping: bool,
    epoch: u32,
    done_ms: u64,
    failures: u32,
    first_start: Option<u64>,
    covered: bool,
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
    /// Whether work that fits no place is refused, as `can_ever_start` tells the ledger.
    refuses: bool,
    report: ReplayReport,
}

#[derive(Default)]
struct ReplayReport {
    completion: BTreeMap<String, Vec<u64>>,
    urgent_start: Vec<u64>,
    large_wait: Vec<u64>,
    ended: BTreeMap<&'static str, u32>,
    violations: u64,
    preemptions: u64,
    cpu: Option<Histogram<u64>>,
    free_time: f64,
    whole_time: f64,
    all_time: f64,
}

type DecideFunction = fn(&ClusterView<'_>) -> Vec<PolicyDecision>;

impl Replay<'_> {
    fn run(&mut self, decide: DecideFunction, plans: bool) {
        for (number, job) in self.workload.jobs.iter().enumerate() {
            self.events
                .push(Reverse((job.arrival, ReplayEvent::Arrive(number))));
        }
        for (at, event) in self.workload.faults() {
            self.events.push(Reverse((at, event)));
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > self.workload.horizon {
                break;
            }
            self.measure_room(at);
            self.now = at;
            self.handle(event);
            while self
                .events
                .peek()
                .is_some_and(|Reverse((next, _))| *next == at)
            {
                if let Some(Reverse((_, event))) = self.events.pop() {
                    self.handle(event);
                }
            }
            self.round(decide, plans);
        }
        self.close();
    }

    fn job(&self, number: usize) -> &ReplayJob {
        &self.workload.jobs[number]
    }

    fn view(&self) -> ClusterView<'_> {
        let workers = self.workload.workers.iter().enumerate();
        let job_id = |number: &usize| JobId(*number as u64 + 1);
        ClusterView {
            now: UnixMillis(self.now),
            templates: &self.templates,
            memory: &self.memory,
            workers: workers
                .map(|(number, (name, shape))| WorkerView {
                    name,
                    shape,
                    free: self.free[number].0,
                    free_slots: self.free[number].1,
                    schedulable: self.live[number],
                })
                .collect(),
            waiting: self
                .waiting
                .iter()
                .map(|number| {
                    let job = self.job(*number);
                    WaitingJob {
                        job: job_id(number),
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
                .map(|number| {
                    let (job, progress) = (self.job(*number), &self.jobs[*number]);
                    PlacedGang {
                        job: job_id(number),
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

    fn round(&mut self, decide: DecideFunction, plans: bool) {
        let view = self.view();
        let start = Instant::now();
        let decisions = decide(&view);
        let spent = start.elapsed().as_nanos() as u64;
        drop(view);
        if let Some(cpu) = &mut self.report.cpu {
            let _ = cpu.record(spent / 1_000);
        }
        for decision in decisions {
            self.follow(decision);
        }
        let whole = self.live.iter().all(|live| *live);
        let view = self.view();
        let broken = match plans {
            true => {
                check_reclaim_plan(&view).is_err()
                    || (whole && !view.memory.plan.degraded.is_empty())
            }
            false => whole && !plan_guarantees(&view).degraded.is_empty(),
        };
        drop(view);
        self.report.violations += u64::from(broken);
        let urgent = |n: &usize| self.rule_urgency(*n) == ClassUrgency::Urgent;
        let pause = if self.waiting.iter().any(urgent) {
            500
        } else {
            60_000
        };
        let next = self.now + pause;
        let ticks = |e: &Reverse<(u64, ReplayEvent)>| e.0.0 <= next;
        if !self.waiting.is_empty() && !self.events.peek().is_some_and(ticks) {
            self.events.push(Reverse((next, ReplayEvent::Tick)));
        }
    }

    fn rule_urgency(&self, number: usize) -> ClassUrgency {
        let job = self.job(number);
        self.templates[&job.customer].classes[&job.class].urgency
    }

    fn follow(&mut self, decision: PolicyDecision) {
        match decision {
            PolicyDecision::Plan(plan) => self.memory.plan = plan,
            PolicyDecision::Preempt { job, in_favour_of } => {
                self.memory.record_preemption(job, in_favour_of);
                self.report.preemptions += 1;
                self.stop(job.0 as usize - 1);
            }
            PolicyDecision::Place { job, workers } => {
                let number = job.0 as usize - 1;
                let position = |name| self.workload.workers.iter().position(|(w, _)| w == name);
                let places: Vec<_> = workers.iter().filter_map(position).collect();
                let member = self.job(number).gang.member;
                for place in &places {
                    let (free, slots) = &mut self.free[*place];
                    assert!(free.can_hold(&member) && *slots > 0, "places must be free");
                    *free = free.minus(&member);
                    *slots -= 1;
                }
                self.memory.record_placement(job);
                self.waiting.remove(&number);
                self.placed.insert(number);
                let now = self.now;
                let progress = &mut self.jobs[number];
                progress.workers = places;
                progress.placed = now;
                progress.epoch += 1;
                let event = ReplayEvent::Release(number, progress.epoch);
                self.events.push(Reverse((now + PREPARE_MS, event)));
            }
        }
    }

    fn stop(&mut self, number: usize) {
        let progress = &mut self.jobs[number];
        if !progress.stopping {
            progress.stopping = true;
            progress.epoch += 1;
            let event = ReplayEvent::Stopped(number, progress.epoch);
            self.events.push(Reverse((self.now + STOP_MS, event)));
        }
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(number) if self.refuses && self.job(number).hopeless => {
                self.finish(number, "refused");
            }
            ReplayEvent::Arrive(number) => {
                self.jobs[number].covered = self.is_covered(number);
                self.waiting.insert(number);
            }
            ReplayEvent::Release(number, epoch) if self.jobs[number].epoch == epoch => {
                self.release(number);
            }
            ReplayEvent::End(number, epoch) if self.jobs[number].epoch == epoch => {
                self.end_run(number);
            }
            ReplayEvent::Stopped(number, epoch) if self.jobs[number].epoch == epoch => {
                self.keep_progress(number, 1);
                self.leave(number);
                self.waiting.insert(number);
            }
            ReplayEvent::Cancel => {
                let waiting: Vec<_> = self.waiting.iter().copied().step_by(2).collect();
                for number in waiting {
                    if self.rule_urgency(number) == ClassUrgency::Bulk {
                        self.waiting.remove(&number);
                        self.finish(number, "cancelled");
                    }
                }
            }
            ReplayEvent::Lose(worker) => self.lose(worker),
            ReplayEvent::Return(worker) => self.live[worker] = true,
            _ => {}
        }
    }

    /// An urgent job is covered if its customer's urgent work and work that can't be stopped stays within the
    /// accelerators of the guarantee.
    fn is_covered(&self, number: usize) -> bool {
        let job = self.job(number);
        let template = &self.templates[&job.customer];
        let counts = |n: &&usize| {
            let rule = &template.classes.get(&self.job(**n).class);
            self.job(**n).customer == job.customer
                && rule.is_some_and(|r| {
                    r.urgency == ClassUrgency::Urgent || !(r.checkpointable || r.idempotent)
                })
        };
        let others = self.placed.iter().chain(&self.waiting).filter(counts);
        let used: u64 = others.map(|n| self.job(*n).gang.accelerators()).sum();
        let guaranteed: u64 = template.guaranteed.iter().map(|g| g.accelerators()).sum();
        self.rule_urgency(number) == ClassUrgency::Urgent
            && self.live.iter().all(|live| *live)
            && used + job.gang.accelerators() <= guaranteed
    }

    fn release(&mut self, number: usize) {
        let now = self.now;
        let (arrival, real) = (self.job(number).arrival, self.job(number).real);
        let urgent = self.rule_urgency(number) == ClassUrgency::Urgent;
        let faulty = self.job(number).faulty;
        let bad = self.jobs[number]
            .workers
            .iter()
            .any(|w| self.workload.is_bad(*w, now));
        let progress = &mut self.jobs[number];
        progress.released = Some(now);
        if progress.first_start.is_none() {
            progress.first_start = Some(now);
            if urgent && progress.covered {
                self.report.urgent_start.push(now - arrival);
            }
            if self.workload.jobs[number].gang.accelerators() >= LARGEST {
                self.report.large_wait.push(now - arrival);
            }
        }
        let restart = if progress.done_ms > 0 { RESTART_MS } else { 0 };
        let left = real.saturating_sub(progress.done_ms) + restart;
        let span = if faulty || bad { 1_000 } else { left };
        let event = ReplayEvent::End(number, progress.epoch);
        self.events.push(Reverse((now + span, event)));
    }

    fn end_run(&mut self, number: usize) {
        let now = UnixMillis(self.now);
        let job = self.workload.jobs[number].clone();
        let workers = self.jobs[number].workers.clone();
        let bad = workers
            .iter()
            .copied()
            .find(|w| self.workload.is_bad(*w, self.now));
        let blamed = bad.or(job.faulty.then(|| workers[0]));
        self.leave(number);
        let Some(worker) = blamed else {
            for worker in &workers {
                self.memory
                    .record_success(&self.workload.workers[*worker].0, now);
            }
            let (declared, real) = (DurationMs(job.declared), DurationMs(job.real));
            self.memory
                .record_run(&job.customer, &job.class, declared, real);
            self.finish(number, "done");
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
            .record_failure(name, JobId(number as u64 + 1), "failed", now);
        self.retry(number, true);
    }

    fn retry(&mut self, number: usize, failed: bool) {
        let job = &self.workload.jobs[number];
        let rule = &self.templates[&job.customer].classes[&job.class];
        let progress = &mut self.jobs[number];
        progress.failures += u32::from(failed);
        if !rule.idempotent || progress.failures >= ATTEMPTS {
            return self.finish(number, if failed { "failed" } else { "unknown" });
        }
        let (customer, id) = (job.customer.clone(), JobId(number as u64 + 1));
        self.memory
            .schedule_retry(&customer, id, UnixMillis(self.now));
        self.waiting.insert(number);
    }

    fn keep_progress(&mut self, number: usize, grain_ms: u64) {
        let job = &self.workload.jobs[number];
        let keeps = self.templates[&job.customer].classes[&job.class].checkpointable;
        let progress = &mut self.jobs[number];
        let ran = progress.released.map_or(0, |at| self.now - at);
        progress.done_ms += if keeps { ran / grain_ms * grain_ms } else { 0 };
    }

    /// Frees the places of a gang.
    fn leave(&mut self, number: usize) {
        let member = self.job(number).gang.member;
        let progress = &mut self.jobs[number];
        progress.epoch += 1;
        progress.stopping = false;
        progress.released = None;
        for worker in std::mem::take(&mut progress.workers) {
            let (free, slots) = &mut self.free[worker];
            *free = free.plus(&member);
            *slots += 1;
        }
        self.placed.remove(&number);
    }

    fn lose(&mut self, worker: usize) {
        self.live[worker] = false;
        let hit = |n: &&usize| self.jobs[**n].workers.contains(&worker);
        let lost: Vec<_> = self.placed.iter().filter(hit).copied().collect();
        for number in lost {
            self.keep_progress(number, 600_000);
            self.leave(number);
            self.retry(number, false);
        }
    }

    fn finish(&mut self, number: usize, how: &'static str) {
        self.memory.forget_job(JobId(number as u64 + 1));
        *self.report.ended.entry(how).or_default() += 1;
    }

    fn measure_room(&mut self, until: u64) {
        let span = (until - self.now) as f64;
        self.report.all_time += span * self.workload.workers.len() as f64 * 8.0;
        let large = |n: &usize| !self.job(*n).hopeless && self.job(*n).gang.accelerators() >= 8;
        if !self.waiting.iter().any(large) {
            return;
        }
        let (free, whole) = workload::whole_room(&self.workload.workers, &self.free, &self.live);
        self.report.free_time += free * span;
        self.report.whole_time += whole * span;
    }

    /// Counts what still waits with the wait so far.
    fn close(&mut self) {
        for number in self.waiting.clone() {
            let waited = self.workload.horizon - self.job(number).arrival;
            let hopeless = self.job(number).hopeless;
            let progress = &self.jobs[number];
            match progress.first_start {
                None if progress.covered && !hopeless => self.report.urgent_start.push(waited),
                None if !hopeless && self.job(number).gang.accelerators() >= LARGEST => {
                    self.report.large_wait.push(waited);
                }
                _ => {}
            }
            let how = if hopeless { "hopeless" } else { "waiting" };
            *self.report.ended.entry(how).or_default() += 1;
        }
        *self.report.ended.entry("running").or_default() += self.placed.len() as u32;
    }
}

fn quantile(values: &mut [u64], share: f64) -> f64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    let at = (last as f64 * share).ceil() as usize;
    values.get(at).map_or(f64::NAN, |ms| *ms as f64 / 1_000.0)
}

fn print_report(name: &str, report: &mut ReplayReport) {
    println!("  {name}");
    for (class, times) in &mut report.completion {
        let (median, high, count) = (quantile(times, 0.5), quantile(times, 0.99), times.len());
        println!("    completion {class:8} median {median:9.1} s  p99 {high:9.1} s  of {count}");
    }
    let starts = &mut report.urgent_start;
    let within = starts.iter().filter(|ms| **ms <= 3_500).count() as f64 / starts.len() as f64;
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| quantile(starts, q));
    println!(
        "    covered urgent start p50 {p50:.2} s  p99 {p99:.2} s  p99.9 {p999:.2} s  within 3.5 s {:.3} %  of {}",
        within * 100.0,
        starts.len()
    );
    let waits = &mut report.large_wait;
    let [p50, longest] = [0.5, 1.0].map(|q| quantile(waits, q));
    println!(
        "    largest gangs' wait p50 {p50:.0} s  longest {longest:.0} s  of {}",
        waits.len()
    );
    let broken = report.free_time - report.whole_time;
    let fragmentation = broken / report.all_time;
    let ratio = broken / report.free_time;
    println!(
        "    fragmentation {fragmentation:.4} ({ratio:.3} of what is free)  violations {}  yields {}",
        report.violations, report.preemptions
    );
    println!("    ended {:?}", report.ended);
    if let Some(cpu) = &report.cpu {
        let [p50, p99] = [0.5, 0.99].map(|q| cpu.value_at_quantile(q));
        println!(
            "    decision p50 {p50} us  p99 {p99} us  max {} us  of {}",
            cpu.max(),
            cpu.len()
        );
    }
}

fn replay(workload: &Workload, name: &str, decide: DecideFunction, plans: bool) {
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
        refuses: plans,
        report: ReplayReport::default(),
    };
    replay.report.cpu = Histogram::new(3).ok();
    replay.run(decide, plans);
    print_report(name, &mut replay.report);
}

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let wanted = arguments.first().map_or("all", String::as_str);
    let seed = arguments.get(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    let only = arguments.get(2).map(String::as_str);
    let policies: [(&str, DecideFunction, bool); 3] = [
        ("first-come", baseline::first_come, false),
        ("priorities", baseline::priorities, false),
        ("roseridge", decide, true),
    ];
    for size in ReplaySize::all() {
        if wanted == "all" || wanted == size.name {
            let workload = Workload::new(&size, seed);
            let work = workload.jobs.iter().filter(|j| !j.hopeless && !j.faulty);
            let work: f64 = work
                .map(|j| j.gang.accelerators() as f64 * j.real as f64)
                .sum();
            let load = work / (workload.workers.len() as f64 * 8.0 * workload.horizon as f64);
            println!(
                "{} seed {seed}: {} jobs, load {load:.2}",
                size.name,
                workload.jobs.len()
            );
            for (name, decide, plans) in policies {
                if only.is_none_or(|only| only == name) {
                    replay(&workload, name, decide, plans);
                }
            }
        }
    }
}
