//! Client for sending requests about flows to the leader.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_events::{
    self as events,
    FlowMetrics,
    event, //
};
use roseridge_http::BodyBudget;
use roseridge_model::DurationMs;
use roseridge_shutdown::StopSignal;
use roseridge_wire::{
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowReply,
    GroupView, //
};

/// The maximum number of requests that wait for the leader in one entry. Further requests are
/// refused immediately.
const MAX_WAITING_REQUESTS: usize = 512;
/// The maximum size of the bodies of all requests in progress in one entry, in bytes. A request takes
/// several times the size of its body, in its parsed form and its messages.
const MAX_BODIES_BYTES: usize = 8 * 1_048_576;
/// The maximum time that a request waits for a leader. An election fits into this time, and a
/// caller with the usual timeout of three seconds has more than half of that left.
const LEADER_WAIT: Duration = Duration::from_millis(1_400);
/// The pause between two requests for the members of the control group while the leader replies.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The pause between two such requests while the leader does not reply.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// The maximum time that such a request may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// The time since the leader's last reply after which requests are refused immediately instead of
/// waiting for the leader.
const LEADER_FRESHNESS: Duration = Duration::from_millis(2_400);
/// The time since the leader's last reply after which the entry reports to the load balancer that
/// it is not ready.
const READY_FRESHNESS: Duration = Duration::from_millis(3_500);

/// The result of a request about flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The leader replied.
    Answered(FlowReply),
    /// The request had no effect.
    NotRun {
        /// The time after which the caller should retry.
        retry_after: DurationMs,
    },
    /// It is unknown whether the request had an effect.
    Unknown,
}

/// A client that sends requests about flows to the leader.
///
/// Clones share the limits on waiting requests and their bodies, and the time of the leader's last reply.
#[derive(Debug, Clone)]
pub struct FlowClient {
    control: ControlClient,
    stop: StopSignal,
    /// Each waiting request holds a clone, as does each clone of the client. The reference count limits
    /// the number of waiting requests.
    waiting: Rc<()>,
    bodies: BodyBudget,
    last_answer_at: Rc<Cell<Option<Instant>>>,
    started: Instant,
    /// The address at which this process forwards calls of other processes, if it does.
    relay: Option<SocketAddr>,
}

impl FlowClient {
    /// Creates a client of the control group.
    ///
    /// `relay` is the address at which this process forwards calls of other processes, if it does.
    /// The leader makes it known to them.
    pub fn new(control: ControlClient, stop: StopSignal, relay: Option<SocketAddr>) -> Self {
        Self {
            control,
            stop,
            waiting: Rc::default(),
            bodies: BodyBudget::new(MAX_BODIES_BYTES),
            last_answer_at: Rc::default(),
            started: Instant::now(),
            relay,
        }
    }

    /// Returns the budget for the bodies of requests.
    pub fn bodies(&self) -> &BodyBudget {
        &self.bodies
    }

    /// Logs that a request is refused because of the bodies of others, and returns the time after which
    /// it should be retried.
    pub fn refuse_body(&self, action: &str, path: &str) -> DurationMs {
        let since_last_answer = self.since_last_answer();
        let retry_after = retry_after(since_last_answer);
        event!(
            info,
            events::REQUEST_UNANSWERED,
            action = action,
            path = path,
            outcome = format!("{:?}", CallResult::NotRun { retry_after }),
            leader_silent_ms = since_last_answer.as_millis(),
            waited_ms = 0
        );
        retry_after
    }

    /// Sends a request to the leader and retries until `limit` or a fixed maximum time for finding
    /// a leader has passed.
    ///
    /// The request is refused immediately if the leader has not replied to any request recently or
    /// too many requests are waiting.
    pub async fn request(&self, call: FlowCall, limit: Duration) -> CallResult {
        let since_last_answer = self.since_last_answer();
        let retry_after = retry_after(since_last_answer);
        let requested_at = Instant::now();
        let (action, path) = (action_name(&call), log_path(&call));
        let answer = match Rc::strong_count(&self.waiting) > MAX_WAITING_REQUESTS {
            _ if since_last_answer > LEADER_FRESHNESS => CallResult::NotRun { retry_after },
            true => CallResult::NotRun { retry_after },
            false => {
                let _waiting = Rc::clone(&self.waiting);
                self.send(call, limit.min(LEADER_WAIT)).await
            }
        };
        if !matches!(answer, CallResult::Answered(_)) {
            event!(
                info,
                events::REQUEST_UNANSWERED,
                action = action,
                path = path,
                outcome = format!("{answer:?}"),
                leader_silent_ms = since_last_answer.as_millis(),
                waited_ms = requested_at.elapsed().as_millis()
            );
        }
        answer
    }

    async fn send(&self, call: FlowCall, limit: Duration) -> CallResult {
        let is_read = call.is_read();
        let call = ControlCall::Flow(Box::new(call));
        let deadline = Instant::now() + limit;
        match self.control.call(&call, Duration::ZERO, deadline).await {
            Ok(ControlReply::Flow(reply)) => {
                self.last_answer_at.set(Some(Instant::now()));
                CallResult::Answered(reply)
            }
            Err(ControlError::NotRun { .. }) => CallResult::NotRun {
                retry_after: retry_after(self.since_last_answer()),
            },
            Err(ControlError::Unknown { .. }) if is_read => CallResult::NotRun {
                retry_after: retry_after(self.since_last_answer()),
            },
            Ok(_) | Err(ControlError::Unknown { .. }) => CallResult::Unknown,
        }
    }

    /// Returns the time since the leader's last reply, or since the creation of the client if there
    /// was none.
    fn since_last_answer(&self) -> Duration {
        self.last_answer_at.get().unwrap_or(self.started).elapsed()
    }

    /// Returns whether requests can be served: the leader has replied recently and the process is
    /// not stopping.
    pub fn is_ready(&self) -> bool {
        let last_answer_at = self.last_answer_at.get();
        !self.stop.is_stopping() && last_answer_at.is_some_and(|at| at.elapsed() <= READY_FRESHNESS)
    }

    /// Requests the members of the control group at regular intervals until the stop.
    ///
    /// Passes each reply to `on_group` and learns the members from it. Also updates the metric of
    /// the time since the leader's last reply.
    pub async fn watch(&self, metrics: &FlowMetrics, on_group: impl Fn(&GroupView)) {
        let mut unreachable_since = None;
        loop {
            let requested_at = Instant::now();
            let relay = self.relay.map(|address| address.to_string());
            let call = FlowCall::ReadGroup { relay };
            let answer = self.send(call, PROBE_TIMEOUT).await;
            metrics
                .leader_silence
                .set(self.since_last_answer().as_secs_f64());
            unreachable_since = log_leader_contact(unreachable_since, requested_at, &answer);
            let interval = match answer {
                CallResult::Answered(FlowReply::Group(group)) => {
                    on_group(&group);
                    self.control.set_members(&group.members());
                    let others = group.fallback_relays().into_iter();
                    let others: Vec<_> = others.filter(|a| Some(*a) != self.relay).collect();
                    self.control.set_relays(&others);
                    PROBE_INTERVAL
                }
                _ => SEARCH_INTERVAL,
            };
            if self.stop.sleep(interval).await {
                return;
            }
        }
    }
}

/// Logs when the leader stops replying and when it replies again.
///
/// Returns the time since which the leader has not replied, or `None` if it has.
fn log_leader_contact(
    unreachable_since: Option<Instant>,
    requested_at: Instant,
    answer: &CallResult,
) -> Option<Instant> {
    match (unreachable_since, answer) {
        (None, CallResult::Answered(_)) => None,
        (Some(since), CallResult::Answered(_)) => {
            let silent_ms = since.elapsed().as_millis();
            event!(info, events::LEADER_HEARD, silent_ms = silent_ms);
            None
        }
        (None, answer) => {
            event!(info, events::LEADER_SILENT, outcome = format!("{answer:?}"));
            Some(requested_at)
        }
        (since, _) => since,
    }
}

/// Returns the name of the requested action for logs.
fn action_name(call: &FlowCall) -> &'static str {
    match call {
        FlowCall::Caller(request) => request.action.name(),
        FlowCall::Configure(_) => "configure",
        FlowCall::Report(_) | FlowCall::ReportCold { .. } => "report",
        FlowCall::Evacuate { .. } => "evacuate",
        FlowCall::Restore { .. } => "restore",
        _ => "read",
    }
}

/// Returns the path, version or flow that a request refers to, for logs.
fn log_path(call: &FlowCall) -> String {
    match call {
        FlowCall::Caller(request) => request.path.clone(),
        FlowCall::Configure(config) => format!("configuration {}", config.version),
        FlowCall::ReadConfig => "configuration".to_owned(),
        FlowCall::ReadFlow { flow } => flow.to_string(),
        FlowCall::ReadEvacuations => "evacuations".to_owned(),
        FlowCall::Evacuate { domain, .. } | FlowCall::Restore { domain, .. } => domain.to_string(),
        FlowCall::Report(_)
        | FlowCall::ReportCold { .. }
        | FlowCall::ReadGroup { .. }
        | FlowCall::ReadSite
        | FlowCall::UpdateGroup(_) => String::new(),
    }
}

/// The minimum time after which a refused request may be retried, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// The maximum time after which a refused request may be retried, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 4_000;

/// Returns the time after which a request may be retried, given the time since the leader's last
/// reply.
///
/// An outage is expected to last about as long again as it has lasted. Callers therefore retry soon
/// during a short outage, and those that retry only a few times still get through a long one.
fn retry_after(since_last_answer: Duration) -> DurationMs {
    let elapsed_ms = u64::try_from(since_last_answer.as_millis()).unwrap_or(u64::MAX);
    DurationMs(elapsed_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
}
