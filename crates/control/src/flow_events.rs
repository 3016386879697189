//! Log lines and metrics for changes of the flow state.

use roseridge_dispatch::AdmissionDecision;
use roseridge_events::{
    self as events,
    FlowMetrics,
    event, //
};
use roseridge_flow::{
    CrashSuspect,
    FlowChange,
    FlowOutcome,
    FlowPhase,
    FlowState,
    PlacementOrder,
    RunCompletion,
    RunOutcome,
    StopCause,
    StopOrder,
    TaskPhase, //
};
use roseridge_model::{
    BackendId,
    CustomerName,
    DurationMs,
    FlowId,
    QueueRule,
    RunKey,
    TaskShape, //
};
use roseridge_wire::{
    FlowReply,
    LoadRefusal, //
};

use crate::{
    ending_run::{
        EndingRun,
        ending_runs, //
    },
    evacuation_events,
    leader_meter::seconds, //
};

/// A change, with the part of the state before it to which its log lines and metrics refer.
pub(crate) struct ChangeContext<'a> {
    change: &'a FlowChange,
    /// The version of the configuration before the change.
    version: u64,
    /// The number of open flows before the change.
    open: usize,
    /// The flows that have no placement before the change and get one by it.
    newly_placed: Vec<FlowId>,
    /// The runs that end with the change.
    ending: Vec<EndingRun>,
}

impl<'a> ChangeContext<'a> {
    /// Captures the state that a change may alter.
    pub(crate) fn capture(flows: &FlowState, change: &'a FlowChange) -> Self {
        Self {
            change,
            version: flows.config.as_ref().map_or(0, |c| c.version),
            open: flows.open_flows().count(),
            newly_placed: newly_placed(flows, change),
            ending: ending_runs(flows, change),
        }
    }

    /// Logs the outcome of the change and updates the metrics.
    pub(crate) fn report(
        &self,
        flows: &FlowState,
        outcome: &FlowOutcome,
        index: u64,
        metrics: &FlowMetrics,
    ) {
        match (self.change, outcome) {
            (
                FlowChange::Evacuate { domain, base } | FlowChange::Restore { domain, base },
                outcome,
            ) => evacuation_events::report_order(flows, (domain, *base), outcome, index),
            (_, FlowOutcome::Refused(refusal)) => {
                event!(info, events::FLOW_REFUSED, reason = refusal, index = index);
            }
            (FlowChange::Configure(config), FlowOutcome::Configured { changed, .. }) => {
                let prefixes = config.queues.iter().map(|queue| queue.key.prefix.as_str());
                prefixes.for_each(|prefix| metrics.queue_labels.admit(prefix, []));
                event!(
                    info,
                    events::CONFIG_SET,
                    version = config.version,
                    before = self.version,
                    changed = changed,
                    index = index
                );
            }
            (FlowChange::Submit { flow, customer, .. }, FlowOutcome::Accepted { again }) => {
                self.report_accepted(flows, *flow, customer.as_ref(), *again, metrics);
            }
            (FlowChange::Withdraw { flow, queue, .. }, FlowOutcome::Withdrawn) => {
                event!(
                    info,
                    events::FLOW_WITHDRAWN,
                    flow = flow,
                    queue = queue.prefix,
                    index = index
                );
            }
            (FlowChange::Cancel { flow } | FlowChange::Withdraw { flow, .. }, _) => {
                report_cancelled(flows, *flow, metrics);
            }
            (
                FlowChange::Announce { backend, profile }
                | FlowChange::AnnounceRestarted {
                    backend, profile, ..
                },
                _,
            ) => {
                self.report_lost_runs(flows, metrics);
                event!(
                    info,
                    events::BACKEND_READY,
                    backend = backend,
                    instance = profile.instance,
                    domain = profile.domain,
                    rack = profile.rack.as_ref().map_or("", |rack| rack.as_str()),
                    accelerators = profile.shape.accelerators,
                    hidden_ends = flows.doubts.hidden_ends(backend),
                    index = index
                );
            }
            (FlowChange::Drain { backend, remaining }, _) => event!(
                info,
                events::BACKEND_DRAINING,
                backend = backend,
                remaining_ms = remaining.0,
                runs = run_count(flows, backend)
            ),
            (FlowChange::Resume { backend }, _) => {
                event!(info, events::BACKEND_RESUMED, backend = backend);
            }
            (FlowChange::Leave { backend }, _) => {
                self.report_lost_runs(flows, metrics);
                event!(
                    info,
                    events::BACKEND_ENDED,
                    backend = backend,
                    index = index
                );
            }
            (FlowChange::Lose { backend, saved }, _) => {
                self.report_lost_runs(flows, metrics);
                event!(
                    info,
                    events::BACKEND_LOST,
                    backend = backend,
                    checkpoints = saved.len(),
                    index = index
                );
            }
            (
                FlowChange::Report {
                    backend,
                    ends,
                    unstarted,
                },
                _,
            ) => {
                for end in ends {
                    let ending = self.ending.iter().find(|ending| ending.run == end.run);
                    report_run_end(flows, (backend, end), ending, metrics);
                }
                for run in unstarted {
                    metrics.runs.with_label_values(&["unstarted"]).inc();
                    event!(
                        info,
                        events::RUN_UNSTARTED,
                        flow = run.run.task.flow,
                        run = run.run,
                        backend = backend,
                        reason = run.reason
                    );
                }
            }
            (
                FlowChange::RecordCrash {
                    backend,
                    suspects,
                    crash_limit,
                },
                _,
            ) => report_suspects(flows, (backend, suspects), *crash_limit, metrics),
            (FlowChange::Decide { stops, places }, _) => {
                stops
                    .iter()
                    .for_each(|stop| report_run_stop(flows, stop, metrics));
                places
                    .iter()
                    .for_each(|order| report_placement(flows, order, metrics));
                self.observe_starts(flows, metrics);
                evacuation_events::report_progress(flows, stops);
            }
            _ => {}
        }
    }

    /// Logs and counts an accepted flow.
    fn report_accepted(
        &self,
        flows: &FlowState,
        flow: FlowId,
        customer: Option<&CustomerName>,
        again: bool,
        metrics: &FlowMetrics,
    ) {
        let Some(record) = flows.flows.get(&flow) else {
            return;
        };
        metrics.count_flow(&record.queue.key.prefix, "accepted");
        let tasks: u32 = record.spec.steps.iter().map(|s| u32::from(s.count)).sum();
        event!(
            info,
            events::FLOW_ACCEPTED,
            flow = flow,
            queue = record.queue.key.prefix,
            rank = record.queue.rank,
            customer = customer.map_or("", |name| name.as_str()),
            steps = record.spec.steps.len(),
            tasks = tasks,
            accelerators = record.spec.steps[0].shape.accelerators,
            again = again,
            open = self.open,
            version = self.version
        );
        if !again && matches!(record.phase, FlowPhase::Cancelled { .. }) {
            report_cancelled(flows, flow, metrics);
        }
    }

    /// Logs and counts the runs that were lost with their backend server.
    fn report_lost_runs(&self, flows: &FlowState, metrics: &FlowMetrics) {
        for ending in &self.ending {
            let work = ending.work(flows);
            metrics.count_run_end("lost", accelerator_seconds(ending, work.lost));
            event!(
                info,
                events::RUN_LOST,
                flow = ending.run.task.flow,
                run = ending.run,
                backend = ending.backend,
                took_ms = work.took.0,
                lost_ms = work.lost.0,
                accelerators = ending.shape.accelerators,
                millicores = ending.shape.millicores
            );
        }
    }

    /// Observes the time from acceptance to the first placement.
    fn observe_starts(&self, flows: &FlowState, metrics: &FlowMetrics) {
        let records = self.newly_placed.iter().map(|flow| flows.flows.get(flow));
        for record in records.flatten().filter(|record| record.has_started()) {
            let waited = flows.now.since(record.accepted);
            metrics.observe_start(&record.queue.key.prefix, seconds(waited));
        }
    }
}

/// Returns the flows that have no placement before a change and get one by it.
fn newly_placed(flows: &FlowState, change: &FlowChange) -> Vec<FlowId> {
    let FlowChange::Decide { places, .. } = change else {
        return Vec::new();
    };
    let tasks = places.iter().flat_map(|order| &order.tasks);
    let mut placed_flows: Vec<_> = tasks.map(|(task, _)| task.flow).collect();
    placed_flows.sort_unstable();
    placed_flows.dedup();
    placed_flows.retain(|flow| flows.flows.get(flow).is_some_and(|f| !f.has_started()));
    placed_flows
}

/// Logs and counts a cancelled flow.
fn report_cancelled(flows: &FlowState, flow: FlowId, metrics: &FlowMetrics) {
    metrics.count_flow(queue_prefix(flows, flow), "cancelled");
    event!(info, events::FLOW_CANCELLED, flow = flow);
}

fn queue_prefix(flows: &FlowState, flow: FlowId) -> &str {
    let record = flows.flows.get(&flow);
    record.map_or("", |record| &record.queue.key.prefix)
}

fn run_count(flows: &FlowState, backend: &BackendId) -> usize {
    flows.backends.get(backend).map_or(0, |b| b.runs.len())
}

/// Returns the accelerator time of a part of a run's work, in seconds.
fn accelerator_seconds(ending: &EndingRun, work: DurationMs) -> f64 {
    seconds(work) * f64::from(ending.shape.accelerators)
}

/// Logs and counts the end of a run, and the end of its flow if the flow ended with it.
///
/// `ending` is the run before its end; `None` if its end was known before.
fn report_run_end(
    flows: &FlowState,
    (backend, end): (&BackendId, &RunCompletion),
    ending: Option<&EndingRun>,
    metrics: &FlowMetrics,
) {
    let flow = end.run.task.flow;
    if !flows.flows.contains_key(&flow) {
        return;
    }
    let results = flows.backends.get(backend).map(|b| b.results.as_slice());
    let result = results
        .unwrap_or_default()
        .iter()
        .rfind(|r| r.run == end.run);
    let work = ending.map(|ending| ending.work(flows));
    let shape = ending.map_or(TaskShape::default(), |ending| ending.shape);
    event!(
        info,
        events::RUN_ENDED,
        flow = flow,
        run = end.run,
        backend = backend,
        number = end.number,
        end = format!("{:?}", end.end),
        took_ms = work.map_or(0, |work| work.took.0),
        estimate_ms = result.map_or(0, |r| r.estimate.0),
        saved = !end.saved.is_empty(),
        lost_ms = work.map_or(0, |work| work.lost.0),
        accelerators = shape.accelerators,
        millicores = shape.millicores
    );
    let outcome = match end.end {
        RunOutcome::Done => "done",
        RunOutcome::Failed => "failed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::Lapsed => "lapsed",
        RunOutcome::Broken | RunOutcome::Alone => "broken",
    };
    let lost = ending.zip(work);
    let lost_s = lost.map_or(0.0, |(ending, work)| accelerator_seconds(ending, work.lost));
    metrics.count_run_end(outcome, lost_s);
    report_flow_end(flows, flow, metrics);
}

/// Logs and counts the end of a flow if it ended with the change that was just applied.
fn report_flow_end(flows: &FlowState, flow: FlowId, metrics: &FlowMetrics) {
    let Some(record) = flows.flows.get(&flow) else {
        return;
    };
    let took = flows.now.since(record.accepted);
    let (took_ms, queue) = (took.0, record.queue.key.prefix.as_str());
    match record.phase {
        FlowPhase::Done { at } if at == flows.now => {
            metrics.observe_end(queue, "done", seconds(took));
            event!(info, events::FLOW_DONE, flow = flow, took_ms = took_ms);
        }
        FlowPhase::Failed { at } if at == flows.now => {
            metrics.observe_end(queue, "failed", seconds(took));
            event!(info, events::FLOW_FAILED, flow = flow, took_ms = took_ms);
        }
        _ => {}
    }
}

/// Logs and counts the suspects of a crash, and the end of each flow that is given up for it.
fn report_suspects(
    flows: &FlowState,
    (backend, suspects): (&BackendId, &[CrashSuspect]),
    crash_limit: u32,
    metrics: &FlowMetrics,
) {
    for CrashSuspect { run, at_start } in suspects {
        let flow = run.task.flow;
        let record = flows.flows.get(&flow);
        let given_up = record.is_some_and(|record| record.phase != FlowPhase::Open);
        // The history keeps no record of a flow that has ended.
        let crashes = match record.filter(|_| !given_up) {
            Some(record) => flows.crashes.crashes(record.unit_key(run.task)),
            None => crash_limit,
        };
        metrics.runs.with_label_values(&["suspected"]).inc();
        event!(
            warn,
            events::CRASH_SUSPECTED,
            flow = flow,
            run = run,
            backend = backend,
            crashes = crashes,
            limit = crash_limit,
            suspects = suspects.len(),
            at_start = at_start,
            given_up = given_up
        );
    }
    let mut suspected_flows: Vec<_> = suspects.iter().map(|s| s.run.task.flow).collect();
    suspected_flows.dedup();
    for flow in suspected_flows {
        report_flow_end(flows, flow, metrics);
    }
}

/// Logs and counts an order to stop a run.
fn report_run_stop(flows: &FlowState, stop: &StopOrder, metrics: &FlowMetrics) {
    let outcome = match stop.cause {
        StopCause::Displaced => "displaced",
        StopCause::Moved => "moved",
        StopCause::FlowEnded | StopCause::GangBroken => "withdrawn",
    };
    metrics.runs.with_label_values(&[outcome]).inc();
    let flow = stop.run.task.flow;
    let placed = flows.flows.get(&flow).and_then(|f| f.task(stop.run.task));
    let (backend, since_ms) = match placed.map(|task| &task.phase) {
        Some(TaskPhase::Placed { backend, at, .. }) => (backend.as_str(), flows.now.since(*at).0),
        _ => ("", 0),
    };
    event!(
        info,
        events::RUN_STOPPED,
        flow = flow,
        run = stop.run,
        backend = backend,
        cause = format!("{:?}", stop.cause),
        placed_ms_ago = since_ms
    );
}

/// Logs and counts the runs that an order has placed.
fn report_placement(flows: &FlowState, order: &PlacementOrder, metrics: &FlowMetrics) {
    for (task, backend) in &order.tasks {
        let Some(record) = flows.flows.get(&task.flow) else {
            continue;
        };
        let Some(TaskPhase::Placed { run, at, .. }) = record.task(*task).map(|t| &t.phase) else {
            continue;
        };
        if *at != flows.now {
            // The state changed before the order was applied, so the order had no effect on this
            // task.
            continue;
        }
        let run = RunKey {
            task: *task,
            run: *run,
        };
        metrics.runs.with_label_values(&["placed"]).inc();
        let free = flows.backends.get(backend).map(|b| b.free());
        event!(
            info,
            events::RUN_PLACED,
            flow = task.flow,
            run = run,
            backend = backend,
            gang = order.tasks.len(),
            waited_ms = flows.now.since(record.accepted).0,
            free_after = free.unwrap_or_default().accelerators
        );
    }
}

/// Logs and counts a flow that was refused before it was proposed, with the reason.
pub(crate) fn report_refused_flow(
    flows: &FlowState,
    (flow, queue): (FlowId, &QueueRule),
    (reason, retry_after, decision): (LoadRefusal, DurationMs, AdmissionDecision),
    metrics: &FlowMetrics,
) {
    let (backlog, useful_for) = match decision {
        AdmissionDecision::TooLate {
            backlog,
            useful_for,
            ..
        } => (backlog, useful_for),
        _ => (DurationMs(0), DurationMs(0)),
    };
    let prefix = &queue.key.prefix;
    metrics.count_flow(prefix, "refused");
    event!(
        info,
        events::FLOW_REFUSED,
        flow = flow,
        queue = prefix,
        rank = queue.rank,
        reason = format!("{reason:?}"),
        ahead_ms = backlog.0,
        of_use_ms = useful_for.0,
        retry_after_ms = retry_after.0,
        open = flows.open_flows().count(),
        version = flows.config.as_ref().map_or(0, |c| c.version)
    );
}

/// Logs that a configuration is refused.
pub(crate) fn log_refused_config(version: u64, reason: &str) {
    event!(
        info,
        events::CONFIG_REFUSED,
        version = version,
        reason = reason
    );
}

/// Logs that a cancellation of an unknown flow is refused, since too many are on record.
pub(crate) fn log_refused_withdrawal(flow: FlowId) {
    event!(info, events::WITHDRAWAL_REFUSED, flow = flow);
}

/// Logs a request that was refused because of an error in the request itself.
pub(crate) fn log_denied_request(path: &str, reason: &FlowReply, version: u64) {
    event!(
        info,
        events::REQUEST_DENIED,
        path = path,
        reason = format!("{reason:?}"),
        version = version
    );
}
