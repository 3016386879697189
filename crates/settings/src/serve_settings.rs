//! The settings of an entry instance.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf, //
};

use roseridge_model::{
    CustomerName,
    DomainName, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use toml::Spanned;

use crate::{
    EntryLimitsSection,
    EntryLimitsValues,
    TimingSection,
    TimingValues,
    TokenHash, //
    checked_file::FieldError,
    overridable::{
        check_entry_limits,
        check_timing,
        entry_limits,
        timing_values, //
    },
};

/// The identity of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSection {
    /// The name of the process in logs and reports.
    pub name: String,
    /// The name of the cluster. Connections from processes of other clusters are refused.
    pub cluster: String,
    /// The failure domain in which the process runs.
    pub domain: DomainName,
}

/// The listen addresses of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other processes of the cluster.
    pub internal: SocketAddr,
}

/// The control replica that the process hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSection {
    /// The id of the replica.
    pub replica: Spanned<u64>,
    /// The folder of the replica's log.
    pub data_folder: PathBuf,
}

/// One control replica of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaEntry {
    /// The id of the replica.
    pub id: u64,
    /// The internal address of the replica.
    pub address: SocketAddr,
}

/// A customer or operator and the hash of its token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenEntry {
    /// The name of the customer or operator.
    pub name: CustomerName,
    /// The salted hash of the token.
    pub token: TokenHash,
}

/// The settings of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeSettings {
    /// The identity of the process.
    pub instance: InstanceSection,
    /// The listen addresses.
    pub listen: ListenSection,
    /// The control replica that the process hosts, if any.
    pub control: Option<ControlSection>,
    /// Every control replica.
    pub replicas: Spanned<Vec<ReplicaEntry>>,
    /// Overrides of the default election and lease timing.
    pub timing: Option<Spanned<TimingSection>>,
    /// Overrides of the default limits of the process.
    pub limits: Option<Spanned<EntryLimitsSection>>,
    /// The customers' tokens.
    #[serde(default)]
    pub customers: Vec<TokenEntry>,
    /// The operators' tokens.
    #[serde(default)]
    pub operators: Vec<TokenEntry>,
}

impl ServeSettings {
    /// Returns the internal address of each control replica by its id.
    pub fn replica_addresses(&self) -> BTreeMap<u64, SocketAddr> {
        addresses_by_id(self.replicas.get_ref())
    }

    /// Returns the election and lease timing, with defaults for omitted fields.
    pub fn timing_values(&self) -> TimingValues {
        timing_values(self.timing.as_ref())
    }

    /// Returns the limits, with defaults for omitted fields.
    pub fn limits_values(&self) -> EntryLimitsValues {
        entry_limits(self.limits.as_ref())
    }

    pub(crate) fn check(&self) -> Result<(), FieldError> {
        check_replicas(&self.replicas, self.control.as_ref())?;
        check_timing(self.timing.as_ref())?;
        check_entry_limits(self.limits.as_ref())
    }
}

pub(crate) fn addresses_by_id(replicas: &[ReplicaEntry]) -> BTreeMap<u64, SocketAddr> {
    replicas.iter().map(|r| (r.id, r.address)).collect()
}

pub(crate) fn check_replicas(
    replicas: &Spanned<Vec<ReplicaEntry>>,
    control: Option<&ControlSection>,
) -> Result<(), FieldError> {
    let known = addresses_by_id(replicas.get_ref());
    let field_error = |span, message: &str| {
        Err(FieldError {
            span,
            message: message.to_owned(),
        })
    };
    match control {
        _ if known.is_empty() => field_error(
            replicas.span(),
            "name at least one control replica, three for a cluster that survives the loss of one",
        ),
        _ if known.len() != replicas.get_ref().len() => {
            field_error(replicas.span(), "give each control replica its own id")
        }
        Some(control) if !known.contains_key(control.replica.get_ref()) => field_error(
            control.replica.span(),
            "use the id of one of the entries under [[replicas]]",
        ),
        _ => Ok(()),
    }
}
