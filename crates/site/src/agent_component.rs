//! The agent component, which controls the backend server on the same instance.

use std::rc::Rc;

use roseridge_http::{
    ServerLimits,
    serve_http, //
};
use roseridge_model::{
    DurationMs,
    InstanceName, //
};
use roseridge_runner::{
    RunnerConfig,
    RunnerTiming,
    run_runner, //
};
use snafu::ResultExt;

use crate::{
    ProcessError,
    metrics_server::with_request_metrics,
    site_context::{
        BackendPortFailedSnafu,
        InvalidNameSnafu,
        SiteContext,
        listen, //
    },
};

/// The maximum number of events from the backend server that wait for the runner.
const EVENT_QUEUE_LENGTH: usize = 64;
/// The maximum time for which the leader may delay its reply to an agent until it has new orders.
const MAX_REPORT_WAIT: DurationMs = DurationMs(600);
/// The maximum time for which the backend server may delay its list of runs while nothing changes.
/// The platform allows up to two seconds.
const MAX_LIST_WAIT: DurationMs = DurationMs(500);

/// Runs the agent until the stop signal; returns at once if the settings configure none.
///
/// # Errors
///
/// Returns a [`ProcessError`] if the listener can't be opened, the instance's name is invalid or
/// the client of the backend server can't be set up.
pub(crate) async fn run_agent(context: &SiteContext) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.runner else {
        return Ok(());
    };
    let listener = listen(section.listen).await?;
    let name = &context.settings.instance.name;
    let instance = InstanceName::parse(name).context(InvalidNameSnafu)?;
    let port =
        (context.adapter.make_backend_port)(section.backend).context(BackendPortFailedSnafu)?;
    let (events, received_events) = async_channel::bounded(EVENT_QUEUE_LENGTH);
    let answer = Rc::clone(&context.adapter.answer_backend);
    let (handler_instance, stop) = (instance.clone(), context.stop.clone());
    let limits = ServerLimits::default();
    let handler = with_request_metrics(context, "backends", move |request| {
        answer(handler_instance.clone(), events.clone(), request)
    });
    let serving = serve_http(listener, limits, stop.clone(), handler);
    let config = RunnerConfig {
        instance,
        report_wait: MAX_REPORT_WAIT,
        timing: RunnerTiming {
            list_wait: MAX_LIST_WAIT,
        },
        metrics: context.metrics.flows.clone(),
    };
    let running = run_runner(config, context.control.clone(), port, received_events, stop);
    futures::join!(serving, running);
    Ok(())
}
