//! How requests about flows reach the leader, for whoever takes them in.

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

/// The requests that may wait for the leader in one entry; more are refused at once.
const MAX_REQUESTS: usize = 512;
/// The longest time that a request waits for a leader; an election fits into it, and a caller who
/// allows the usual three seconds has more than half of them left.
const LEADER_WAIT: Duration = Duration::from_millis(1_400);
/// The time between two questions for the members of the control group, while they are answered.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time between two questions while they are not answered.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// The time that a question may take.
const PROBE_LIMIT: Duration = Duration::from_millis(600);
/// How long after its last answer the leader is taken to be there, and requests wait for it.
const LEADER_FRESHNESS: Duration = Duration::from_millis(2_400);
/// How long after the leader's last answer the balancer still is told that requests can be served.
const READY_FRESHNESS: Duration = Duration::from_millis(3_500);

/// What a request about flows came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateAnswer {
    /// The leader answered.
    Answered(FlowReply),
    /// The request had no effect.
    NotRun {
        /// When to try again.
        retry_after: DurationMs,
    },
    /// Whether the request had an effect is not known.
    Unknown,
}

/// The way of requests about flows to the leader; clones share it.
#[derive(Debug, Clone)]
pub struct FlowClient {
    control: ControlClient,
    stop: StopSignal,
    /// Is held by each request that waits.
    waiting: Rc<()>,
    heard: Rc<Cell<Option<Instant>>>,
    started: Instant,
    /// Where this process passes calls on for others, if it does.
    relay: Option<SocketAddr>,
}

impl FlowClient {
    /// Makes a gate to the control group.
    ///
    /// The leader tells others of the relay, if there is one in this process.
    pub fn new(control: ControlClient, stop: StopSignal, relay: Option<SocketAddr>) -> Self {
        Self {
            control,
            stop,
            waiting: Rc::default(),
            heard: Rc::default(),
            started: Instant::now(),
            relay,
        }
    }

    /// Asks the leader, and asks again while the limit allows.
    ///
    /// A request is refused at once when the leader has not answered anybody for long.
    pub async fn request(&self, call: FlowCall, limit: Duration) -> GateAnswer {
        let silence = self.silence();
        let retry_after = retry_after(silence);
        let asked = Instant::now();
        let (action, path) = (action_of(&call), path_of(&call));
        let answer = match Rc::strong_count(&self.waiting) > MAX_REQUESTS {
            _ if silence > LEADER_FRESHNESS => GateAnswer::NotRun { retry_after },
            true => GateAnswer::NotRun { retry_after },
            false => {
                let _waiting = Rc::clone(&self.waiting);
                self.send(call, limit.min(LEADER_WAIT)).await
            }
        };
        if !matches!(answer, GateAnswer::Answered(_)) {
            event!(
                info,
                events::REQUEST_UNANSWERED,
                action = action,
                path = path,
                outcome = format!("{answer:?}"),
                leader_silent_ms = silence.as_millis(),
                waited_ms = asked.elapsed().as_millis()
            );
        }
        answer
    }

    async fn send(&self, call: FlowCall, limit: Duration) -> GateAnswer {
        let call = ControlCall::Flow(Box::new(call));
        let deadline = Instant::now() + limit;
        match self.control.call(&call, Duration::ZERO, deadline).await {
            Ok(ControlReply::Flow(reply)) => {
                self.heard.set(Some(Instant::now()));
                GateAnswer::Answered(reply)
            }
            Err(ControlError::NotRun { .. }) => GateAnswer::NotRun {
                retry_after: retry_after(self.silence()),
            },
            Ok(_) | Err(ControlError::Unknown { .. }) => GateAnswer::Unknown,
        }
    }

    /// Returns the time since the leader answered last, or since the start.
    fn silence(&self) -> Duration {
        self.heard.get().unwrap_or(self.started).elapsed()
    }

    /// Returns whether requests can be served: the leader was heard lately and no stop was asked for.
    pub fn is_ready(&self) -> bool {
        let heard = self.heard.get();
        !self.stop.is_stopping() && heard.is_some_and(|at| at.elapsed() <= READY_FRESHNESS)
    }

    /// Asks for the members of the control group again and again until the stop, learns them, and tells
    /// of them; notes how long the leader has been silent.
    pub async fn watch(&self, metrics: &FlowMetrics, tell: impl Fn(&GroupView)) {
        let mut silent_since = None;
        loop {
            let asked = Instant::now();
            let relay = self.relay.map(|address| address.to_string());
            let call = FlowCall::ReadGroup { relay };
            let answer = self.send(call, PROBE_LIMIT).await;
            metrics.leader_silence.set(self.silence().as_secs_f64());
            silent_since = tell_leader(silent_since, asked, &answer);
            let interval = match answer {
                GateAnswer::Answered(FlowReply::Group(group)) => {
                    tell(&group);
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

/// Tells when the leader falls silent and when it is heard again; returns since when it is silent.
fn tell_leader(
    silent_since: Option<Instant>,
    asked: Instant,
    answer: &GateAnswer,
) -> Option<Instant> {
    match (silent_since, answer) {
        (None, GateAnswer::Answered(_)) => None,
        (Some(since), GateAnswer::Answered(_)) => {
            let silent_ms = since.elapsed().as_millis();
            event!(info, events::LEADER_HEARD, silent_ms = silent_ms);
            None
        }
        (None, answer) => {
            event!(info, events::LEADER_SILENT, outcome = format!("{answer:?}"));
            Some(asked)
        }
        (since, _) => since,
    }
}

/// Returns what a request wants, for logs.
fn action_of(call: &FlowCall) -> &'static str {
    match call {
        FlowCall::Caller(request) => request.action.name(),
        FlowCall::Configure(_) => "configure",
        FlowCall::Report(_) => "report",
        _ => "read",
    }
}

/// Returns what names a request in logs.
fn path_of(call: &FlowCall) -> String {
    match call {
        FlowCall::Caller(request) => request.path.clone(),
        FlowCall::Configure(config) => format!("configuration {}", config.version),
        FlowCall::ReadConfig => "configuration".to_owned(),
        FlowCall::ReadFlow { flow } => flow.to_string(),
        FlowCall::Report(_)
        | FlowCall::ReadGroup { .. }
        | FlowCall::ReadSite
        | FlowCall::UpdateGroup(_) => String::new(),
    }
}

/// The shortest time after which a refused request may come again, in milliseconds.
const LEAST_RETRY_MS: u64 = 1_000;
/// The longest time after which a refused request may come again, in milliseconds.
const MOST_RETRY_MS: u64 = 4_000;

/// Returns when to come back after the leader has been silent for a time.
///
/// What lasted for a while lasts about as long again: callers come back soon after a short silence, and
/// those who try only a few times outlast a long one.
fn retry_after(silence: Duration) -> DurationMs {
    let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
    DurationMs(silence_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS))
}
