//! The metrics of flows, of the requests about them, and of calls to backend servers.

use prometheus::{
    Gauge,
    HistogramOpts,
    HistogramVec,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry, //
};

use crate::{
    LabelRegistry,
    metric_set::registered, //
};

/// The upper bounds of the histograms of requests and calls, in seconds; callers wait three seconds.
const CALL_BUCKETS_S: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0,
];
/// The upper bounds of the histograms of flows, in seconds; 3.5 is the start limit of urgent work.
const FLOW_BUCKETS_S: &[f64] = &[
    0.1, 0.25, 0.5, 1.0, 2.0, 3.5, 5.0, 10.0, 20.0, 30.0, 60.0, 300.0, 1_800.0, 3_600.0, 14_400.0,
    28_800.0, 86_400.0,
];

/// The metrics of flows; clones share the same values.
#[derive(Debug, Clone)]
pub struct FlowMetrics {
    /// The queues that have labels of their own.
    pub queue_labels: LabelRegistry,
    /// Requests, by listener, call and status code.
    pub requests: IntCounterVec,
    /// Seconds from a request to its answer, by listener and call.
    pub request_time: HistogramVec,
    /// Seconds since the leader was last heard.
    pub leader_silence: Gauge,
    /// What became of flows, by queue and outcome.
    pub flows: IntCounterVec,
    /// Seconds from acceptance to the first place, by queue.
    pub flow_start_time: HistogramVec,
    /// Seconds from acceptance to the end, by queue.
    pub flow_time: HistogramVec,
    /// What became of runs.
    pub runs: IntCounterVec,
    /// Flows that have not ended.
    pub open_flows: IntGauge,
    /// Backend servers, by state.
    pub backends: IntGaugeVec,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// Calls to the backend server, by call and answer.
    pub backend_calls: IntCounterVec,
    /// Seconds from a call to the backend server to its answer, by call.
    pub backend_call_time: HistogramVec,
}

impl FlowMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let counters = |name, help, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels);
            registered(registry, made)
        };
        let times = |name, help, buckets: &[f64], labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            registered(registry, HistogramVec::new(options, labels))
        };
        let gauge = |name, help| registered(registry, IntGauge::new(name, help));
        Self {
            queue_labels: LabelRegistry::default(),
            requests: counters(
                "roseridge_requests_total",
                "Requests by answer",
                &["listener", "call", "status"],
            ),
            request_time: times(
                "roseridge_request_seconds",
                "From a request to its answer",
                CALL_BUCKETS_S,
                &["listener", "call"],
            ),
            leader_silence: registered(
                registry,
                Gauge::new(
                    "roseridge_leader_silence_seconds",
                    "Since the leader was last heard",
                ),
            ),
            flows: counters(
                "roseridge_flows_total",
                "Flows by outcome",
                &["queue", "outcome"],
            ),
            flow_start_time: times(
                "roseridge_flow_start_seconds",
                "From acceptance to the first place",
                FLOW_BUCKETS_S,
                &["queue"],
            ),
            flow_time: times(
                "roseridge_flow_seconds",
                "From acceptance to the end",
                FLOW_BUCKETS_S,
                &["queue"],
            ),
            runs: counters("roseridge_runs_total", "Runs by outcome", &["outcome"]),
            open_flows: gauge("roseridge_open_flows", "Flows that have not ended"),
            backends: registered(
                registry,
                IntGaugeVec::new(
                    Opts::new("roseridge_backends", "Backend servers by state"),
                    &["state"],
                ),
            ),
            config_version: gauge(
                "roseridge_config_version",
                "Version of the configuration in force",
            ),
            backend_calls: counters(
                "roseridge_backend_calls_total",
                "Calls to the backend server by answer",
                &["call", "answer"],
            ),
            backend_call_time: times(
                "roseridge_backend_call_seconds",
                "From a call to the backend server to its answer",
                CALL_BUCKETS_S,
                &["call"],
            ),
        }
    }

    /// Counts a flow's outcome.
    pub fn count_flow(&self, queue: &str, outcome: &str) {
        let queue = self.queue_labels.label(queue);
        self.flows.with_label_values(&[&queue, outcome]).inc();
    }

    /// Notes how long a flow waited for its first place, in seconds.
    pub fn observe_start(&self, queue: &str, waited_s: f64) {
        let queue = self.queue_labels.label(queue);
        self.flow_start_time
            .with_label_values(&[&queue])
            .observe(waited_s);
    }

    /// Notes how a flow ended, and how long after its acceptance, in seconds.
    pub fn observe_end(&self, queue: &str, outcome: &str, took_s: f64) {
        self.count_flow(queue, outcome);
        let queue = self.queue_labels.label(queue);
        self.flow_time.with_label_values(&[&queue]).observe(took_s);
    }

    /// Notes the answer to a request, and how long it took, in seconds.
    pub fn observe_request(&self, (listener, call): (&str, &str), status: u16, took_s: f64) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[listener, call, &status])
            .inc();
        self.request_time
            .with_label_values(&[listener, call])
            .observe(took_s);
    }

    /// Notes the answer to a call to the backend server, and how long it took, in seconds.
    pub fn observe_call(&self, call: &str, answer: &str, took_s: f64) {
        self.backend_calls.with_label_values(&[call, answer]).inc();
        self.backend_call_time
            .with_label_values(&[call])
            .observe(took_s);
    }

    /// Clears what only a leader knows, for a replica that leads no longer.
    pub(crate) fn clear_leader_metrics(&self) {
        self.open_flows.set(0);
        self.backends.reset();
    }
}
