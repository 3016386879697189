//! The entry for callers.

use std::{
    rc::Rc,
    time::Duration, //
};

use roseridge_entry::FlowGate;
use roseridge_http::{
    ServerLimits,
    serve_http, //
};
use roseridge_shutdown::stop_pair;

use crate::{
    ProcessError,
    processes::{
        SiteContext,
        listen, //
    },
};

/// How long a stopping entry still takes connections: the balancer asks every second, and takes a
/// node out after two misses.
const NOT_READY_SPAN: Duration = Duration::from_millis(2_300);

/// Serves callers, and the balancer that asks whether this process is ready, until the stop; requests
/// in progress are answered first.
pub(crate) async fn run_callers(context: &SiteContext) -> Result<(), ProcessError> {
    let Some(section) = &context.settings.callers else {
        return Ok(());
    };
    let callers = listen(section.listen).await?;
    let health = listen(section.health).await?;
    let stop = context.stop.clone();
    let gate = FlowGate::new(context.control.clone(), stop.clone());
    let watched = gate.clone();
    compio::runtime::spawn(async move { watched.watch().await }).detach();
    let (close, closing) = stop_pair();
    let closer = async {
        stop.wait().await;
        compio::time::sleep(NOT_READY_SPAN).await;
        close.stop();
    };
    let limits = ServerLimits::default();
    let (asked, answer) = (gate.clone(), Rc::clone(&context.adapter.answer_health));
    let readiness = serve_http(health, limits, closing.clone(), move |request| {
        let reply = answer(asked.is_ready(), &request);
        async move { reply }
    });
    let answer = Rc::clone(&context.adapter.answer_caller);
    let serving = serve_http(callers, limits, closing, move |request| {
        answer(gate.clone(), request)
    });
    futures::join!(readiness, serving, closer);
    Ok(())
}
