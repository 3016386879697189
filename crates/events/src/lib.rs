//! Numbered log events and metrics.

mod flow_metrics;
mod label_registry;
mod metric_set;

#[doc(hidden)]
pub use log;

pub use flow_metrics::FlowMetrics;
pub use label_registry::LabelRegistry;
pub use label_registry::MAX_CLASSES;
pub use label_registry::MAX_CUSTOMERS;
pub use label_registry::OTHER_LABEL;
pub use metric_set::MetricSet;

use std::fmt;

/// The log lines that are shown by default: the events. What the RPC library says of a link stands in
/// them too, once a link and not once a call.
pub const DEFAULT_LOG_FILTER: &str = "info,tarpc=off";

/// A numbered event; `docs/events.md` says what each one means and what to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvent {
    /// The number, which never changes its meaning.
    pub number: u16,
    /// The name.
    pub name: &'static str,
}

impl LogEvent {
    /// Returns the number as log lines show it.
    pub fn code(&self) -> String {
        format!("RR{:04}", self.number)
    }

    /// Returns the text of a log line: the number, the name and the details.
    pub fn line(&self, details: impl fmt::Display) -> String {
        format!("RR{:04} {}: {details}", self.number, self.name)
    }
}

/// Logs an event with its fields: `event!(info, FLOW_ACCEPTED, flow = id, queue = name)`.
///
/// Fields are written by their `Display`.
#[macro_export]
macro_rules! event {
    ($level:ident, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::log::$level!(
            event = $event.number $(, $key:% = $value)*;
            "{}", $event.name
        )
    };
}

macro_rules! log_events {
    ($($(#[$doc:meta])* $constant:ident = $number:literal $name:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $constant: LogEvent = LogEvent { number: $number, name: $name };
        )*

        /// Every event, in the order of the numbers.
        pub const ALL_EVENTS: &[LogEvent] = &[$($constant),*];
    };
}

log_events! {
    /// A process listens and serves.
    PROCESS_STARTED = 1 "process started";
    /// A process was asked to stop and finishes what it has.
    PROCESS_STOPPING = 2 "process stopping";
    /// A process has stopped.
    PROCESS_STOPPED = 3 "process stopped";
    /// The settings were read again.
    SETTINGS_READ = 4 "settings read";
    /// The settings were to be read again and can't be used; the old ones hold.
    SETTINGS_UNUSABLE = 5 "settings unusable";
    /// Log lines of one kind were left out because there were too many.
    LINES_LEFT_OUT = 6 "lines left out";
    /// A peer was refused on an internal link.
    LINK_REFUSED = 10 "link refused";
    /// A connection could not be taken; the listener goes on.
    ACCEPT_FAILED = 11 "accept failed";
    /// Metrics can't be served; everything else is.
    METRICS_UNSERVED = 12 "metrics unserved";
    /// A replica became the leader.
    LEADER_ELECTED = 20 "leader elected";
    /// A replica stopped being the leader.
    LEADER_RETIRED = 21 "leader retired";
    /// The store failed; the replica has stopped.
    STORE_FAILED = 22 "store failed";
    /// The members of the control group are others now.
    MEMBERS_CHANGED = 23 "members changed";
    /// A worker announced itself.
    WORKER_ANNOUNCED = 30 "worker announced";
    /// The lease of a worker ran out.
    WORKER_LOST = 31 "worker lost";
    /// An agent's lease ran out and it stopped its tasks.
    LEASE_EXPIRED = 32 "lease expired";
    /// A backend server announced itself to its agent.
    BACKEND_ANNOUNCED = 33 "backend announced";
    /// A call to a backend server failed.
    BACKEND_FAILED = 34 "backend call failed";
    /// A committed entry can't be decoded; the replica has stopped.
    ENTRY_UNREADABLE = 35 "entry unreadable";
    /// A report of a backend server can't be used.
    REPORT_UNUSABLE = 36 "report unusable";
    /// A flow was accepted.
    FLOW_ACCEPTED = 40 "flow accepted";
    /// A flow was refused; it never runs.
    FLOW_REFUSED = 41 "flow refused";
    /// A flow was cancelled by its caller.
    FLOW_CANCELLED = 42 "flow cancelled";
    /// All tasks of a flow are done.
    FLOW_DONE = 43 "flow done";
    /// A flow has failed.
    FLOW_FAILED = 44 "flow failed";
    /// A run was given a place.
    RUN_PLACED = 45 "run placed";
    /// A run was told to stop.
    RUN_STOPPED = 46 "run stopped";
    /// A run has ended.
    RUN_ENDED = 47 "run ended";
    /// A run was ordered and can't start.
    RUN_UNSTARTED = 48 "run unstarted";
    /// A life of a backend server is in use.
    BACKEND_READY = 49 "backend ready";
    /// A backend server takes no new work.
    BACKEND_DRAINING = 50 "backend draining";
    /// The lease of a backend server has surely ended.
    BACKEND_LOST = 51 "backend lost";
    /// A life of a backend server has ended.
    BACKEND_ENDED = 52 "backend ended";
    /// A configuration is in force.
    CONFIG_SET = 53 "configuration set";
    /// A configuration was refused.
    CONFIG_REFUSED = 54 "configuration refused";
    /// A request about flows was not run, or its outcome is not known.
    REQUEST_UNANSWERED = 55 "request unanswered";
    /// No leader has answered for a while.
    LEADER_SILENT = 56 "leader silent";
    /// A leader answers again.
    LEADER_HEARD = 57 "leader heard";
    /// A call to start or stop a run was refused or not answered.
    RUN_CALL_FAILED = 58 "run call failed";
    /// The backend server answers as another life.
    LIFE_CHANGED = 59 "life changed";
    /// An operator's change was asked for.
    OPERATOR_CHANGE = 60 "operator change";
    /// A request about flows was answered with a fault of its own.
    REQUEST_DENIED = 61 "request denied";
}
