//! The task that owns the book and talks to the backend server and the leader.

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
    FlowReply, //
};

use crate::{
    BackendPort,
    RunAnswer,
    RunCall,
    RunTable,
    RunnerEvent,
    run_table::RunnerTiming, //
};

/// The time between two looks at the book when nothing happens.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// The time beyond the hold after which a report without a reply is given up.
const REPORT_LIMIT: Duration = Duration::from_millis(1_000);
/// The pause after a report that could not be delivered.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// What a runner is told at its start.
#[derive(Debug, Clone)]
pub struct RunnerConfig {
    /// The instance.
    pub instance: InstanceName,
    /// How long the leader may hold back its reply.
    pub report_wait: DurationMs,
    /// The intervals of the book.
    pub timing: RunnerTiming,
    /// Where calls are counted.
    pub metrics: FlowMetrics,
}

type CallDone = (u64, RunCall, RunAnswer);
type ReportFuture = Pin<Box<dyn Future<Output = Result<ControlReply, ControlError>>>>;

/// Runs the tasks of flows on the backend server of this instance until the stop.
///
/// What runs goes on after the stop for as long as its lease lasts; the next life of the agent finds it.
pub async fn run_runner(
    config: RunnerConfig,
    control: ControlClient,
    port: BackendPort,
    events: Receiver<RunnerEvent>,
    stop: StopSignal,
) {
    let started = Instant::now();
    let now_ms = || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut book = RunTable::new(config.instance.clone(), config.timing);
    let (done, answers) = async_channel::unbounded::<CallDone>();
    let mut report = next_report(&mut book, &config, &control, now_ms());
    while !stop.is_stopping() {
        select_biased! {
            () = stop.wait().fuse() => return,
            answer = answers.recv().fuse() => {
                if let Ok((number, call, answer)) = answer {
                    tell_failure(&call, &answer);
                    let before = book.backend().cloned();
                    book.take_answer(number, &call, answer, now_ms());
                    tell_life(before.as_ref(), book.backend());
                }
            }
            event = events.recv().fuse() => match event {
                Ok(RunnerEvent::Reported(notice)) => book.hear(notice),
                Ok(RunnerEvent::Leaving(backend)) => book.hear_farewell(&backend, now_ms()),
                Err(_) => return,
            },
            reply = (&mut report).fuse() => {
                take_reply(&mut book, &control, reply).await;
                report = next_report(&mut book, &config, &control, now_ms());
            }
            () = compio::time::sleep(LOOK_INTERVAL).fuse() => {}
        }
        for (number, call) in book.next_calls(now_ms()) {
            send_call(&port, number, call, (done.clone(), config.metrics.clone()));
        }
        if book.has_news() {
            // The leader lets the report before it go.
            report = next_report(&mut book, &config, &control, now_ms());
        }
    }
}

/// Tells of a start or a stop that was not carried out.
fn tell_failure(call: &RunCall, answer: &RunAnswer) {
    let (what, run) = match call {
        RunCall::Start { run, .. } => ("start", run),
        RunCall::Stop { run, .. } => ("stop", run),
        RunCall::Renew { .. } => return,
    };
    if !matches!(answer, RunAnswer::Done { .. }) {
        event!(
            info,
            events::RUN_CALL_FAILED,
            call = what,
            flow = run.task.flow,
            run = run,
            backend = call.backend(),
            answer = format!("{answer:?}")
        );
    }
}

/// Tells when another life of the backend server is there, or none.
fn tell_life(before: Option<&BackendId>, after: Option<&BackendId>) {
    if before != after {
        let name = |life: Option<&BackendId>| life.map_or("none", BackendId::as_str).to_owned();
        event!(
            info,
            events::LIFE_CHANGED,
            before = name(before),
            after = name(after)
        );
    }
}

fn send_call(
    port: &BackendPort,
    number: u64,
    call: RunCall,
    (done, metrics): (Sender<CallDone>, FlowMetrics),
) {
    let answer = port.call(call.clone());
    let asked = Instant::now();
    compio::runtime::spawn(async move {
        let answer = answer.await;
        let took_s = asked.elapsed().as_secs_f64();
        metrics.observe_call(call_kind(&call), answer_kind(&answer), took_s);
        // The runner has stopped when nobody receives this.
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
        RunAnswer::NoAnswer => "none",
    }
}

fn next_report(
    book: &mut RunTable,
    config: &RunnerConfig,
    control: &ControlClient,
    now_ms: u64,
) -> ReportFuture {
    let report = book.report(config.report_wait, now_ms);
    let wait = Duration::from(config.report_wait);
    let control = control.clone();
    Box::pin(async move {
        let call = ControlCall::Flow(Box::new(FlowCall::Report(Box::new(report))));
        let deadline = Instant::now() + wait + REPORT_LIMIT;
        control.call(&call, wait, deadline).await
    })
}

async fn take_reply(
    book: &mut RunTable,
    control: &ControlClient,
    reply: Result<ControlReply, ControlError>,
) {
    match reply {
        Ok(ControlReply::Flow(FlowReply::Orders(orders))) => {
            if let Some(group) = &orders.group {
                control.learn_members(&group.members());
                control.learn_relays(&group.detours());
            }
            book.take_orders(orders);
        }
        _ => compio::time::sleep(REPORT_PAUSE).await,
    }
}
