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

use roseridge_model::DurationMs;
use roseridge_shutdown::StopSignal;
use roseridge_wire::{
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowReply, //
};

/// The requests that may wait for the leader in one entry; more are refused at once.
const MAX_REQUESTS: usize = 512;
/// The time between two questions for the members of the control group.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time that a question may take.
const PROBE_LIMIT: Duration = Duration::from_millis(1_200);
/// How long an answer of the leader counts as recent.
const LEADER_FRESHNESS: Duration = Duration::from_millis(3_500);
/// When a request that was not taken may come again, as long as a new leader takes to be there.
const RETRY_AFTER: DurationMs = DurationMs(1_000);

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
pub struct FlowGate {
    control: ControlClient,
    stop: StopSignal,
    /// Is held by each request that waits.
    waiting: Rc<()>,
    heard: Rc<Cell<Option<Instant>>>,
}

impl FlowGate {
    /// Makes a gate to the control group.
    pub fn new(control: ControlClient, stop: StopSignal) -> Self {
        Self {
            control,
            stop,
            waiting: Rc::default(),
            heard: Rc::default(),
        }
    }

    /// Asks the leader, and asks again while the limit allows.
    pub async fn ask(&self, call: FlowCall, limit: Duration) -> GateAnswer {
        let retry_after = RETRY_AFTER;
        if Rc::strong_count(&self.waiting) > MAX_REQUESTS {
            return GateAnswer::NotRun { retry_after };
        }
        let _waiting = Rc::clone(&self.waiting);
        let call = ControlCall::Flow(Box::new(call));
        let deadline = Instant::now() + limit;
        match self.control.call(&call, Duration::ZERO, deadline).await {
            Ok(ControlReply::Flow(reply)) => {
                self.heard.set(Some(Instant::now()));
                GateAnswer::Answered(reply)
            }
            Err(ControlError::NotRun { .. }) => GateAnswer::NotRun { retry_after },
            Ok(_) | Err(ControlError::Unknown { .. }) => GateAnswer::Unknown,
        }
    }

    /// Returns whether requests can be served: the leader was heard lately and no stop was asked for.
    pub fn is_ready(&self) -> bool {
        let heard = self.heard.get();
        !self.stop.is_stopping() && heard.is_some_and(|at| at.elapsed() <= LEADER_FRESHNESS)
    }

    /// Asks for the members of the control group again and again until the stop, and learns them.
    pub async fn watch(&self) {
        loop {
            if let GateAnswer::Answered(FlowReply::Group(group)) =
                self.ask(FlowCall::ReadGroup, PROBE_LIMIT).await
            {
                let addresses = group.addresses.iter();
                let addresses: Vec<SocketAddr> = addresses.filter_map(|a| a.parse().ok()).collect();
                self.control.learn(&addresses);
            }
            if self.stop.sleep(PROBE_INTERVAL).await {
                return;
            }
        }
    }
}
