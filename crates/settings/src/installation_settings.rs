//! The settings of a process in an installation whose processes find each other.

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
    InstanceSection, TimingSection, TimingValues,
    checked_file::FieldFault,
    overridable::{
        check_timing,
        timing_values, //
    },
};

/// How the process reaches the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstallationSection {
    /// The interface that callers, operators and backend servers speak.
    pub adapter: AdapterName,
    /// The own address, for other processes.
    pub address: IpAddr,
    /// The address to listen on for other processes, where a port mapping stands before the own one.
    pub bind: Option<IpAddr>,
    /// The port at which every control replica listens for other processes.
    pub control_port: u16,
    /// Addresses of a few hosts with a control replica; only the hosts count, others are found from there.
    pub seeds: Spanned<Vec<SocketAddr>>,
    /// Where metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
    /// How log lines are written.
    #[serde(default)]
    pub logs: LineFormat,
}

/// The interface that callers, operators and backend servers speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterName {
    /// The interface of the users' infrastructure.
    Platform,
}

/// An entry for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallersSection {
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the entry is ready.
    pub health: SocketAddr,
    /// The port at which calls are passed on to the leader for processes that can't reach it.
    pub relay_port: u16,
}

/// A control replica, or without a folder a process that passes calls on to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSection {
    /// Where operators are served.
    pub operators: SocketAddr,
    /// The folder of the replica's log, on an instance that has a disk.
    pub data_folder: Option<PathBuf>,
    /// Whether the replicas on the seeds bootstrap the control group when their folders are empty.
    #[serde(rename = "found")]
    pub bootstrap: bool,
    /// The maximum number of replicas that may be lost at the same time.
    #[serde(rename = "losses")]
    pub tolerated_losses: Spanned<u16>,
}

/// An agent beside a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerSection {
    /// Where the backend server reports itself.
    pub listen: SocketAddr,
    /// Where the backend server takes calls.
    pub backend: SocketAddr,
}

/// The bounds that backend servers keep.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowsSection {
    /// The longest lease that a backend server grants, in milliseconds.
    pub lease_ms: Spanned<u64>,
    /// What it takes a task to resume from a checkpoint, in milliseconds.
    pub restore_ms: u64,
}

/// The settings of a process in an installation; it runs the parts that have a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstallationSettings {
    /// Who the process is.
    pub instance: InstanceSection,
    /// How it reaches the others.
    pub installation: InstallationSection,
    /// The entry for callers, if the process is one.
    pub callers: Option<CallersSection>,
    /// The control replica, if the process hosts one.
    pub group: Option<GroupSection>,
    /// The agent, if the process is one.
    pub runner: Option<RunnerSection>,
    /// The bounds that backend servers keep.
    pub flows: FlowsSection,
    /// The intervals of elections, where they differ from the defaults.
    pub timing: Option<Spanned<TimingSection>>,
}

/// The shortest lease that outlives a change of leader, in milliseconds.
const LEAST_LEASE_MS: u64 = 2_000;
/// The most replicas that may be lost at the same time; the group then has 15 voters.
const MOST_LOSSES: u16 = 7;

impl InstallationSettings {
    /// Returns the intervals, with the defaults for what is left out.
    pub fn timing_values(&self) -> TimingValues {
        timing_values(self.timing.as_ref())
    }

    /// Returns the internal addresses of the seeds' control replicas.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let port = self.installation.control_port;
        let seeds = self.installation.seeds.get_ref().iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Returns the address at which this process takes calls of other processes to the control group.
    pub fn own_control_address(&self) -> SocketAddr {
        SocketAddr::new(self.installation.address, self.installation.control_port)
    }

    /// Returns where this process listens for calls of other processes to a port.
    pub fn listen_address(&self, port: u16) -> SocketAddr {
        let installation = &self.installation;
        SocketAddr::new(installation.bind.unwrap_or(installation.address), port)
    }

    pub(crate) fn check(&self) -> Result<(), FieldFault> {
        let fault = |span, message: &str| {
            Err(FieldFault {
                span,
                message: message.to_owned(),
            })
        };
        match &self.group {
            _ if self.callers.is_none() && self.group.is_none() && self.runner.is_none() => fault(
                self.installation.seeds.span(),
                "add a section callers, group or runner for what the process is to run",
            ),
            _ if self.installation.seeds.get_ref().is_empty() => fault(
                self.installation.seeds.span(),
                "name at least one host with a control replica",
            ),
            _ if *self.flows.lease_ms.get_ref() < LEAST_LEASE_MS => fault(
                self.flows.lease_ms.span(),
                "use a lease_ms of at least 2000, so that a lease outlives a change of leader",
            ),
            Some(group) if *group.tolerated_losses.get_ref() > MOST_LOSSES => {
                fault(group.tolerated_losses.span(), "use at most 7 for losses")
            }
            _ => check_timing(self.timing.as_ref()),
        }
    }
}
