//! The metrics that the leader takes from the ledger.

use std::{
    collections::BTreeMap,
    ops::Bound, //
};

use roseridge_events::{
    FlowMetrics,
    MetricSet, //
};
use roseridge_flow::{
    BackendStatus,
    FlowState, //
};
use roseridge_ledger::{
    JobRecord,
    JobState,
    LedgerChange,
    LedgerState, //
};
use roseridge_model::{
    ConfigRevision,
    DurationMs,
    JobId,
    UnixMillis, //
};
use roseridge_policy::{
    PolicyDecision,
    WorkerView, //
};

/// The time between two measurements, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 500;

/// How far the log of a replica goes.
#[derive(Debug, Clone, Copy)]
pub struct LogExtent {
    /// The index of its last entry.
    pub last_index: u64,
    /// The index up to which it is committed.
    pub commit_index: u64,
}

/// What the leader remembers of the jobs between two measurements.
#[derive(Debug, Default)]
struct JobMemory {
    /// The jobs that have not ended, and whether each has started.
    open: BTreeMap<JobId, bool>,
    /// The newest job that was looked at.
    newest: JobId,
    /// Since when gangs yield to a job that holds no places yet.
    reclaims: BTreeMap<JobId, UnixMillis>,
    revision: Option<ConfigRevision>,
}

/// Takes metrics from the ledger while its replica leads.
///
/// The times come from the records of the jobs, so that they are exact although the meter looks at
/// the ledger only twice a second. It visits the open jobs and the new ones. Only the time of a
/// yield stands in no record, so the meter is told of each change.
#[derive(Debug)]
pub struct LeaderMeter {
    metrics: MetricSet,
    memory: Option<JobMemory>,
    measured_ms: u64,
}

impl LeaderMeter {
    /// Makes a meter of a replica that does not lead yet.
    pub fn new(metrics: MetricSet) -> Self {
        Self {
            metrics,
            memory: None,
            measured_ms: 0,
        }
    }

    /// Returns the metrics of flows.
    pub(crate) fn flows(&self) -> &FlowMetrics {
        &self.metrics.flows
    }

    /// Notes when gangs began to yield, from a change that is being applied.
    pub fn note(&mut self, change: &LedgerChange, at: UnixMillis) {
        let (Some(memory), LedgerChange::Decide(decisions)) = (&mut self.memory, change) else {
            return;
        };
        for decision in decisions {
            if let PolicyDecision::Preempt { in_favour_of, .. } = decision {
                memory.reclaims.entry(*in_favour_of).or_insert(at);
            }
        }
    }

    /// Measures when it is time; follows the replica in and out of leadership.
    pub fn work(&mut self, leads: bool, ledger: &LedgerState, log: LogExtent, now_ms: u64) {
        match &self.memory {
            None if leads => {
                self.metrics.elections.inc();
                self.metrics.leading.set(1);
                self.memory = Some(JobMemory::start(ledger));
            }
            Some(_) if !leads => {
                self.metrics.clear_leader_metrics();
                self.memory = None;
            }
            _ if now_ms < self.measured_ms + MEASURE_INTERVAL_MS => return,
            _ => {}
        }
        self.measured_ms = now_ms;
        self.metrics.log_last_index.set(signed(log.last_index));
        self.metrics.log_commit_index.set(signed(log.commit_index));
        if let Some(memory) = &mut self.memory {
            memory.admit_labels(&self.metrics, ledger);
            memory.measure_jobs(&self.metrics, ledger);
            measure_workers(&self.metrics, ledger);
            measure_flows(&self.metrics.flows, &ledger.flows);
        }
    }
}

impl JobMemory {
    /// Starts with the jobs that are open now; those that ended before count with an older leader.
    fn start(ledger: &LedgerState) -> Self {
        let open = ledger.jobs.iter().filter(|(_, job)| !has_ended(job));
        Self {
            open: open
                .map(|(id, job)| (*id, job.first_start.is_some()))
                .collect(),
            newest: ledger.jobs.keys().next_back().copied().unwrap_or_default(),
            ..Self::default()
        }
    }

    fn admit_labels(&mut self, metrics: &MetricSet, ledger: &LedgerState) {
        if self.revision == Some(ledger.revision) {
            return;
        }
        self.revision = Some(ledger.revision);
        for template in ledger.templates.values() {
            let classes = template.classes.keys().map(|class| class.as_str());
            metrics.labels.admit(template.customer.as_str(), classes);
        }
    }

    fn measure_jobs(&mut self, metrics: &MetricSet, ledger: &LedgerState) {
        let unseen = (Bound::Excluded(self.newest), Bound::Unbounded);
        for id in ledger.jobs.range(unseen).map(|(id, _)| *id) {
            self.open.insert(id, false);
            self.newest = id;
        }
        metrics.queue_length.reset();
        let mut open = std::mem::take(&mut self.open);
        open.retain(|id, started| {
            let Some(job) = ledger.jobs.get(id) else {
                return false;
            };
            observe_job(metrics, job, started);
            self.end_reclaim(metrics, *id, job);
            !has_ended(job)
        });
        self.open = open;
    }

    /// Counts a reclaim once the job that gangs yield to holds places, or did before it ended.
    fn end_reclaim(&mut self, metrics: &MetricSet, id: JobId, job: &JobRecord) {
        let held_at = match &job.state {
            JobState::Waiting => return,
            JobState::Placed(gang) => Some(gang.placed),
            JobState::Ended { .. } => job.first_start,
        };
        if let (Some(since), Some(held_at)) = (self.reclaims.remove(&id), held_at) {
            metrics.reclaim_time.observe(seconds(held_at.since(since)));
        }
    }
}

fn has_ended(job: &JobRecord) -> bool {
    matches!(job.state, JobState::Ended { .. })
}

fn observe_job(metrics: &MetricSet, job: &JobRecord, started: &mut bool) {
    let customer = job.customer.as_str();
    let class = job.spec.class.as_str();
    if let Some(start) = job.first_start.filter(|_| !*started) {
        *started = true;
        metrics.observe_start(customer, class, seconds(start.since(job.accepted)));
    }
    let state = match &job.state {
        JobState::Waiting => "waiting",
        JobState::Placed(_) => "placed",
        JobState::Ended { at, .. } => {
            let completion_s = seconds(at.since(job.accepted));
            let run_s = job.first_start.map(|start| seconds(at.since(start)));
            metrics.observe_end(customer, class, completion_s, run_s);
            return;
        }
    };
    let label = metrics.labels.label(customer);
    let labels = &[label.as_str(), state];
    metrics.queue_length.with_label_values(labels).inc();
}

fn measure_flows(metrics: &FlowMetrics, flows: &FlowState) {
    let open = i64::try_from(flows.open_flows().count());
    metrics.open_flows.set(open.unwrap_or(i64::MAX));
    if let Some(config) = &flows.config {
        metrics.config_version.set(signed(config.version));
        let prefixes = config.queues.iter().map(|queue| queue.key.prefix.as_str());
        prefixes.for_each(|prefix| metrics.queue_labels.admit(prefix, []));
    }
    metrics.backends.reset();
    for record in flows.backends.values() {
        let state = match record.status {
            BackendStatus::Ready => "ready",
            BackendStatus::Draining { .. } => "draining",
            BackendStatus::Lost { .. } => "lost",
            BackendStatus::Ended { .. } => continue,
        };
        metrics.backends.with_label_values(&[state]).inc();
    }
}

fn measure_workers(metrics: &MetricSet, ledger: &LedgerState) {
    let count = |wanted: &str| {
        let workers = ledger.workers.values();
        let matching = workers.filter(|w| lease_state(w.live, w.leaving) == wanted);
        i64::try_from(matching.count()).unwrap_or(i64::MAX)
    };
    for state in ["live", "leaving", "lost"] {
        let leases = metrics.leases.with_label_values(&[state]);
        leases.set(count(state));
    }
    let view = ledger.view(ledger.now);
    metrics.fragmentation.set(fragmentation(&view.workers));
}

fn lease_state(live: bool, leaving: bool) -> &'static str {
    match (live, leaving) {
        (false, _) => "lost",
        (true, true) => "leaving",
        (true, false) => "live",
    }
}

/// Returns the share of free accelerators that lie on workers which are partly used.
fn fragmentation(workers: &[WorkerView<'_>]) -> f64 {
    let open = || workers.iter().filter(|w| w.schedulable);
    let free: u32 = open().map(|w| w.free.accelerators).sum();
    let partly_used = open().filter(|w| w.free.accelerators < w.shape.total.accelerators);
    let scattered: u32 = partly_used.map(|w| w.free.accelerators).sum();
    match free {
        0 => 0.0,
        free => f64::from(scattered) / f64::from(free),
    }
}

pub(crate) fn seconds(span: DurationMs) -> f64 {
    std::time::Duration::from(span).as_secs_f64()
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
