//! Listeners that continue after errors of the operating system.

mod accept;

pub use accept::accept_connection;
pub use accept::accept_with_retry;
