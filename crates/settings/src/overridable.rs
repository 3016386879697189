//! Settings sections whose fields override built-in defaults.

use serde::{
    Deserialize,
    Serialize, //
};
use toml::Spanned;

use crate::checked_file::FieldError;

const DEFAULT_SETTINGS: &str = include_str!("default_settings.toml");

/// Defines a section of optional fields and a struct of the values that they resolve to.
macro_rules! overridable {
    (
        $(#[$doc:meta])*
        $section:ident => $values:ident {
            $($(#[$field_doc:meta])* $field:ident: $kind:ty,)*
        }
    ) => {
        $(#[$doc])*
        ///
        /// An omitted field has its built-in default.
        #[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $section {
            $($(#[$field_doc])* pub $field: Option<$kind>,)*
        }

        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $values {
            $($(#[$field_doc])* pub $field: $kind,)*
        }

        impl $section {
            fn resolve(&self, defaults: &$values) -> $values {
                $values {
                    $($field: self.$field.unwrap_or(defaults.$field),)*
                }
            }
        }
    };
}

overridable! {
    /// The timing of elections and leases, in milliseconds.
    TimingSection => TimingValues {
        /// The interval between two heartbeats of a leader.
        heartbeat_ms: u64,
        /// The minimum time without a leader after which an election starts.
        election_min_ms: u64,
        /// The maximum random delay that is added to the minimum election timeout.
        election_spread_ms: u64,
        /// The time for which an agent may continue after the last renewal of its lease.
        lease_ms: u64,
        /// The time after the end of a lease for which the leader does not yet reassign the
        /// resources that the agent held.
        lease_margin_ms: u64,
    }
}

overridable! {
    /// The limits of an entry.
    EntryLimitsSection => EntryLimitsValues {
        /// The maximum number of open connections of each HTTP listener.
        connections: usize,
        /// The time limit for receiving the headers of a request, in milliseconds.
        header_timeout_ms: u64,
        /// The maximum number of internal calls that wait for the replica, and of those that wait
        /// for the relay.
        call_queue: usize,
    }
}

overridable! {
    /// The limits of an agent.
    AgentLimitsSection => AgentLimitsValues {
        /// The maximum time that a stopping agent waits for its tasks, in milliseconds.
        stop_limit_ms: u64,
    }
}

/// The built-in defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DefaultSettings {
    /// The timing of elections and leases.
    pub timing: TimingValues,
    /// The limits of entries.
    pub entry_limits: EntryLimitsValues,
    /// The limits of agents.
    pub agent_limits: AgentLimitsValues,
}

/// Returns the built-in defaults.
///
/// # Panics
///
/// Panics if the built-in file is malformed. A test checks that it is well-formed.
pub fn default_settings() -> DefaultSettings {
    toml::from_str(DEFAULT_SETTINGS).expect("the built-in defaults are well-formed")
}

pub(crate) fn timing_values(section: Option<&Spanned<TimingSection>>) -> TimingValues {
    let defaults = default_settings().timing;
    section.map_or(defaults.clone(), |s| s.get_ref().resolve(&defaults))
}

pub(crate) fn entry_limits(section: Option<&Spanned<EntryLimitsSection>>) -> EntryLimitsValues {
    let defaults = default_settings().entry_limits;
    section.map_or(defaults.clone(), |s| s.get_ref().resolve(&defaults))
}

pub(crate) fn agent_limits(section: Option<&Spanned<AgentLimitsSection>>) -> AgentLimitsValues {
    let defaults = default_settings().agent_limits;
    section.map_or(defaults.clone(), |s| s.get_ref().resolve(&defaults))
}

/// The minimum number of heartbeat intervals in the minimum election timeout.
const MIN_HEARTBEATS_PER_ELECTION: u64 = 3;
/// The minimum lease, in milliseconds.
const MIN_LEASE_MS: u64 = 2_000;
/// The clocks of two processes may drift apart by up to 1/50 of a lease while it runs. The lease
/// margin must cover this drift.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

pub(crate) fn check_timing(section: Option<&Spanned<TimingSection>>) -> Result<(), FieldError> {
    let timing = timing_values(section);
    let message = match &timing {
        t if t.heartbeat_ms == 0 => "use a heartbeat_ms of at least 1".to_owned(),
        t if t.election_min_ms < t.heartbeat_ms * MIN_HEARTBEATS_PER_ELECTION => format!(
            "use an election_min_ms of at least {}, three heartbeats",
            t.heartbeat_ms * MIN_HEARTBEATS_PER_ELECTION
        ),
        t if t.election_spread_ms == 0 => {
            "use an election_spread_ms of at least 1; a spread near election_min_ms keeps \
             candidates apart"
                .to_owned()
        }
        t if t.lease_ms < MIN_LEASE_MS => format!("use a lease_ms of at least {MIN_LEASE_MS}"),
        t if t.lease_margin_ms < t.lease_ms / CLOCK_DRIFT_DIVISOR => format!(
            "use a lease_margin_ms of at least {}, a fiftieth of lease_ms",
            t.lease_ms / CLOCK_DRIFT_DIVISOR
        ),
        _ => return Ok(()),
    };
    field_error(section, message)
}

pub(crate) fn check_entry_limits(
    section: Option<&Spanned<EntryLimitsSection>>,
) -> Result<(), FieldError> {
    let message = match entry_limits(section) {
        l if l.connections == 0 => "use at least 1 for connections",
        l if l.header_timeout_ms == 0 => "use a header_timeout_ms of at least 1",
        l if l.call_queue == 0 => "use at least 1 for call_queue",
        _ => return Ok(()),
    };
    field_error(section, message.to_owned())
}

fn field_error<T>(section: Option<&Spanned<T>>, message: String) -> Result<(), FieldError> {
    let span = section.map(Spanned::span).unwrap_or_default();
    Err(FieldError { span, message })
}
