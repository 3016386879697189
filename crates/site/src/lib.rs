//! The processes of an installation whose parts find each other.
//!
//! A process runs the parts that its settings name: an entry for callers, a control replica, or the
//! agent of a backend server. What callers, operators and backend servers speak is an [`SiteAdapter`].

mod agent_part;
mod callers_part;
mod group_part;
mod installation;
mod metrics_part;
mod processes;
mod seed_greeter;
mod settings_watch;
mod site_adapter;

pub use installation::InstallationError;
pub use installation::serve_installation;
pub use processes::ProcessError;
pub use processes::SiteSignals;
pub use processes::run_process;
pub use site_adapter::ReplyFuture;
pub use site_adapter::SiteAdapter;
