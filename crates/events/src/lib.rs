//! Numbered log events and metrics.

mod label_book;
mod metric_set;

pub use label_book::LabelBook;
pub use label_book::MAX_CLASSES;
pub use label_book::MAX_CUSTOMERS;
pub use label_book::OTHER_LABEL;
pub use metric_set::MetricSet;

use std::fmt;

/// The log lines that are shown by default: the events, and only warnings of the RPC library.
pub const DEFAULT_LOG_FILTER: &str = "info,tarpc=warn";

/// A numbered event; `docs/events.md` says what each one means and what to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvent {
    /// The number, which never changes its meaning.
    pub number: u16,
    /// The name.
    pub name: &'static str,
}

impl LogEvent {
    /// Returns the text of a log line: the number, the name and the details.
    pub fn line(&self, details: impl fmt::Display) -> String {
        format!("RR{:04} {}: {details}", self.number, self.name)
    }
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
    /// A peer was refused on an internal link.
    LINK_REFUSED = 10 "link refused";
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
    /// An operator's change was asked for.
    OPERATOR_CHANGE = 60 "operator change";
}
