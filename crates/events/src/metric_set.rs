//! The metrics of one process, in a registry of its own.

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

/// The upper bounds of the time histograms, in seconds; 3.5 is the start limit of urgent work.
const TIME_BUCKETS_S: &[f64] = &[
    0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.5, 5.0, 10.0, 30.0, 60.0, 300.0, 1_800.0, 3_600.0, 14_400.0,
    28_800.0, 86_400.0,
];

/// The metrics of one process; clones share the same values.
#[derive(Debug, Clone)]
pub struct MetricSet {
    registry: Registry,
    /// The metrics of flows.
    pub flows: FlowMetrics,
    /// The customers and classes that have labels of their own.
    pub labels: LabelRegistry,
    /// Seconds from acceptance to the first start, by customer and class.
    pub waiting_time: HistogramVec,
    /// Seconds from the first start to the end, by customer and class.
    pub running_time: HistogramVec,
    /// Seconds from acceptance to the end, by customer and class.
    pub completion_time: HistogramVec,
    /// Seconds from a gang being told to yield to its beneficiary holding places.
    pub reclaim_time: Histogram,
    /// The share of free accelerators that lie on workers which are partly used.
    pub fragmentation: Gauge,
    /// Requests that were refused without running, by listener and reason.
    pub refusals: IntCounterVec,
    /// Workers, by the state of their lease.
    pub leases: IntGaugeVec,
    /// Elections that this replica won.
    pub elections: IntCounter,
    /// Whether this replica leads.
    pub leading: IntGauge,
    /// The index of the last entry of the log.
    pub log_last_index: IntGauge,
    /// The index up to which the log is committed.
    pub log_commit_index: IntGauge,
    /// Bytes in the data folder.
    pub log_bytes: IntGauge,
    /// The revision of the configuration that this process heard of last.
    pub revision: IntGauge,
    /// Seconds since this process last heard which revision is in force.
    pub revision_age: Gauge,
    /// Jobs that wait or hold places, by customer.
    pub queue_length: IntGaugeVec,
}

fn times(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec())
}

pub(crate) fn registered<C: Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<C>,
) -> C {
    let metric = made.expect("the names of metrics are well-formed");
    let registering = registry.register(Box::new(metric.clone()));
    registering.expect("each metric has a name of its own");
    metric
}

impl Default for MetricSet {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricSet {
    /// Makes the metrics and their registry.
    ///
    /// # Panics
    ///
    /// Panics if two metrics share a name, which a test rules out.
    pub fn new() -> Self {
        let registry = Registry::new();
        let of_class = &["customer", "class"];
        let histograms = |name, help| {
            let made = HistogramVec::new(times(name, help), of_class);
            registered(&registry, made)
        };
        let gauge = |name, help| registered(&registry, Gauge::new(name, help));
        let whole = |name, help| registered(&registry, IntGauge::new(name, help));
        let gauges = |name, help, labels: &[&str]| {
            let made = IntGaugeVec::new(Opts::new(name, help), labels);
            registered(&registry, made)
        };
        let refusals = Opts::new("roseridge_refusals_total", "Requests refused, not run");
        let reclaim = times("roseridge_reclaim_seconds", "From yielding to holding");
        Self {
            flows: FlowMetrics::new(&registry),
            labels: LabelRegistry::default(),
            waiting_time: histograms("roseridge_waiting_seconds", "From acceptance to start"),
            running_time: histograms("roseridge_running_seconds", "From start to end"),
            completion_time: histograms("roseridge_completion_seconds", "From acceptance to end"),
            reclaim_time: registered(&registry, Histogram::with_opts(reclaim)),
            fragmentation: gauge(
                "roseridge_fragmentation_ratio",
                "Share of free accelerators on partly used workers",
            ),
            refusals: registered(
                &registry,
                IntCounterVec::new(refusals, &["listener", "reason"]),
            ),
            leases: gauges("roseridge_workers", "Workers by lease", &["lease"]),
            elections: registered(
                &registry,
                IntCounter::new("roseridge_elections_won_total", "Elections won"),
            ),
            leading: whole("roseridge_leading", "Whether this replica leads"),
            log_last_index: whole("roseridge_log_last_index", "Last index of the log"),
            log_commit_index: whole("roseridge_log_commit_index", "Commit index of the log"),
            log_bytes: whole("roseridge_log_bytes", "Bytes in the data folder"),
            revision: whole("roseridge_revision", "Revision heard of last"),
            revision_age: gauge(
                "roseridge_revision_age_seconds",
                "Since the revision in force was last heard",
            ),
            queue_length: gauges(
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
        // The encoder fails only for a family without a name, which the registry rules out.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    /// Notes the times of a job that has ended, in seconds; one that never started has no run.
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

    /// Notes how long a job waited for its first start, in seconds.
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

    /// Clears what only a leader knows, for a replica that leads no longer.
    pub fn clear_leader_metrics(&self) {
        self.leading.set(0);
        self.fragmentation.set(0.0);
        self.leases.reset();
        self.queue_length.reset();
        self.flows.clear_leader_metrics();
    }
}
