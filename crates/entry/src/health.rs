//! Health for the balancer: whether the process works, leads to a leader, and goes on.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

use hyper::StatusCode;
use roseridge_events::MetricSet;
use roseridge_http::{
    HttpReply,
    text_response, //
};
use roseridge_model::ConfigRevision;
use roseridge_shutdown::StopSignal;
use roseridge_wire::{
    ControlCall,
    ControlClient,
    ControlReply, //
};

/// The time between two questions to the control group.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The time that a question may take.
const PROBE_LIMIT: Duration = Duration::from_millis(1_500);
/// How long an answer of the control group counts as recent.
const LEADER_FRESHNESS: Duration = Duration::from_secs(5);

/// The last answer of the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlAnswer {
    /// When it came.
    pub at: Instant,
    /// The revision that was in force.
    pub revision: ConfigRevision,
}

/// Why an entry is not ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadyState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Stopping,
    /// The control group has not answered lately.
    NoLeader,
}

impl ReadyState {
    /// Judges an entry from its stop and the control group's last answer.
    pub fn evaluate(stopping: bool, answer: Option<ControlAnswer>, now: Instant) -> Self {
        let is_fresh = |a: ControlAnswer| now.saturating_duration_since(a.at) <= LEADER_FRESHNESS;
        match answer {
            _ if stopping => Self::Stopping,
            Some(answer) if is_fresh(answer) => Self::Ready,
            _ => Self::NoLeader,
        }
    }

    /// Returns the word in the body of the health check.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Stopping => "stopping",
            Self::NoLeader => "no leader",
        }
    }
}

/// What the health checks of an entry are answered from.
#[derive(Debug, Default)]
pub(crate) struct EntryHealth {
    answer: Cell<Option<ControlAnswer>>,
    failed: Cell<bool>,
}

impl EntryHealth {
    /// Notes that the replica inside the process failed for good.
    pub(crate) fn note_failure(&self) {
        self.failed.set(true);
    }

    /// Answers a health check, if the path is one.
    pub(crate) fn reply(&self, path: &str, stopping: bool) -> Option<HttpReply> {
        let (healthy, text) = match path {
            "/livez" if self.failed.get() => (false, "replica failed"),
            "/livez" => (true, "live"),
            "/readyz" => {
                let state = ReadyState::evaluate(stopping, self.answer.get(), Instant::now());
                (state == ReadyState::Ready, state.as_str())
            }
            _ => return None,
        };
        let status = match healthy {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        Some(text_response(status, &format!("{text}\n")))
    }

    /// Returns the seconds since the control group last answered.
    fn age_s(&self) -> f64 {
        let answer = self.answer.get();
        answer.map_or(f64::INFINITY, |a| a.at.elapsed().as_secs_f64())
    }

    /// Brings the metrics of the configuration up to date.
    pub(crate) fn measure(&self, metrics: &MetricSet) {
        metrics.revision_age.set(self.age_s());
        let revision = self.revision().0;
        metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Returns the revision that was heard last.
    fn revision(&self) -> ConfigRevision {
        let answer = self.answer.get();
        answer.map(|a| a.revision).unwrap_or_default()
    }

    /// Asks the control group again and again until the stop.
    pub(crate) async fn watch(&self, entry: &str, control: &ControlClient, stop: &StopSignal) {
        loop {
            let deadline = Instant::now() + PROBE_LIMIT;
            let call = ControlCall::ReadRevision {
                entry: entry.to_owned(),
                known: self.revision(),
            };
            let answer = control.call(&call, Duration::ZERO, deadline);
            match stop.or(answer).await {
                None => return,
                Some(Ok(ControlReply::Revision(revision))) => {
                    self.answer.set(Some(ControlAnswer {
                        at: Instant::now(),
                        revision,
                    }))
                }
                Some(_) => {}
            }
            if stop.sleep(PROBE_INTERVAL).await {
                return;
            }
        }
    }
}
