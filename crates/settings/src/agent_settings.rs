//! The settings of an agent.

use std::net::SocketAddr;

use roseridge_model::WorkerName;
use serde::{
    Deserialize,
    Serialize, //
};
use toml::Spanned;

use crate::{
    AgentLimitsSection,
    AgentLimitsValues,
    ControlSection,
    InstanceSection,
    ReplicaEntry,
    TimingSection,
    TimingValues,
    checked_file::FieldError,
    overridable::{
        agent_limits,
        check_timing,
        timing_values, //
    },
    serve_settings::check_replicas, //
};

/// The worker that the agent manages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSection {
    /// The name of the worker.
    pub name: WorkerName,
    /// The loopback address at which the agent accepts announcements of the backend server.
    pub listen: Spanned<SocketAddr>,
    /// The internal addresses of the entries, with those in the agent's failure domain first.
    pub relays: Spanned<Vec<SocketAddr>>,
}

/// The settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The identity of the process.
    pub instance: InstanceSection,
    /// The worker.
    pub worker: WorkerSection,
    /// The control replica that the process hosts, if any.
    pub control: Option<ControlSection>,
    /// Every control replica. Required with `control`, otherwise optional.
    pub replicas: Option<Spanned<Vec<ReplicaEntry>>>,
    /// Overrides of the default election and lease timing.
    pub timing: Option<Spanned<TimingSection>>,
    /// Overrides of the default limits of the process.
    pub limits: Option<Spanned<AgentLimitsSection>>,
}

impl AgentSettings {
    /// Returns the election and lease timing, with defaults for omitted fields.
    pub fn timing_values(&self) -> TimingValues {
        timing_values(self.timing.as_ref())
    }

    /// Returns the limits, with defaults for omitted fields.
    pub fn limits_values(&self) -> AgentLimitsValues {
        agent_limits(self.limits.as_ref())
    }

    pub(crate) fn check(&self) -> Result<(), FieldError> {
        self.check_sections()?;
        check_timing(self.timing.as_ref())
    }

    fn check_sections(&self) -> Result<(), FieldError> {
        let field_error = |span, message: &str| {
            Err(FieldError {
                span,
                message: message.to_owned(),
            })
        };
        match (&self.control, &self.replicas) {
            _ if !self.worker.listen.get_ref().ip().is_loopback() => field_error(
                self.worker.listen.span(),
                "use a loopback address such as 127.0.0.1:7201",
            ),
            _ if self.worker.relays.get_ref().is_empty() => field_error(
                self.worker.relays.span(),
                "name the internal address of at least one entry",
            ),
            (Some(control), None) => field_error(
                control.replica.span(),
                "add every control replica under [[replicas]]",
            ),
            (control, Some(replicas)) => check_replicas(replicas, control.as_ref()),
            (None, None) => Ok(()),
        }
    }
}
