//! The settings of a process in an installation, where processes discover each other.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf,
};

use roseridge_logs::LineFormat;
use serde::{
    Deserialize,
    Serialize, //
};
use toml::Spanned;

use crate::{
    GraceTime,
    InstanceSection,
    TimingSection,
    TimingValues, //
    checked_file::FieldError,
    overridable::{
        check_timing,
        timing_values, //
    },
};

/// How the process and the others in the installation reach each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstallationSection {
    /// The external interface for callers, operators and backend servers.
    pub adapter: AdapterName,
    /// The address at which other processes reach this one.
    pub address: IpAddr,
    /// The local address to listen on for other processes, if a port mapping translates `address`.
    pub bind: Option<IpAddr>,
    /// The port at which every control replica listens for other processes.
    pub control_port: u16,
    /// Addresses of a few hosts with a control replica. Their ports are ignored, and all other
    /// replicas are discovered through these hosts.
    pub seeds: Spanned<Vec<SocketAddr>>,
    /// The address at which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// The format of log lines.
    #[serde(default)]
    pub logs: LineFormat,
    /// The time after which the process is killed once it was asked to stop, in seconds.
    #[serde(default)]
    pub stop_grace_s: GraceTime,
}

/// The external interface for callers, operators and backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterName {
    /// The interface of the users' infrastructure.
    Platform,
}

/// The settings of an entry for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallersSection {
    /// The address at which callers are served.
    pub listen: SocketAddr,
    /// The address at which the load balancer checks whether the entry is ready.
    pub health: SocketAddr,
    /// The port at which calls are forwarded to the leader for processes that can't reach it.
    pub relay_port: u16,
}

/// The settings of a control replica or, without a data folder, of a process that forwards calls
/// to the control replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSection {
    /// The address at which operators are served.
    pub operators: SocketAddr,
    /// The folder of the replica's log, if the instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// Whether the replicas on the seeds bootstrap the control group when their folders are empty.
    #[serde(rename = "found")]
    pub bootstrap: bool,
    /// The maximum number of replicas that may be lost at the same time.
    #[serde(rename = "losses")]
    pub tolerated_losses: Spanned<u16>,
}

/// The settings of the agent of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerSection {
    /// The address at which the agent accepts reports of the backend server.
    pub listen: SocketAddr,
    /// The address at which the backend server accepts calls.
    pub backend: SocketAddr,
}

/// The time limits of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowsSection {
    /// The maximum lease that a backend server grants, in milliseconds.
    pub lease_ms: Spanned<u64>,
    /// The time that a task takes to resume from a checkpoint, in milliseconds.
    pub restore_ms: u64,
}

/// The settings of a process in an installation. The process runs each component that has a
/// section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstallationSettings {
    /// The identity of the process.
    pub instance: InstanceSection,
    /// How the process and the others reach each other.
    pub installation: InstallationSection,
    /// The entry for callers, if the process runs one.
    pub callers: Option<CallersSection>,
    /// The control replica or the forwarding of calls to it, if the process runs either.
    pub group: Option<GroupSection>,
    /// The agent, if the process runs one.
    pub runner: Option<RunnerSection>,
    /// The time limits of backend servers.
    pub flows: FlowsSection,
    /// Overrides of the default election timing.
    pub timing: Option<Spanned<TimingSection>>,
}

/// The minimum lease in milliseconds. A shorter lease expires during a change of leader.
const MIN_LEASE_MS: u64 = 2_000;
/// The maximum number of replicas that may be lost at the same time. A group that tolerates this
/// many losses has 15 voters.
const MAX_TOLERATED_LOSSES: u16 = 7;

impl InstallationSettings {
    /// Returns the election timing, with defaults for omitted fields.
    pub fn timing_values(&self) -> TimingValues {
        timing_values(self.timing.as_ref())
    }

    /// Returns the internal addresses of the control replicas on the seed hosts.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let port = self.installation.control_port;
        let seeds = self.installation.seeds.get_ref().iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Returns the address at which this process accepts calls of other processes to the control
    /// group.
    pub fn own_control_address(&self) -> SocketAddr {
        SocketAddr::new(self.installation.address, self.installation.control_port)
    }

    /// Returns the local address at which this process accepts calls of other processes to `port`.
    pub fn listen_address(&self, port: u16) -> SocketAddr {
        let installation = &self.installation;
        SocketAddr::new(installation.bind.unwrap_or(installation.address), port)
    }

    pub(crate) fn check(&self) -> Result<(), FieldError> {
        let field_error = |span, message: &str| {
            Err(FieldError {
                span,
                message: message.to_owned(),
            })
        };
        match &self.group {
            _ if self.callers.is_none() && self.group.is_none() && self.runner.is_none() => {
                field_error(
                    self.installation.seeds.span(),
                    "add a section callers, group or runner for what the process is to run",
                )
            }
            _ if self.installation.seeds.get_ref().is_empty() => field_error(
                self.installation.seeds.span(),
                "name at least one host with a control replica",
            ),
            _ if *self.flows.lease_ms.get_ref() < MIN_LEASE_MS => field_error(
                self.flows.lease_ms.span(),
                "use a lease_ms of at least 2000, so that a lease outlasts a change of leader",
            ),
            Some(group) if *group.tolerated_losses.get_ref() > MAX_TOLERATED_LOSSES => {
                field_error(group.tolerated_losses.span(), "use at most 7 for losses")
            }
            _ => check_timing(self.timing.as_ref()),
        }
    }
}
