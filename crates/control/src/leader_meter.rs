//! Metrics of a replica and of the ledger while it leads.

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
use roseridge_store::StoreUsage;

use crate::evacuation_calls::remaining_counts;

/// Interval between two updates of the metrics, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 500;

/// The end of a replica's log.
#[derive(Debug, Clone, Copy)]
pub struct LogExtent {
    /// The index of its last entry.
    pub last_index: u64,
    /// The index of its last committed entry.
    pub commit_index: u64,
}

/// The jobs that are tracked between two updates.
#[derive(Debug, Default)]
struct JobTracker {
    /// The jobs that have not ended, and whether the start of each has been observed.
    open: BTreeMap<JobId, bool>,
    /// The newest job that was visited.
    newest: JobId,
    /// For each unplaced job in whose favour gangs are preempted, the time of the first preemption.
    reclaims: BTreeMap<JobId, UnixMillis>,
    /// The revision whose labels are registered.
    revision: Option<ConfigRevision>,
}

/// Updates the metrics of the replica, and those of the ledger while the replica leads.
///
/// The meter visits the open and the new jobs twice a second. Durations are still exact, because
/// they come from the times in the job records. The time of a preemption is in no record, so the
/// meter must be given each change with [`LeaderMeter::record_change`].
#[derive(Debug)]
pub struct LeaderMeter {
    metrics: MetricSet,
    tracker: Option<JobTracker>,
    updated_ms: u64,
}

impl LeaderMeter {
    /// Creates the meter of a replica that does not lead yet.
    pub fn new(metrics: MetricSet) -> Self {
        Self {
            metrics,
            tracker: None,
            updated_ms: 0,
        }
    }

    /// Returns the metrics for flows.
    pub(crate) fn flows(&self) -> &FlowMetrics {
        &self.metrics.flows
    }

    /// Counts a failure of the data folder.
    pub(crate) fn count_store_failure(&self) {
        self.metrics.store_failures.inc();
    }

    /// Records what the data folder holds, and the size of the log entries in memory.
    pub fn record_store(&self, usage: &StoreUsage, memory_bytes: usize) {
        let parts = [
            ("log", usage.log_bytes),
            ("snapshot", usage.snapshot_bytes),
            ("reserve", usage.reserve_bytes),
        ];
        for (part, bytes) in parts {
            let store_bytes = self.metrics.store_bytes.with_label_values(&[part]);
            store_bytes.set(saturating_i64(bytes as u64));
        }
        let entries = saturating_i64(usage.entries_since_snapshot());
        self.metrics.log_entries_since_snapshot.set(entries);
        let memory_bytes = saturating_i64(memory_bytes as u64);
        self.metrics.log_memory_bytes.set(memory_bytes);
    }

    /// Records the time of preemptions in a change that is being applied.
    pub fn record_change(&mut self, change: &LedgerChange, at: UnixMillis) {
        let (Some(tracker), LedgerChange::Decide(decisions)) = (&mut self.tracker, change) else {
            return;
        };
        for decision in decisions {
            if let PolicyDecision::Preempt { in_favour_of, .. } = decision {
                tracker.reclaims.entry(*in_favour_of).or_insert(at);
            }
        }
    }

    /// Updates the metrics when leadership changes, and otherwise at most twice a second.
    pub fn update(&mut self, is_leader: bool, ledger: &LedgerState, log: LogExtent, now_ms: u64) {
        match &self.tracker {
            None if is_leader => {
                self.metrics.elections.inc();
                self.metrics.leading.set(1);
                self.tracker = Some(JobTracker::start(ledger));
            }
            Some(_) if !is_leader => {
                self.metrics.clear_leader_metrics();
                self.tracker = None;
            }
            _ if now_ms < self.updated_ms + UPDATE_INTERVAL_MS => return,
            _ => {}
        }
        self.updated_ms = now_ms;
        self.metrics
            .log_last_index
            .set(saturating_i64(log.last_index));
        self.metrics
            .log_commit_index
            .set(saturating_i64(log.commit_index));
        if let Some(tracker) = &mut self.tracker {
            tracker.admit_labels(&self.metrics, ledger);
            tracker.measure_jobs(&self.metrics, ledger);
            measure_workers(&self.metrics, ledger);
            measure_flows(&self.metrics.flows, &ledger.flows);
            measure_evacuations(&self.metrics.flows, &ledger.flows);
        }
    }
}

impl Drop for LeaderMeter {
    /// Clears the leader's metrics when the replica ends while it leads. The metrics of the process
    /// outlive the replica.
    fn drop(&mut self) {
        if self.tracker.is_some() {
            self.metrics.clear_leader_metrics();
        }
    }
}

impl JobTracker {
    /// Starts with the jobs that are open now. Jobs that ended before were counted by an earlier
    /// leader.
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

    /// Registers the customers and job classes of the templates as metric labels.
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

    /// Observes the starts and ends of jobs and counts the open jobs.
    fn measure_jobs(&mut self, metrics: &MetricSet, ledger: &LedgerState) {
        let new_jobs = (Bound::Excluded(self.newest), Bound::Unbounded);
        for id in ledger.jobs.range(new_jobs).map(|(id, _)| *id) {
            self.open.insert(id, false);
            self.newest = id;
        }
        metrics.queue_length.reset();
        let mut open = std::mem::take(&mut self.open);
        open.retain(|id, has_started| {
            let Some(job) = ledger.jobs.get(id) else {
                return false;
            };
            observe_job(metrics, job, has_started);
            self.observe_reclaim(metrics, *id, job);
            !has_ended(job)
        });
        self.open = open;
    }

    /// Observes the duration of a reclaim once the job that gangs were preempted for is placed.
    ///
    /// A job that was placed and ended between two updates is observed by its first start.
    fn observe_reclaim(&mut self, metrics: &MetricSet, id: JobId, job: &JobRecord) {
        let placed_at = match &job.state {
            JobState::Waiting => return,
            JobState::Placed(gang) => Some(gang.placed),
            JobState::Ended { .. } => job.first_start,
        };
        if let (Some(since), Some(placed_at)) = (self.reclaims.remove(&id), placed_at) {
            metrics
                .reclaim_time
                .observe(seconds(placed_at.since(since)));
        }
    }
}

fn has_ended(job: &JobRecord) -> bool {
    matches!(job.state, JobState::Ended { .. })
}

/// Observes the start and the end of a job, and counts an open job by its customer and state.
fn observe_job(metrics: &MetricSet, job: &JobRecord, has_started: &mut bool) {
    let customer = job.customer.as_str();
    let class = job.spec.class.as_str();
    if let Some(start) = job.first_start.filter(|_| !*has_started) {
        *has_started = true;
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

/// Sets the gauges for flows, the site configuration and backend servers.
fn measure_flows(metrics: &FlowMetrics, flows: &FlowState) {
    let open = i64::try_from(flows.open_flows().count());
    metrics.open_flows.set(open.unwrap_or(i64::MAX));
    if let Some(config) = &flows.config {
        metrics.config_version.set(saturating_i64(config.version));
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

/// Sets the gauges for evacuated failure domains. Their number is limited, and with it the labels.
fn measure_evacuations(metrics: &FlowMetrics, flows: &FlowState) {
    metrics.evacuated_runs.reset();
    metrics.evacuated_time.reset();
    for (domain, since) in flows.evacuations.evacuated() {
        let label = &[domain.as_str()];
        let (_, runs) = remaining_counts(flows, domain);
        metrics
            .evacuated_runs
            .with_label_values(label)
            .set(i64::from(runs));
        metrics
            .evacuated_time
            .with_label_values(label)
            .set(seconds(flows.now.since(since)));
    }
}

/// Sets the gauges for workers.
fn measure_workers(metrics: &MetricSet, ledger: &LedgerState) {
    let count = |expected: &str| {
        let workers = ledger.workers.values();
        let matching = workers.filter(|w| lease_state(w.live, w.leaving) == expected);
        i64::try_from(matching.count()).unwrap_or(i64::MAX)
    };
    for state in ["live", "leaving", "lost"] {
        let leases = metrics.leases.with_label_values(&[state]);
        leases.set(count(state));
    }
    let view = ledger.view(ledger.now);
    metrics.fragmentation.set(fragmentation(&view.workers));
}

/// Returns the label value for the lease of a worker.
fn lease_state(live: bool, leaving: bool) -> &'static str {
    match (live, leaving) {
        (false, _) => "lost",
        (true, true) => "leaving",
        (true, false) => "live",
    }
}

/// Returns the fraction of free accelerators that are on partly used workers.
fn fragmentation(workers: &[WorkerView<'_>]) -> f64 {
    let schedulable = || workers.iter().filter(|w| w.schedulable);
    let free: u32 = schedulable().map(|w| w.free.accelerators).sum();
    let partly_used = schedulable().filter(|w| w.free.accelerators < w.shape.total.accelerators);
    let scattered: u32 = partly_used.map(|w| w.free.accelerators).sum();
    match free {
        0 => 0.0,
        free => f64::from(scattered) / f64::from(free),
    }
}

/// Converts a duration to seconds.
pub(crate) fn seconds(duration: DurationMs) -> f64 {
    std::time::Duration::from(duration).as_secs_f64()
}

/// Converts a number to the type of a gauge.
fn saturating_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
