//! The parts of an entry instance and their start and stop.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use compio::net::TcpListener;
use futures::future::select;
use log::{
    error,
    info, //
};
use roseridge_control::{
    ReplicaConfig,
    ReplicaError,
    run_replica, //
};
use roseridge_events::{
    self as events,
    MetricSet, //
};
use roseridge_http::{
    HttpReply,
    RefusalKind,
    ServerLimits,
    serve_http, //
};
use roseridge_settings::TokenEntry;
use roseridge_shutdown::{
    StopSignal,
    stop_pair, //
};
use roseridge_wire::{
    ControlClient,
    InboundSender,
    serve_listener, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    caller_api::answer_caller,
    health::EntryHealth,
    operator_api::answer_operator,
    relay_task::run_relay, //
};

/// Submissions that may wait for their commit in one entry; more are refused at once.
const MAX_SUBMISSIONS: usize = 512;
/// How long a stopping entry still takes connections, so that the balancer first sees it not ready.
const NOT_READY_SPAN: Duration = Duration::from_millis(500);
/// The longest time that a stopping entry gives the requests in progress; the rest is cut, and its
/// callers have to ask another entry.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Why an entry instance stopped by itself.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The control replica that it hosts has failed.
    #[snafu(display("{source}"))]
    ReplicaFailed {
        /// The cause.
        source: ReplicaError,
    },
}

/// The open listeners of an entry instance.
#[derive(Debug)]
pub struct EntryListeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For the processes of the system.
    pub internal: TcpListener,
}

/// What an entry instance is told at its start.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The name of the process.
    pub name: String,
    /// The cluster that its links belong to.
    pub cluster: String,
    /// The internal addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// The control replica that it hosts, if any.
    pub replica: Option<ReplicaConfig>,
    /// The customers' tokens.
    pub customers: Vec<TokenEntry>,
    /// The operators' tokens.
    pub operators: Vec<TokenEntry>,
}

/// The limits of an entry instance.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// The limits of each listener for HTTP.
    pub server: ServerLimits,
    /// Internal calls that may wait for the control replica or the relay, each.
    pub call_queue: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            server: ServerLimits::default(),
            call_queue: 2_048,
        }
    }
}

/// What the parts of an entry instance share.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub(crate) config: EntryConfig,
    pub(crate) control: ControlClient,
    pub(crate) stop: StopSignal,
    pub(crate) metrics: MetricSet,
    pub(crate) health: EntryHealth,
    /// Is held by each submission that waits for its commit.
    submissions: Rc<()>,
}

impl EntryShared {
    /// Answers the balancer's health checks.
    pub(crate) fn health_reply(&self, path: &str) -> Option<HttpReply> {
        self.health.reply(path, self.stop.is_stopping())
    }

    /// Counts a submission for as long as the returned value is kept, unless too many wait.
    pub(crate) fn begin_submission(&self) -> Option<Rc<()>> {
        let waiting = Rc::strong_count(&self.submissions) - 1;
        (waiting < MAX_SUBMISSIONS).then(|| Rc::clone(&self.submissions))
    }

    /// Counts a response that refuses its request.
    fn count_refusal(&self, listener: &str, reply: &HttpReply) {
        if let Some(RefusalKind(reason)) = reply.extensions().get() {
            self.metrics.count_refusal(listener, reason);
        }
    }
}

/// Runs an entry instance with the default limits until the stop.
///
/// # Errors
///
/// Returns an [`EntryError`] when a part fails for good.
pub async fn run_entry(
    config: EntryConfig,
    listeners: EntryListeners,
    stop: StopSignal,
) -> Result<(), EntryError> {
    run_entry_with_limits(config, EntryLimits::default(), listeners, stop).await
}

/// Runs an entry instance until the stop; requests in progress are answered first.
///
/// # Errors
///
/// Returns an [`EntryError`] when a part fails for good.
pub async fn run_entry_with_limits(
    config: EntryConfig,
    limits: EntryLimits,
    listeners: EntryListeners,
    stop: StopSignal,
) -> Result<(), EntryError> {
    let shared = Rc::new(EntryShared {
        control: ControlClient::new(&config.control, &config.cluster),
        config: config.clone(),
        stop: stop.clone(),
        metrics: MetricSet::new(),
        health: EntryHealth::default(),
        submissions: Rc::default(),
    });
    let (internal_stop, internal_signal) = stop_pair();
    let (relay_in, relay_calls) = async_channel::bounded(limits.call_queue);
    let (control_in, control_calls) = async_channel::bounded(limits.call_queue);
    let inbound = InboundSender {
        control: config.replica.is_some().then_some(control_in),
        relay: Some(relay_in),
    };
    let serving = serve_listener(listeners.internal, config.cluster.clone(), inbound);
    let internal = compio::runtime::spawn(serving);
    let relay = run_relay(shared.control.clone(), relay_calls, internal_signal.clone());
    compio::runtime::spawn(relay).detach();
    let replica = config.replica.clone().map(|replica| {
        let shared = Rc::clone(&shared);
        compio::runtime::spawn(async move {
            let metrics = shared.metrics.clone();
            let result = run_replica(replica, control_calls, internal_signal, metrics).await;
            if let Err(source) = &result {
                shared.health.note_failure();
                error!("{}", source.log_line());
            }
            result
        })
    });
    let watched = Rc::clone(&shared);
    compio::runtime::spawn(async move {
        let EntryShared {
            config,
            control,
            stop,
            health,
            ..
        } = &*watched;
        health.watch(&config.name, control, stop).await;
    })
    .detach();
    info!("{}", events::PROCESS_STARTED.line(&config.name));
    let serving = serve_callers(
        &shared,
        limits.server,
        listeners.callers,
        listeners.operators,
    );
    serve_until_stopped(&shared.stop, serving).await;
    info!("{}", events::PROCESS_STOPPING.line(&config.name));
    internal_stop.stop();
    let result = match replica {
        Some(replica) => match replica.await {
            Ok(result) => result.context(ReplicaFailedSnafu),
            Err(_) => Ok(()),
        },
        None => Ok(()),
    };
    drop(internal);
    info!("{}", events::PROCESS_STOPPED.line(&config.name));
    result
}

/// Serves until the stop and for as long after it as the requests in progress may take.
async fn serve_until_stopped(stop: &StopSignal, serving: impl Future<Output = ()>) {
    let limit = async {
        stop.wait().await;
        compio::time::sleep(NOT_READY_SPAN + STOP_LIMIT).await;
    };
    let (serving, limit) = (pin!(serving), pin!(limit));
    select(serving, limit).await;
}

/// Serves callers and operators until the stop, then ends what is in progress.
async fn serve_callers(
    shared: &Rc<EntryShared>,
    limits: ServerLimits,
    callers: TcpListener,
    operators: TcpListener,
) {
    let (close, closing) = stop_pair();
    let stop = shared.stop.clone();
    let closer = async move {
        stop.wait().await;
        compio::time::sleep(NOT_READY_SPAN).await;
        close.stop();
    };
    let for_callers = Rc::clone(shared);
    let for_operators = Rc::clone(shared);
    let callers = serve_http(callers, limits, closing.clone(), move |request| {
        let shared = Rc::clone(&for_callers);
        async move {
            let reply = answer_caller(Rc::clone(&shared), request).await;
            shared.count_refusal("callers", &reply);
            reply
        }
    });
    let operators = serve_http(operators, limits, closing, move |request| {
        let shared = Rc::clone(&for_operators);
        async move {
            let reply = answer_operator(Rc::clone(&shared), request).await;
            shared.count_refusal("operators", &reply);
            reply
        }
    });
    futures::join!(callers, operators, closer);
}
