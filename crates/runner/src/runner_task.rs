//! The asynchronous task that owns the run table and calls the backend server and the leader.

use std::{
    pin::Pin,
    time::{
        Duration,
        Instant, //
    },
};

use async_channel::{
    Receiver,
    Sender, //
};
use futures::{
    FutureExt,
    select_biased, //
};
use roseridge_events::{
    self as events,
    FlowMetrics,
    event, //
};
use roseridge_model::{
    BackendId,
    DurationMs,
    InstanceName, //
};
use roseridge_shutdown::StopSignal;
use roseridge_wire::{
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowOrders,
    FlowReply, //
};

use crate::{
    BackendPort,
    BarrierView,
    RunAnswer,
    RunCall,
    RunTable,
    RunnerEvent,
    completion_trial::CompletionTrial,
    input_faults::InputFaults,
    run_table::RunnerTiming, //
};

/// The interval at which the run table is polled for due calls when no event arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time, beyond the wait granted to the leader, after which a report without a reply is abandoned.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause after a report that was not answered with orders.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The configuration of a runner.
#[derive(Debug, Clone)]
pub struct RunnerConfig {
    /// The instance that the runner serves.
    pub instance: InstanceName,
    /// The maximum time that the leader may wait for new orders before it replies to a report.
    pub report_wait: DurationMs,
    /// The intervals of the run table.
    pub timing: RunnerTiming,
    /// The metrics that count and time calls.
    pub metrics: FlowMetrics,
}

type CallResult = (u64, RunCall, RunAnswer);
type ReportFuture = Pin<Box<dyn Future<Output = Result<ControlReply, ControlError>>>>;

/// Runs the tasks of flows on the backend server of this instance until the stop signal.
///
/// Runs continue after the stop until their lease expires; the agent's next incarnation takes them over.
pub async fn run_runner(
    config: RunnerConfig,
    control: ControlClient,
    port: BackendPort,
    events: Receiver<RunnerEvent>,
    stop: StopSignal,
) {
    let started = Instant::now();
    let now_ms = || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut table = RunTable::new(config.instance.clone(), config.timing);
    let mut faults = InputFaults::default();
    let (done, answers) = async_channel::unbounded::<CallResult>();
    let mut report = next_report(&mut table, &config, &control, now_ms());
    while !stop.is_stopping() {
        select_biased! {
            () = stop.wait().fuse() => return,
            answer = answers.recv().fuse() => {
                if let Ok((number, call, answer)) = answer {
                    log_failed_call(&call, &answer);
                    log_unconfirmed_acknowledgement(&call, &answer);
                    for fault in unreadable_rows(&answer) {
                        let name = call.backend().name();
                        record_faults(&mut faults, &config, fault, name, now_ms());
                    }
                    let before = (table.backend().cloned(), table.barrier());
                    let trial = table.completion_trial();
                    table.apply_answer(number, &call, answer, now_ms());
                    log_incarnation_change(before.0.as_ref(), &table);
                    log_barrier_change(before.1.as_ref(), &table, now_ms());
                    log_trial_change((before.0.as_ref(), trial), &table);
                }
            }
            event = events.recv().fuse() => match event {
                Ok(RunnerEvent::Reported(status)) => {
                    let name = status.backend.name().to_owned();
                    if !table.apply_status_report(status) {
                        record_faults(&mut faults, &config, ("report", 1), &name, now_ms());
                    }
                }
                Ok(RunnerEvent::Unusable { name }) => {
                    record_faults(&mut faults, &config, ("report", 1), &name, now_ms());
                }
                Ok(RunnerEvent::Leaving(backend)) => table.record_shutdown_notice(&backend, now_ms()),
                Err(_) => return,
            },
            reply = (&mut report).fuse() => {
                apply_reply(&mut table, &control, reply).await;
                report = next_report(&mut table, &config, &control, now_ms());
            }
            () = compio::time::sleep(POLL_INTERVAL).fuse() => {}
        }
        for (number, call) in table.next_calls(now_ms()) {
            log_unordered_stop(&table, &call);
            send_call(&port, number, call, (done.clone(), config.metrics.clone()));
        }
        if table.has_unreported_changes() {
            // The leader drops the previous report, whose reply is no longer awaited.
            report = next_report(&mut table, &config, &control, now_ms());
        }
    }
}

/// Logs a start or a stop that was not carried out.
fn log_failed_call(call: &RunCall, answer: &RunAnswer) {
    let (kind, run) = match call {
        RunCall::Start { run, .. } => ("start", run),
        RunCall::Stop { run, .. } => ("stop", run),
        RunCall::Renew { .. } => return,
    };
    if !matches!(answer, RunAnswer::Done { .. }) {
        event!(
            info,
            events::RUN_CALL_FAILED,
            call = kind,
            flow = run.task.flow,
            run = run,
            backend = call.backend(),
            answer = format!("{answer:?}")
        );
    }
}

/// Logs a renewal whose acknowledgement may not have reached its incarnation, or may have reached another.
fn log_unconfirmed_acknowledgement(call: &RunCall, answer: &RunAnswer) {
    if let RunCall::Renew {
        backend, ends_seen, ..
    } = call
        && *ends_seen > 0
        && !matches!(answer, RunAnswer::Done { .. })
    {
        event!(
            info,
            events::ACK_UNCONFIRMED,
            backend = backend,
            ends_seen = ends_seen,
            answer = format!("{answer:?}")
        );
    }
}

/// Logs a change of the backend server's incarnation, and whether the later one can't get work.
fn log_incarnation_change(before: Option<&BackendId>, table: &RunTable) {
    let after = table.backend();
    if before != after {
        let name = |incarnation: Option<&BackendId>| {
            incarnation.map_or("none", BackendId::as_str).to_owned()
        };
        event!(
            info,
            events::LIFE_CHANGED,
            before = name(before),
            after = name(after)
        );
    }
}

/// Logs that completions of the current incarnation may be deleted, and what its trial has shown.
fn log_trial_change(
    (backend, before): (Option<&BackendId>, Option<(CompletionTrial, u64)>),
    table: &RunTable,
) {
    let Some((after, ends_seen)) = table.completion_trial() else {
        return;
    };
    let is_same = backend == table.backend();
    let before = before.filter(|_| is_same).map(|(trial, _)| trial);
    let event = match (before, after) {
        (None | Some(CompletionTrial::Passed), CompletionTrial::Due) => events::COMPLETIONS_DOUBTED,
        (Some(CompletionTrial::Due | CompletionTrial::Open(_)), CompletionTrial::Failed) => {
            events::BACKEND_UNUSABLE
        }
        (Some(CompletionTrial::Due | CompletionTrial::Open(_)), CompletionTrial::Passed) => {
            events::COMPLETIONS_TRUSTED
        }
        _ => return,
    };
    event!(
        info,
        event,
        backend = table.backend().map_or("none", BackendId::as_str),
        ends_seen = ends_seen
    );
}

/// Logs a barrier of stops that is raised, passed, or left because its incarnation has ended.
fn log_barrier_change(before: Option<&BarrierView>, table: &RunTable, now_ms: u64) {
    let after = table.barrier();
    match (before, &after) {
        (Some(before), Some(after)) if before.backend == after.backend => {}
        (None, None) => {}
        (None, Some(barrier)) => event!(
            warn,
            events::BARRIER_RAISED,
            backend = barrier.backend,
            earlier = table.backend().map_or("none", BackendId::as_str),
            stops = barrier.stops
        ),
        (Some(barrier), _) => event!(
            info,
            events::BARRIER_LEFT,
            backend = barrier.backend,
            passed = table.backend() == Some(&barrier.backend),
            stops = barrier.stops,
            took_ms = now_ms.saturating_sub(barrier.since_ms)
        ),
    }
}

/// Logs the stop of a run that runs without an order.
fn log_unordered_stop(table: &RunTable, call: &RunCall) {
    if let RunCall::Stop { run, backend, .. } = call
        && table.backend() == Some(backend)
        && !table.is_ordered(run)
    {
        event!(
            info,
            events::UNORDERED_RUN_STOPPED,
            flow = run.task.flow,
            run = run,
            backend = backend
        );
    }
}

/// Returns the kinds and numbers of the rows that could not be read.
fn unreadable_rows(answer: &RunAnswer) -> [(&'static str, usize); 2] {
    let (running, ended) = match answer {
        RunAnswer::Done {
            list: Some(list), ..
        } => (list.unreadable_running, list.unreadable_ended),
        _ => (0, 0),
    };
    [("running_row", running), ("ended_row", ended)]
}

/// Counts unusable inputs of one kind and logs them in a bounded number of lines.
fn record_faults(
    faults: &mut InputFaults,
    config: &RunnerConfig,
    (kind, count): (&'static str, usize),
    name: &str,
    now_ms: u64,
) {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    let counter = config.metrics.unusable_inputs.with_label_values(&[kind]);
    counter.inc_by(count);
    let event = match kind {
        "report" => events::REPORT_UNUSABLE,
        _ => events::ROWS_UNREADABLE,
    };
    if let Some(unlogged) = faults.record(kind, count, now_ms) {
        event!(warn, event, kind = kind, name = name, count = unlogged);
    }
}

fn send_call(
    port: &BackendPort,
    number: u64,
    call: RunCall,
    (done, metrics): (Sender<CallResult>, FlowMetrics),
) {
    let answer = port.call(call.clone());
    let sent_at = Instant::now();
    compio::runtime::spawn(async move {
        let answer = answer.await;
        let elapsed_s = sent_at.elapsed().as_secs_f64();
        metrics.observe_call(call_kind(&call), answer_kind(&answer), elapsed_s);
        // Sending fails only after the runner has stopped.
        let _ = done.send((number, call, answer)).await;
    })
    .detach();
}

fn call_kind(call: &RunCall) -> &'static str {
    match call {
        RunCall::Renew { .. } => "hold",
        RunCall::Start { .. } => "start",
        RunCall::Stop { .. } => "stop",
    }
}

fn answer_kind(answer: &RunAnswer) -> &'static str {
    match answer {
        RunAnswer::Done { .. } => "done",
        RunAnswer::Refused(_) => "refused",
        RunAnswer::OtherLife => "other_life",
        RunAnswer::OtherServer => "other_server",
        RunAnswer::NoAnswer => "none",
    }
}

fn next_report(
    table: &mut RunTable,
    config: &RunnerConfig,
    control: &ControlClient,
    now_ms: u64,
) -> ReportFuture {
    let report = Box::new(table.report(config.report_wait, now_ms));
    let call = match table.cold_remaining() {
        DurationMs(0) => FlowCall::Report(report),
        cold_remaining => FlowCall::ReportCold {
            report,
            cold_remaining,
        },
    };
    let wait = Duration::from(config.report_wait);
    let control = control.clone();
    Box::pin(async move {
        let call = ControlCall::Flow(Box::new(call));
        let deadline = Instant::now() + wait + REPLY_TIMEOUT;
        control.call(&call, wait, deadline).await
    })
}

async fn apply_reply(
    table: &mut RunTable,
    control: &ControlClient,
    reply: Result<ControlReply, ControlError>,
) {
    match reply {
        Ok(ControlReply::Flow(FlowReply::Orders(orders))) => apply_orders(table, control, orders),
        Ok(ControlReply::Flow(FlowReply::OrdersOnTrial {
            orders,
            hidden_ends,
        })) => {
            let before = table.completion_trial();
            table.doubt_completions(orders.backend.as_ref(), hidden_ends);
            log_trial_change((table.backend(), before), table);
            apply_orders(table, control, orders);
        }
        _ => compio::time::sleep(RETRY_PAUSE).await,
    }
}

fn apply_orders(table: &mut RunTable, control: &ControlClient, orders: FlowOrders) {
    if let Some(group) = &orders.group {
        control.set_members(&group.members());
        control.set_relays(&group.fallback_relays());
    }
    table.apply_orders(orders);
}
