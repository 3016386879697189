//! A process of an installation, with the parts that its settings name.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc, //
};

use async_channel::Receiver;
use compio::net::TcpListener;
use roseridge_events::{
    self as events,
    MetricSet,
    event, //
};
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
    agent_part::run_agent,
    callers_part::run_callers,
    group_part::run_group,
    metrics_part::spawn_metrics,
    seed_greeter::SeedList,
    settings_watch::watch_settings, //
};

/// Why a process of an installation can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// A listener could not be opened.
    #[snafu(display("listening on {address}: {source}"))]
    ListenFailed {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The port to the backend server can't be set up.
    #[snafu(display("the port to the backend server: {source}"))]
    BackendPortFailed {
        /// The cause.
        source: io::Error,
    },
    /// The name of the instance is not a name.
    #[snafu(display("the name of the instance: {source}"))]
    InvalidName {
        /// The cause.
        source: NameError,
    },
}

/// What a process is told while it runs.
#[derive(Debug, Clone)]
pub struct SiteSignals {
    /// Asks for the stop.
    pub stop: StopSignal,
    /// Tells that the settings may have changed.
    pub reload: Receiver<()>,
    /// Where the settings are read again.
    pub settings: PathBuf,
}

/// What the parts of a process share.
#[derive(Debug)]
pub(crate) struct SiteContext {
    pub(crate) settings: InstallationSettings,
    pub(crate) adapter: SiteAdapter,
    pub(crate) control: ControlClient,
    pub(crate) stop: StopSignal,
    pub(crate) metrics: MetricSet,
    pub(crate) seeds: SeedList,
}

/// Runs the parts that the settings name until the stop.
///
/// # Errors
///
/// Returns a [`ProcessError`] when a part can't be started or fails for good.
pub async fn run_process(
    settings: InstallationSettings,
    adapter: SiteAdapter,
    signals: SiteSignals,
) -> Result<(), ProcessError> {
    let seeds = settings.control_addresses();
    let asked = first_asked(&settings, &seeds);
    let control = ControlClient::new(&asked, &settings.instance.cluster);
    let context = SiteContext {
        control: control.clone(),
        adapter,
        stop: signals.stop.clone(),
        metrics: MetricSet::new(),
        seeds: Rc::new(RefCell::new(seeds.clone())),
        settings,
    };
    let name = &context.settings.instance.name;
    event!(
        info,
        events::PROCESS_STARTED,
        instance = name,
        domain = context.settings.instance.domain,
        address = context.settings.installation.address,
        parts = parts_of(&context.settings),
        seeds = joined(&seeds),
        version = env!("CARGO_PKG_VERSION")
    );
    spawn_metrics(&context);
    let (news, seed_news) = async_channel::unbounded();
    compio::runtime::spawn(watch_settings(
        signals,
        Rc::clone(&context.seeds),
        control,
        news,
    ))
    .detach();
    let callers = run_callers(&context);
    let group = run_group(&context, seed_news);
    let agent = run_agent(&context);
    let stop = context.stop.clone();
    let told = name.clone();
    compio::runtime::spawn(async move {
        stop.wait().await;
        event!(info, events::PROCESS_STOPPING, instance = told);
    })
    .detach();
    let result = futures::try_join!(callers, group, agent).map(|_| ());
    let failure = result.as_ref().err().map(ToString::to_string);
    event!(
        info,
        events::PROCESS_STOPPED,
        instance = name,
        failure = failure.unwrap_or_default()
    );
    result
}

/// Returns whom a process asks for the leader at its start: its own replica first, which knows the
/// members from its log, then the seeds.
fn first_asked(settings: &InstallationSettings, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let group = settings.group.as_ref();
    let own = group
        .filter(|group| group.data_folder.is_some())
        .map(|_| settings.own_control_address());
    own.into_iter().chain(seeds.iter().copied()).collect()
}

fn parts_of(settings: &InstallationSettings) -> String {
    let parts = [
        ("callers", settings.callers.is_some()),
        ("group", settings.group.is_some()),
        ("runner", settings.runner.is_some()),
    ];
    let present = parts.iter().filter(|(_, is_there)| *is_there);
    present.map(|(name, _)| *name).collect::<Vec<_>>().join(",")
}

/// Returns addresses as one field of a log line.
pub(crate) fn joined(addresses: &[SocketAddr]) -> String {
    let texts: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address)
        .await
        .context(ListenFailedSnafu { address })
}
