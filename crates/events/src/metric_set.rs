//! The metrics of one process, in their own Prometheus registry.

use prometheus::{
    Gauge,
    Histogram,
    HistogramOpts,
    HistogramVec,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder,
    core::Collector, //
};

use crate::{
    FlowMetrics,
    label_registry::LabelRegistry, //
};

/// The upper bounds of the buckets of time histograms, in seconds. Urgent work has to start within
/// 3.5 seconds.
const TIME_BUCKETS_S: &[f64] = &[
    0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.5, 5.0, 10.0, 30.0, 60.0, 300.0, 1_800.0, 3_600.0, 14_400.0,
    28_800.0, 86_400.0,
];

/// The metrics of one process. Clones share the same values.
#[derive(Debug, Clone)]
pub struct MetricSet {
    registry: Registry,
    /// The metrics of flows.
    pub flows: FlowMetrics,
    /// The customers and classes with labels of their own.
    pub labels: LabelRegistry,
    /// Seconds from acceptance to the first start, by customer and class.
    pub waiting_time: HistogramVec,
    /// Seconds from the first start to completion, by customer and class.
    pub running_time: HistogramVec,
    /// Seconds from acceptance to completion, by customer and class.
    pub completion_time: HistogramVec,
    /// Seconds from the first preemption in favour of a job to the placement of that job.
    pub reclaim_time: Histogram,
    /// The share of free accelerators that belong to partly used workers.
    pub fragmentation: Gauge,
    /// The number of requests that were refused without being run, by listener and reason.
    pub refusals: IntCounterVec,
    /// The number of workers, by the state of their lease.
    pub leases: IntGaugeVec,
    /// The number of elections that this replica won.
    pub elections: IntCounter,
    /// 1 if this replica is the leader, otherwise 0.
    pub leading: IntGauge,
    /// The index of the last log entry.
    pub log_last_index: IntGauge,
    /// The commit index of the log.
    pub log_commit_index: IntGauge,
    /// The size of the data folder, in bytes.
    pub log_bytes: IntGauge,
    /// The sizes of a replica's log, its newest snapshot and its reserve on disk, in bytes.
    pub store_bytes: IntGaugeVec,
    /// The number of log entries on disk after the newest snapshot.
    pub log_entries_since_snapshot: IntGauge,
    /// The approximate size of the log entries in memory, in bytes.
    pub log_memory_bytes: IntGauge,
    /// The number of times that a replica stopped because its data folder could not be used.
    pub store_failures: IntCounter,
    /// The newest revision of the configuration that this process has received.
    pub revision: IntGauge,
    /// Seconds since this process was last informed of the revision in force.
    pub revision_age: Gauge,
    /// The number of jobs, by customer and by whether they wait or are placed.
    pub queue_length: IntGaugeVec,
}

/// Returns the options of a time histogram.
fn time_histogram_options(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec())
}

/// Registers a metric and returns it.
///
/// # Panics
///
/// Panics if the metric was not created or its name is already registered.
pub(crate) fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    created: prometheus::Result<C>,
) -> C {
    let metric = created.expect("the names of metrics are well-formed");
    let registration = registry.register(Box::new(metric.clone()));
    registration.expect("the names of metrics are unique");
    metric
}

impl Default for MetricSet {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricSet {
    /// Creates the metrics and their registry.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name. A test guards against this.
    pub fn new() -> Self {
        let registry = Registry::new();
        let class_labels = &["customer", "class"];
        let histogram_vec = |name, help| {
            let histogram = HistogramVec::new(time_histogram_options(name, help), class_labels);
            register(&registry, histogram)
        };
        let gauge = |name, help| register(&registry, Gauge::new(name, help));
        let int_gauge = |name, help| register(&registry, IntGauge::new(name, help));
        let gauge_vec = |name, help, labels: &[&str]| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels);
            register(&registry, gauges)
        };
        let refusals = Opts::new("roseridge_refusals_total", "Requests refused, not run");
        let reclaim =
            time_histogram_options("roseridge_reclaim_seconds", "From yielding to holding");
        Self {
            flows: FlowMetrics::new(&registry),
            labels: LabelRegistry::default(),
            waiting_time: histogram_vec("roseridge_waiting_seconds", "From acceptance to start"),
            running_time: histogram_vec("roseridge_running_seconds", "From start to end"),
            completion_time: histogram_vec(
                "roseridge_completion_seconds",
                "From acceptance to end",
            ),
            reclaim_time: register(&registry, Histogram::with_opts(reclaim)),
            fragmentation: gauge(
                "roseridge_fragmentation_ratio",
                "Share of free accelerators on partly used workers",
            ),
            refusals: register(
                &registry,
                IntCounterVec::new(refusals, &["listener", "reason"]),
            ),
            leases: gauge_vec("roseridge_workers", "Workers by lease", &["lease"]),
            elections: register(
                &registry,
                IntCounter::new("roseridge_elections_won_total", "Elections won"),
            ),
            leading: int_gauge("roseridge_leading", "Whether this replica leads"),
            log_last_index: int_gauge("roseridge_log_last_index", "Last index of the log"),
            log_commit_index: int_gauge("roseridge_log_commit_index", "Commit index of the log"),
            log_bytes: int_gauge("roseridge_log_bytes", "Bytes in the data folder"),
            store_bytes: gauge_vec("roseridge_store_bytes", "Bytes on disk by part", &["part"]),
            log_entries_since_snapshot: int_gauge(
                "roseridge_log_entries_since_snapshot",
                "Entries on disk after the newest snapshot",
            ),
            log_memory_bytes: int_gauge("roseridge_log_memory_bytes", "Bytes of entries in memory"),
            store_failures: register(
                &registry,
                IntCounter::new(
                    "roseridge_store_failures_total",
                    "Failures of the data folder",
                ),
            ),
            revision: int_gauge("roseridge_revision", "Revision heard of last"),
            revision_age: gauge(
                "roseridge_revision_age_seconds",
                "Since the revision in force was last heard",
            ),
            queue_length: gauge_vec(
                "roseridge_jobs",
                "Jobs by customer and state",
                &["customer", "state"],
            ),
            registry: registry.clone(),
        }
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        // The encoder fails only for a family without a name, which the registry rejects.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    /// Records the times of a job that has ended, in seconds. `run_s` is `None` if it never
    /// started.
    pub fn observe_end(&self, customer: &str, class: &str, completion_s: f64, run_s: Option<f64>) {
        let (customer, class) = self.labels.job_labels(customer, class);
        let labels = &[customer.as_str(), class.as_str()];
        self.completion_time
            .with_label_values(labels)
            .observe(completion_s);
        if let Some(run_s) = run_s {
            self.running_time.with_label_values(labels).observe(run_s);
        }
    }

    /// Records the time from the acceptance of a job to its first start, in seconds.
    pub fn observe_start(&self, customer: &str, class: &str, waited_s: f64) {
        let (customer, class) = self.labels.job_labels(customer, class);
        self.waiting_time
            .with_label_values(&[customer.as_str(), class.as_str()])
            .observe(waited_s);
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, listener: &str, reason: &str) {
        self.refusals.with_label_values(&[listener, reason]).inc();
    }

    /// Clears the metrics that only a leader maintains, when a replica stops being the leader.
    pub fn clear_leader_metrics(&self) {
        self.leading.set(0);
        self.fragmentation.set(0.0);
        self.leases.reset();
        self.queue_length.reset();
        self.flows.clear_leader_metrics();
    }
}
