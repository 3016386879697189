//! The agent of the backend server on the own instance.

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
    metrics_part::observed,
    processes::{
        BackendPortFailedSnafu,
        InvalidNameSnafu,
        SiteContext,
        listen, //
    },
};

/// Reports of the backend server that may wait for the runner.
const EVENT_QUEUE: usize = 64;
/// How long the leader may hold back its reply to an agent.
const REPORT_HOLD: DurationMs = DurationMs(600);
/// How long a backend server may hold back its list; the platform allows two seconds.
const LIST_WAIT: DurationMs = DurationMs(500);

/// Runs the agent until the stop.
pub(crate) async fn run_agent(context: &SiteContext) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.runner else {
        return Ok(());
    };
    let listener = listen(section.listen).await?;
    let name = &context.settings.instance.name;
    let instance = InstanceName::parse(name).context(InvalidNameSnafu)?;
    let port =
        (context.adapter.make_backend_port)(section.backend).context(BackendPortFailedSnafu)?;
    let (sender, inbox) = async_channel::bounded(EVENT_QUEUE);
    let answer = Rc::clone(&context.adapter.answer_backend);
    let (named, stop) = (instance.clone(), context.stop.clone());
    let limits = ServerLimits::default();
    let handler = observed(context, "backends", move |request| {
        answer(named.clone(), sender.clone(), request)
    });
    let serving = serve_http(listener, limits, stop.clone(), handler);
    let config = RunnerConfig {
        instance,
        report_wait: REPORT_HOLD,
        timing: RunnerTiming {
            list_wait: LIST_WAIT,
        },
        metrics: context.metrics.flows.clone(),
    };
    let running = run_runner(config, context.control.clone(), port, inbox, stop);
    futures::join!(serving, running);
    Ok(())
}
