//! The processes of an installation, which discover each other through seeds.
//!
//! A process runs the components that its settings configure: an entry for callers, a control
//! replica or the agent of a backend server. A [`SiteAdapter`] implements the protocols of callers,
//! operators and backend servers.

mod agent_component;
mod control_component;
mod entry_component;
mod installation;
mod metrics_server;
mod process;
mod seed_notifier;
mod settings_watcher;
mod site_adapter;
mod site_context;

pub use installation::InstallationError;
pub use installation::serve_installation;
pub use process::SiteSignals;
pub use process::run_process;
pub use site_adapter::ReplyFuture;
pub use site_adapter::SiteAdapter;
pub use site_context::ProcessError;
