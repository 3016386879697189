//! What the components of a process share: its settings, clients and listeners.

use std::{
    io,
    net::SocketAddr, //
};

use compio::net::TcpListener;
use roseridge_events::MetricSet;
use roseridge_model::names::NameError;
use roseridge_settings::InstallationSettings;
use roseridge_shutdown::StopSignal;
use roseridge_wire::ControlClient;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    SiteAdapter,
    seed_notifier::SeedList, //
};

/// The reason for which a component of a process can't be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// A listener can't be opened.
    #[snafu(display("listening on {address}: {source}"))]
    ListenFailed {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The client of the backend server can't be set up.
    #[snafu(display("setting up the client of the backend server: {source}"))]
    BackendPortFailed {
        /// The cause.
        source: io::Error,
    },
    /// The name of the instance is invalid.
    #[snafu(display("invalid name of the instance: {source}"))]
    InvalidName {
        /// The cause.
        source: NameError,
    },
}

/// The state that the components of a process share.
#[derive(Debug)]
pub(crate) struct SiteContext {
    pub(crate) settings: InstallationSettings,
    pub(crate) adapter: SiteAdapter,
    pub(crate) control: ControlClient,
    pub(crate) stop: StopSignal,
    pub(crate) metrics: MetricSet,
    pub(crate) seeds: SeedList,
}

/// Returns addresses as text for a field of a log line, separated by commas.
pub(crate) fn join_addresses(addresses: &[SocketAddr]) -> String {
    let texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}

/// Opens a listener on an address.
///
/// # Errors
///
/// Returns [`ProcessError::ListenFailed`] if the address can't be bound.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address)
        .await
        .context(ListenFailedSnafu { address })
}
