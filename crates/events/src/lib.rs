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

/// The default log filter. The lines of the RPC library are disabled: it logs link errors once per
/// call, whereas the events report them once per link.
pub const DEFAULT_LOG_FILTER: &str = "info,tarpc=off";

/// A numbered log event. `docs/events.md` describes the meaning of each event and what to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvent {
    /// The number, whose meaning never changes.
    pub number: u16,
    /// The name, as log lines show it.
    pub name: &'static str,
}

impl LogEvent {
    /// Returns the number as log lines show it, such as `RR0040`.
    pub fn code(&self) -> String {
        format!("RR{:04}", self.number)
    }

    /// Returns the text of a log line with the number, the name and the details.
    pub fn line(&self, details: impl fmt::Display) -> String {
        format!("RR{:04} {}: {details}", self.number, self.name)
    }
}

/// Logs an event with its fields: `event!(info, FLOW_ACCEPTED, flow = id, queue = name)`.
///
/// Fields are formatted with `Display`.
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

        /// All events, in the order of their numbers.
        pub const ALL_EVENTS: &[LogEvent] = &[$($constant),*];
    };
}

log_events! {
    /// A process has started to serve requests.
    PROCESS_STARTED = 1 "process started";
    /// A process received a stop signal and completes the work in progress.
    PROCESS_STOPPING = 2 "process stopping";
    /// A process has stopped.
    PROCESS_STOPPED = 3 "process stopped";
    /// The settings were reloaded.
    SETTINGS_READ = 4 "settings read";
    /// The reloaded settings are invalid; the previous ones stay in effect.
    SETTINGS_UNUSABLE = 5 "settings unusable";
    /// Log lines of one kind were suppressed because there were too many.
    LINES_LEFT_OUT = 6 "lines left out";
    /// A peer was refused on an internal link.
    LINK_REFUSED = 10 "link refused";
    /// A connection could not be accepted; the listener continues.
    ACCEPT_FAILED = 11 "accept failed";
    /// Metrics can't be served; the process continues without them.
    METRICS_UNSERVED = 12 "metrics unserved";
    /// A replica became the leader.
    LEADER_ELECTED = 20 "leader elected";
    /// A replica stopped being the leader.
    LEADER_RETIRED = 21 "leader retired";
    /// The store failed; the replica has stopped.
    STORE_FAILED = 22 "store failed";
    /// The members of the control group changed.
    MEMBERS_CHANGED = 23 "members changed";
    /// A worker announced itself.
    WORKER_ANNOUNCED = 30 "worker announced";
    /// The lease of a worker expired.
    WORKER_LOST = 31 "worker lost";
    /// The lease of an agent expired, and the agent stopped its tasks.
    LEASE_EXPIRED = 32 "lease expired";
    /// A backend server announced itself to its agent.
    BACKEND_ANNOUNCED = 33 "backend announced";
    /// A call to a backend server failed.
    BACKEND_FAILED = 34 "backend call failed";
    /// A committed entry can't be decoded; the replica has stopped.
    ENTRY_UNREADABLE = 35 "entry unreadable";
    /// Reports don't describe a usable backend server.
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
    /// A run was placed on a backend server.
    RUN_PLACED = 45 "run placed";
    /// A run was ordered to stop.
    RUN_STOPPED = 46 "run stopped";
    /// A run has ended.
    RUN_ENDED = 47 "run ended";
    /// A run was ordered but can't start.
    RUN_UNSTARTED = 48 "run unstarted";
    /// An incarnation of a backend server can be used.
    BACKEND_READY = 49 "backend ready";
    /// A backend server accepts no new runs.
    BACKEND_DRAINING = 50 "backend draining";
    /// The lease of a backend server has certainly expired.
    BACKEND_LOST = 51 "backend lost";
    /// An incarnation of a backend server has ended.
    BACKEND_ENDED = 52 "backend ended";
    /// A new configuration is in force.
    CONFIG_SET = 53 "configuration set";
    /// A configuration was refused.
    CONFIG_REFUSED = 54 "configuration refused";
    /// A request about flows was not run, or its outcome is not known.
    REQUEST_UNANSWERED = 55 "request unanswered";
    /// No leader has responded for some time.
    LEADER_SILENT = 56 "leader silent";
    /// A leader responds again.
    LEADER_HEARD = 57 "leader heard";
    /// A call to start or stop a run was refused or not answered.
    RUN_CALL_FAILED = 58 "run call failed";
    /// The backend server responds as another incarnation.
    LIFE_CHANGED = 59 "life changed";
    /// An operator requested a change.
    OPERATOR_CHANGE = 60 "operator change";
    /// A request about flows was rejected because the request itself is invalid.
    REQUEST_DENIED = 61 "request denied";
    /// A run ended with the incarnation of its backend server.
    RUN_LOST = 62 "run lost";
    /// A stopping process ended although work was still in progress.
    STOP_CUT_SHORT = 63 "stop cut short";
    /// A run may have crashed its backend server.
    CRASH_SUSPECTED = 64 "crash suspected";
    /// An operator has evacuated a failure domain.
    DOMAIN_EVACUATED = 70 "domain evacuated";
    /// An operator has withdrawn the evacuation of a failure domain.
    DOMAIN_RESTORED = 71 "domain restored";
    /// An order about a failure domain had no effect.
    EVACUATION_REFUSED = 72 "evacuation refused";
    /// Every backend server is in an evacuated failure domain.
    NO_DOMAIN_LEFT = 73 "no domain left";
    /// A decision has stopped runs in an evacuated failure domain.
    EVACUATION_PROGRESS = 74 "evacuation progress";
    /// An incarnation answers under the name of an earlier one and has to carry out stops first.
    BARRIER_RAISED = 75 "barrier raised";
    /// The stops of a barrier are carried out, or the incarnation has ended before.
    BARRIER_LEFT = 76 "barrier left";
    /// Rows of the lists of a backend server can't be read.
    ROWS_UNREADABLE = 77 "rows unreadable";
    /// A run that runs without an order is told to stop.
    UNORDERED_RUN_STOPPED = 78 "unordered run stopped";
    /// A call that acknowledged completions was not answered by the incarnation that it was meant for.
    ACK_UNCONFIRMED = 79 "acknowledgement unconfirmed";
    /// A customer has begun or ceased to ask for more than its share.
    SHARE_CHANGED = 80 "share changed";
    /// A backend server loses completions of its runs and gets no work.
    BACKEND_UNUSABLE = 81 "backend unusable";
    /// A replica opened its data folder.
    STORE_OPENED = 82 "store opened";
    /// A snapshot is durable, and the log that it covers is removed.
    SNAPSHOT_WRITTEN = 83 "snapshot written";
    /// An agent reports, but has not reached its backend server for some time.
    BACKEND_SILENT = 84 "backend silent";
    /// An agent reaches its backend server again.
    BACKEND_HEARD = 85 "backend heard";
    /// A backend server may lose completions of its next runs, which are stopped until one is listed.
    COMPLETIONS_DOUBTED = 86 "completions doubted";
    /// A backend server lists the completions that it was suspected of losing.
    COMPLETIONS_TRUSTED = 87 "completions trusted";
    /// A backend server that took no new runs accepts them again.
    BACKEND_RESUMED = 88 "backend resumed";
    /// A caller cancelled a flow whose submission had not arrived.
    FLOW_WITHDRAWN = 89 "flow withdrawn";
    /// A cancellation of an unknown flow was refused.
    WITHDRAWAL_REFUSED = 90 "withdrawal refused";
}
