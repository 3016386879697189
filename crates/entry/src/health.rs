//! Liveness and readiness checks for the load balancer.
//!
//! A live entry has no failed control replica. A ready entry is not stopping and has recently
//! received a reply from the control group.

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

/// The pause between two requests to the control group.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum time that a request to the control group may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum age at which a reply of the control group counts as recent.
const LEADER_FRESHNESS: Duration = Duration::from_secs(5);

/// A reply of the control group to a request for the revision of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlAnswer {
    /// The time at which the reply arrived.
    pub at: Instant,
    /// The revision of the configuration in force.
    pub revision: ConfigRevision,
}

/// Whether an entry is ready, and the reason if it is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadyState {
    /// The entry accepts requests.
    Ready,
    /// The entry finishes requests in progress and accepts no new ones.
    Stopping,
    /// The control group has not replied recently.
    NoLeader,
}

impl ReadyState {
    /// Evaluates the readiness of an entry from whether it is stopping and from the last reply of
    /// the control group.
    pub fn evaluate(stopping: bool, answer: Option<ControlAnswer>, now: Instant) -> Self {
        let is_fresh = |a: ControlAnswer| now.saturating_duration_since(a.at) <= LEADER_FRESHNESS;
        match answer {
            _ if stopping => Self::Stopping,
            Some(answer) if is_fresh(answer) => Self::Ready,
            _ => Self::NoLeader,
        }
    }

    /// Returns the text of the state in the body of the readiness check.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Stopping => "stopping",
            Self::NoLeader => "no leader",
        }
    }
}

/// The state from which the health checks of an entry are answered.
#[derive(Debug, Default)]
pub(crate) struct EntryHealth {
    answer: Cell<Option<ControlAnswer>>,
    replica_failed: Cell<bool>,
}

impl EntryHealth {
    /// Records that the control replica of this process has failed permanently.
    pub(crate) fn record_replica_failure(&self) {
        self.replica_failed.set(true);
    }

    /// Returns the response to a health check, or `None` if the path is not that of one.
    pub(crate) fn reply(&self, path: &str, stopping: bool) -> Option<HttpReply> {
        let (healthy, text) = match path {
            "/livez" if self.replica_failed.get() => (false, "replica failed"),
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

    /// Returns the time since the last reply of the control group in seconds, or infinity if there
    /// was none.
    fn answer_age_s(&self) -> f64 {
        let answer = self.answer.get();
        answer.map_or(f64::INFINITY, |a| a.at.elapsed().as_secs_f64())
    }

    /// Updates the metrics of the configuration revision and its age.
    pub(crate) fn update_metrics(&self, metrics: &MetricSet) {
        metrics.revision_age.set(self.answer_age_s());
        let revision = self.revision().0;
        metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Returns the revision in the last reply of the control group.
    fn revision(&self) -> ConfigRevision {
        let answer = self.answer.get();
        answer.map(|a| a.revision).unwrap_or_default()
    }

    /// Requests the revision from the control group at regular intervals until the stop.
    pub(crate) async fn watch(&self, entry: &str, control: &ControlClient, stop: &StopSignal) {
        loop {
            let deadline = Instant::now() + PROBE_TIMEOUT;
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
