//! Measures how memory, snapshot size and decision time of the ledger grow with jobs, tasks and
//! workers.
//!
//! Run it with `cargo run --release -p roseridge-faults --example ledger_slopes`.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    hint::black_box,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::Instant,
};

use roseridge_faults::{
    LineFit,
    min_median_max, //
};
use roseridge_ledger::{
    CommandOutcome,
    LedgerChange,
    LedgerCommand,
    LedgerState,
    TemplateChange, //
};
use roseridge_model::{
    AdjacencyRule,
    AnswerBody,
    AttemptNumber,
    ClassName,
    ConfigRevision,
    CustomerName,
    DomainName,
    GangShape,
    IncarnationId,
    JobId,
    JobSpec,
    RackName,
    RequestKey,
    ResourceShape,
    TaskId,
    TaskOutcome,
    TaskPhase,
    TaskStatus,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use roseridge_policy::{
    PolicyDecision,
    decide, //
};
use roseridge_settings::default_templates;

/// An allocator that counts the bytes currently allocated.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the allocator's contract.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the allocator's contract.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The size of a job's payload and of its answer, in bytes.
const PAYLOAD_BYTES: usize = 200;
/// The number of tasks on a worker, which corresponds to 8,500 tasks on 590 workers.
const TASKS_PER_WORKER: usize = 14;
/// The number of members of a gang, which corresponds to 8,500 tasks of about 320 jobs.
const GANG_MEMBERS: usize = 28;
/// The number of jobs that wait while decisions are timed.
const WAITING_JOBS: usize = 20;
/// The number of repetitions of each timed step.
const REPETITIONS: usize = 5;
/// The number of runs for each size.
const RUNS: usize = 3;

/// Builds a ledger by applying changes to it, as the leader does.
struct LedgerBuilder {
    ledger: LedgerState,
    index: u64,
}

impl LedgerBuilder {
    /// Creates a ledger with the default templates, without guarantees and with high limits.
    fn new() -> Self {
        let mut builder = Self {
            ledger: LedgerState::default(),
            index: 0,
        };
        for (base, template) in (0..).zip(default_templates()) {
            builder.apply(LedgerChange::ChangeTemplate(TemplateChange {
                request: key(&format!("first-{base}")),
                base: ConfigRevision(base),
                template: roseridge_model::CustomerTemplate {
                    queue_limit: 100_000,
                    rate_per_second: 100_000,
                    guaranteed: Vec::new(),
                    ..template
                },
            }));
        }
        builder
    }

    /// Applies a change, 20 ms after the one before.
    fn apply(&mut self, change: LedgerChange) -> CommandOutcome {
        self.index += 1;
        let at = UnixMillis(1_000_000 + 20 * self.index);
        self.ledger.apply(self.index, LedgerCommand { at, change })
    }

    /// Announces workers with 16 accelerators each.
    fn add_workers(&mut self, count: usize) {
        for number in 0..count {
            self.apply(LedgerChange::AnnounceWorker {
                worker: worker(number),
                incarnation: IncarnationId(1),
                shape: WorkerShape {
                    domain: DomainName::parse(&format!("domain-{}", number % 8)).expect("valid"),
                    rack: RackName::parse(&format!("rack-{}", number / 3)).expect("valid"),
                    total: ResourceShape {
                        cores: 64,
                        memory_mib: 130_000,
                        accelerators: 16,
                    },
                    slots: 16,
                    connections: 60,
                },
                found: Vec::new(),
                leaving: false,
            });
        }
    }

    /// Submits a job and returns its identifier.
    fn submit(&mut self, number: usize, members: usize, accelerators: u32) -> JobId {
        let outcome = self.apply(LedgerChange::Submit {
            customer: CustomerName::parse("tuglink").expect("valid"),
            key: key(&format!("request-number-{number}")),
            spec: JobSpec {
                class: ClassName::parse("study").expect("valid"),
                gang: GangShape {
                    members: members as u16,
                    member: ResourceShape {
                        cores: 2,
                        memory_mib: 1_024,
                        accelerators,
                    },
                    adjacency: AdjacencyRule::Any,
                },
                declared_run_ms: None,
                payload: "p".repeat(PAYLOAD_BYTES),
            },
        });
        match outcome {
            CommandOutcome::Accepted { job } => job,
            other => panic!("the job was not accepted: {other:?}"),
        }
    }

    /// Places a job on consecutive workers from `first_worker` on, and starts it by reporting its
    /// members as held.
    fn start(&mut self, job: JobId, members: usize, workers: usize, first_worker: usize) {
        let worker_numbers: Vec<_> = (0..members).map(|m| (first_worker + m) % workers).collect();
        self.apply(LedgerChange::Decide(vec![PolicyDecision::Place {
            job,
            workers: worker_numbers.iter().map(|p| worker(*p)).collect(),
        }]));
        for (member, worker_number) in worker_numbers.iter().enumerate() {
            self.report(job, member, *worker_number, TaskPhase::Held);
        }
    }

    /// Reports the phase of one member from a worker.
    fn report(&mut self, job: JobId, member: usize, worker_number: usize, phase: TaskPhase) {
        let task = TaskId {
            job,
            attempt: AttemptNumber(1),
            member: member as u16,
        };
        self.apply(LedgerChange::Report {
            worker: worker(worker_number),
            incarnation: IncarnationId(1),
            statuses: vec![TaskStatus { task, phase }],
            leaving: false,
        });
    }
}

fn key(text: &str) -> RequestKey {
    RequestKey::parse(text).expect("the key is valid")
}

fn worker(number: usize) -> WorkerName {
    WorkerName::parse(&format!("worker-{number:04}")).expect("the name is valid")
}

/// Returns a ledger with jobs that have ended and whose answers are retained.
fn ledger_with_ended_jobs(count: usize) -> LedgerState {
    let mut builder = LedgerBuilder::new();
    builder.add_workers(1);
    for number in 0..count {
        let job = builder.submit(number, 1, 1);
        builder.start(job, 1, 1, 0);
        let text = "a".repeat(PAYLOAD_BYTES);
        let body = AnswerBody { crc32: 0, text };
        builder.report(job, 0, 0, TaskPhase::Ended(TaskOutcome::Done(body)));
    }
    builder.ledger
}

/// Returns a ledger whose workers are filled by gangs, with some more jobs that wait.
fn ledger_with_running_tasks(workers: usize, waiting: usize) -> LedgerState {
    let mut builder = LedgerBuilder::new();
    builder.add_workers(workers);
    let gangs = workers * TASKS_PER_WORKER / GANG_MEMBERS;
    for number in 0..gangs {
        let job = builder.submit(number, GANG_MEMBERS, 1);
        builder.start(job, GANG_MEMBERS, workers, number * GANG_MEMBERS);
    }
    for number in 0..waiting {
        builder.submit(gangs + number, 1, 8);
    }
    builder.ledger
}

/// Builds a ledger and returns it with the number of bytes that it allocated.
fn measure_allocation(build: impl FnOnce() -> LedgerState) -> (LedgerState, f64) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let ledger = build();
    let after = ALLOCATED.load(Ordering::Relaxed);
    (ledger, (after - before) as f64)
}

/// Returns the minimum duration of a step over all repetitions, in microseconds.
fn measure_micros(step: impl Fn()) -> f64 {
    let times = (0..REPETITIONS).map(|_| {
        let started = Instant::now();
        step();
        started.elapsed().as_secs_f64() * 1e6
    });
    times.fold(f64::INFINITY, f64::min)
}

/// Prints a line fitted to the points, and minimum, median and maximum for each size.
fn print_fit(what: &str, points: &[(f64, f64)]) {
    let fit = LineFit::from_points(points);
    let sizes: std::collections::BTreeSet<_> = points.iter().map(|p| p.0 as u64).collect();
    println!(
        "{what}: slope {:.4} +- {:.4}, base {:.1}, R2 {:.5}",
        fit.slope, fit.slope_error, fit.intercept, fit.r_squared
    );
    for size in sizes {
        let values: Vec<_> = points
            .iter()
            .filter(|p| p.0 as u64 == size)
            .map(|p| p.1)
            .collect();
        let (low, middle, high) = min_median_max(&values);
        println!("    {size}: {low:.1} .. {middle:.1} .. {high:.1}");
    }
}

fn main() {
    let mut memory = Vec::new();
    let mut snapshot = Vec::new();
    let mut encode = Vec::new();
    let mut decode = Vec::new();
    for count in [100, 1_000, 3_000, 10_000] {
        for _ in 0..RUNS {
            let (ledger, bytes) = measure_allocation(|| ledger_with_ended_jobs(count));
            let encoded = postcard::to_stdvec(&ledger).expect("the ledger can be encoded");
            memory.push((count as f64, bytes));
            snapshot.push((count as f64, encoded.len() as f64));
            encode.push((
                count as f64,
                measure_micros(|| drop(black_box(postcard::to_stdvec(&ledger)))),
            ));
            decode.push((
                count as f64,
                measure_micros(|| drop(black_box(postcard::from_bytes::<LedgerState>(&encoded)))),
            ));
        }
    }
    print_fit("memory of an ended job, bytes", &memory);
    print_fit("snapshot of an ended job, bytes", &snapshot);
    print_fit("encoding an ended job, us", &encode);
    print_fit("decoding an ended job, us", &decode);

    let mut memory = Vec::new();
    let mut snapshot = Vec::new();
    let mut decisions = Vec::new();
    let mut idle = Vec::new();
    let mut reports = Vec::new();
    for workers in [10, 40, 160, 590] {
        for _ in 0..RUNS {
            let (ledger, bytes) = measure_allocation(|| ledger_with_running_tasks(workers, 0));
            let tasks = ledger
                .workers
                .values()
                .map(|w| w.tasks.len())
                .sum::<usize>() as f64;
            memory.push((tasks, bytes));
            let encoded = postcard::to_stdvec(&ledger).expect("the ledger can be encoded");
            snapshot.push((tasks, encoded.len() as f64));
            let now = UnixMillis(ledger.now.0 + 1_000);
            idle.push((
                workers as f64,
                measure_micros(|| drop(black_box(decide(&ledger.view(now))))),
            ));
            let busy = ledger_with_running_tasks(workers, WAITING_JOBS);
            decisions.push((
                workers as f64,
                measure_micros(|| drop(black_box(decide(&busy.view(now))))),
            ));
            reports.push((workers as f64, measure_report_micros(ledger)));
        }
    }
    print_fit(
        "memory of a running task with its share of job and worker, bytes",
        &memory,
    );
    print_fit("snapshot of a running task, bytes", &snapshot);
    print_fit("decision with no job waiting, us a worker", &idle);
    print_fit("decision with 20 jobs waiting, us a worker", &decisions);
    print_fit("applying one report, us a worker", &reports);
}

/// Returns the mean time to apply one report, in microseconds.
fn measure_report_micros(ledger: LedgerState) -> f64 {
    let task = ledger
        .workers
        .values()
        .find_map(|w| w.tasks.first().copied());
    let task = task.expect("a task runs");
    let mut builder = LedgerBuilder {
        index: ledger.applied,
        ledger,
    };
    let worker_number = usize::from(task.member);
    let count = 1_000;
    let started = Instant::now();
    for _ in 0..count {
        builder.report(
            task.job,
            usize::from(task.member),
            worker_number,
            TaskPhase::Running,
        );
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
