//! Metrics of flows, of requests about them, and of calls to backend servers.

use prometheus::{
    CounterVec,
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
    metric_set::register, //
};

/// The upper bounds of the buckets for requests and calls, in seconds. Callers wait for three
/// seconds.
const CALL_BUCKETS_S: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0,
];
/// The upper bounds of the buckets for flows, in seconds. Urgent work has to start within 3.5
/// seconds.
const FLOW_BUCKETS_S: &[f64] = &[
    0.1, 0.25, 0.5, 1.0, 2.0, 3.5, 5.0, 10.0, 20.0, 30.0, 60.0, 300.0, 1_800.0, 3_600.0, 14_400.0,
    28_800.0, 86_400.0,
];

/// The metrics of flows. Clones share the same values.
#[derive(Debug, Clone)]
pub struct FlowMetrics {
    /// The queues that have labels of their own.
    pub queue_labels: LabelRegistry,
    /// The number of requests, by listener, call and status code.
    pub requests: IntCounterVec,
    /// Seconds from a request to its response, by listener and call.
    pub request_time: HistogramVec,
    /// Seconds since the last contact with the leader.
    pub leader_silence: Gauge,
    /// The number of flows, by queue and outcome.
    pub flows: IntCounterVec,
    /// The number of refusals because of load, by queue and reason.
    pub refusals: IntCounterVec,
    /// Seconds after which refused callers are told to return, by queue.
    pub retry_time: HistogramVec,
    /// Seconds from acceptance to the first placement, by queue.
    pub flow_start_time: HistogramVec,
    /// Seconds from acceptance to completion, by queue.
    pub flow_time: HistogramVec,
    /// The number of runs, by outcome.
    pub runs: IntCounterVec,
    /// Accelerator-seconds of work that has to be done again, by the outcome of the run.
    pub lost_work: CounterVec,
    /// The number of flows that have not ended.
    pub open_flows: IntGauge,
    /// The number of backend servers, by state.
    pub backends: IntGaugeVec,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// The number of calls to the backend server, by call and answer.
    pub backend_calls: IntCounterVec,
    /// Seconds from a call to the backend server to its answer, by call.
    pub backend_call_time: HistogramVec,
}

impl FlowMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let counter_vec = |name, help, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            register(registry, counter)
        };
        let histogram_vec = |name, help, buckets: &[f64], labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            register(registry, HistogramVec::new(options, labels))
        };
        let gauge = |name, help| register(registry, IntGauge::new(name, help));
        Self {
            queue_labels: LabelRegistry::default(),
            requests: counter_vec(
                "roseridge_requests_total",
                "Requests by answer",
                &["listener", "call", "status"],
            ),
            request_time: histogram_vec(
                "roseridge_request_seconds",
                "From a request to its answer",
                CALL_BUCKETS_S,
                &["listener", "call"],
            ),
            leader_silence: register(
                registry,
                Gauge::new(
                    "roseridge_leader_silence_seconds",
                    "Since the leader was last heard",
                ),
            ),
            flows: counter_vec(
                "roseridge_flows_total",
                "Flows by outcome",
                &["queue", "outcome"],
            ),
            refusals: counter_vec(
                "roseridge_flow_refusals_total",
                "Refusals because of load, by reason",
                &["queue", "reason"],
            ),
            retry_time: histogram_vec(
                "roseridge_flow_retry_seconds",
                "Time after which a refused caller is told to return",
                FLOW_BUCKETS_S,
                &["queue"],
            ),
            flow_start_time: histogram_vec(
                "roseridge_flow_start_seconds",
                "From acceptance to the first place",
                FLOW_BUCKETS_S,
                &["queue"],
            ),
            flow_time: histogram_vec(
                "roseridge_flow_seconds",
                "From acceptance to the end",
                FLOW_BUCKETS_S,
                &["queue"],
            ),
            runs: counter_vec("roseridge_runs_total", "Runs by outcome", &["outcome"]),
            lost_work: register(
                registry,
                CounterVec::new(
                    Opts::new(
                        "roseridge_lost_work_accelerator_seconds_total",
                        "Work that has to be done again, by outcome of the run",
                    ),
                    &["outcome"],
                ),
            ),
            open_flows: gauge("roseridge_open_flows", "Flows that have not ended"),
            backends: register(
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
            backend_calls: counter_vec(
                "roseridge_backend_calls_total",
                "Calls to the backend server by answer",
                &["call", "answer"],
            ),
            backend_call_time: histogram_vec(
                "roseridge_backend_call_seconds",
                "From a call to the backend server to its answer",
                CALL_BUCKETS_S,
                &["call"],
            ),
        }
    }

    /// Counts the outcome of a flow.
    pub fn count_flow(&self, queue: &str, outcome: &str) {
        let queue = self.queue_labels.label(queue);
        self.flows.with_label_values(&[&queue, outcome]).inc();
    }

    /// Counts a refusal because of load.
    pub fn count_refusal(&self, queue: &str, reason: &str) {
        let queue = self.queue_labels.label(queue);
        self.refusals.with_label_values(&[&queue, reason]).inc();
    }

    /// Records the time after which a refused caller is told to return, in seconds.
    pub fn observe_retry(&self, queue: &str, told_s: f64) {
        let queue = self.queue_labels.label(queue);
        self.retry_time.with_label_values(&[&queue]).observe(told_s);
    }

    /// Records the time from the acceptance of a flow to its first placement, in seconds.
    pub fn observe_start(&self, queue: &str, waited_s: f64) {
        let queue = self.queue_labels.label(queue);
        self.flow_start_time
            .with_label_values(&[&queue])
            .observe(waited_s);
    }

    /// Records the outcome of a flow and the time since its acceptance, in seconds.
    pub fn observe_end(&self, queue: &str, outcome: &str, took_s: f64) {
        self.count_flow(queue, outcome);
        let queue = self.queue_labels.label(queue);
        self.flow_time.with_label_values(&[&queue]).observe(took_s);
    }

    /// Counts the end of a run and the work that is lost with it, in accelerator-seconds.
    pub fn count_run_end(&self, outcome: &str, lost_work: f64) {
        self.runs.with_label_values(&[outcome]).inc();
        self.lost_work
            .with_label_values(&[outcome])
            .inc_by(lost_work);
    }

    /// Records the response to a request and its duration, in seconds.
    pub fn observe_request(&self, (listener, call): (&str, &str), status: u16, took_s: f64) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[listener, call, &status])
            .inc();
        self.request_time
            .with_label_values(&[listener, call])
            .observe(took_s);
    }

    /// Records the result of a call to the backend server and its duration, in seconds.
    pub fn observe_call(&self, call: &str, answer: &str, took_s: f64) {
        self.backend_calls.with_label_values(&[call, answer]).inc();
        self.backend_call_time
            .with_label_values(&[call])
            .observe(took_s);
    }

    /// Clears the metrics that only a leader maintains, when a replica stops being the leader.
    pub(crate) fn clear_leader_metrics(&self) {
        self.open_flows.set(0);
        self.backends.reset();
    }
}
