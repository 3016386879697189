//! Starts and stops the components of an entry instance.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use compio::net::TcpListener;
use futures::future::select;
use log::info;
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

/// The maximum number of submissions that wait for their commit in one entry. Further submissions
/// are refused immediately.
const MAX_SUBMISSIONS: usize = 512;
/// The time for which a stopping entry still accepts connections, so that the load balancer finds
/// it not ready before its listeners close.
const NOT_READY_PERIOD: Duration = Duration::from_millis(500);
/// The maximum time that a stopping entry waits for requests in progress. Requests that take longer
/// are aborted, and their callers have to request the result at another entry.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// An error that an entry instance returns after its stop.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The control replica of the instance has failed.
    #[snafu(display("{source}"))]
    ReplicaFailed {
        /// The cause.
        source: ReplicaError,
    },
}

/// The open listeners of an entry instance.
#[derive(Debug)]
pub struct EntryListeners {
    /// The listener for callers.
    pub callers: TcpListener,
    /// The listener for operators.
    pub operators: TcpListener,
    /// The listener for other processes of the cluster.
    pub internal: TcpListener,
}

/// The configuration of an entry instance.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The name of the process.
    pub name: String,
    /// The name of the cluster. Connections from processes of other clusters are refused.
    pub cluster: String,
    /// The internal addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// The control replica that the process hosts, if any.
    pub replica: Option<ReplicaConfig>,
    /// The customers' tokens.
    pub customers: Vec<TokenEntry>,
    /// The operators' tokens.
    pub operators: Vec<TokenEntry>,
}

/// The limits of an entry instance.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// The limits of each HTTP listener.
    pub server: ServerLimits,
    /// The maximum number of internal calls that wait for the control replica, and of those that
    /// wait for the relay.
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

/// The state that the components of an entry instance share.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub(crate) config: EntryConfig,
    pub(crate) control: ControlClient,
    pub(crate) stop: StopSignal,
    pub(crate) metrics: MetricSet,
    pub(crate) health: EntryHealth,
    /// Each submission that waits for its commit holds a clone, so that the reference count limits
    /// their number.
    submissions: Rc<()>,
}

impl EntryShared {
    /// Returns the response to a health check of the load balancer, or `None` for any other path.
    pub(crate) fn health_reply(&self, path: &str) -> Option<HttpReply> {
        self.health.reply(path, self.stop.is_stopping())
    }

    /// Counts a submission as waiting until the returned value is dropped. Returns `None` if too
    /// many submissions are waiting.
    pub(crate) fn try_begin_submission(&self) -> Option<Rc<()>> {
        let waiting = Rc::strong_count(&self.submissions) - 1;
        (waiting < MAX_SUBMISSIONS).then(|| Rc::clone(&self.submissions))
    }

    /// Updates the metric of refused requests if the response is a refusal.
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
/// Returns an [`EntryError`] after the stop if the control replica of the instance has failed. Until
/// the stop, the entry keeps serving, and the liveness check reports the failure.
pub async fn run_entry(
    config: EntryConfig,
    listeners: EntryListeners,
    stop: StopSignal,
) -> Result<(), EntryError> {
    run_entry_with_limits(config, EntryLimits::default(), listeners, stop).await
}

/// Runs an entry instance until the stop. Before it returns, it answers the requests in progress that
/// complete in a limited time.
///
/// # Errors
///
/// Returns an [`EntryError`] after the stop if the control replica of the instance has failed. Until
/// the stop, the entry keeps serving, and the liveness check reports the failure.
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
                shared.health.record_replica_failure();
                source.log();
            }
            result
        })
    });
    let probed = Rc::clone(&shared);
    compio::runtime::spawn(async move {
        let EntryShared {
            config,
            control,
            stop,
            health,
            ..
        } = &*probed;
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

/// Runs `serving` until it completes, at most until the time limit for requests in progress has passed
/// after the stop.
async fn serve_until_stopped(stop: &StopSignal, serving: impl Future<Output = ()>) {
    let limit = async {
        stop.wait().await;
        compio::time::sleep(NOT_READY_PERIOD + STOP_TIMEOUT).await;
    };
    let (serving, limit) = (pin!(serving), pin!(limit));
    select(serving, limit).await;
}

/// Serves callers and operators until the stop, then completes the requests in progress.
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
        compio::time::sleep(NOT_READY_PERIOD).await;
        close.stop();
    };
    let callers_shared = Rc::clone(shared);
    let operators_shared = Rc::clone(shared);
    let callers = serve_http(callers, limits, closing.clone(), move |request| {
        let shared = Rc::clone(&callers_shared);
        async move {
            let reply = answer_caller(Rc::clone(&shared), request).await;
            shared.count_refusal("callers", &reply);
            reply
        }
    });
    let operators = serve_http(operators, limits, closing, move |request| {
        let shared = Rc::clone(&operators_shared);
        async move {
            let reply = answer_operator(Rc::clone(&shared), request).await;
            shared.count_refusal("operators", &reply);
            reply
        }
    });
    futures::join!(callers, operators, closer);
}
