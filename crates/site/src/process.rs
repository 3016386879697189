//! A process of an installation with the components that its settings configure.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::PathBuf,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use async_channel::Receiver;
use futures::future::{
    Either,
    select, //
};
use roseridge_events::{
    self as events,
    MetricSet,
    event, //
};
use roseridge_settings::InstallationSettings;
use roseridge_shutdown::StopSignal;
use roseridge_wire::ControlClient;

use crate::{
    SiteAdapter,
    agent_component::run_agent,
    control_component::run_control,
    entry_component::run_entry,
    metrics_server::spawn_metrics,
    settings_watcher::watch_settings,
    site_context::{
        ProcessError,
        SiteContext,
        join_addresses, //
    },
};

/// The time before it would be killed at which a stopping process ends, whatever it waits for.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// The signals that a running process receives.
#[derive(Debug, Clone)]
pub struct SiteSignals {
    /// Requests the stop of the process.
    pub stop: StopSignal,
    /// Receives a message when the settings file is to be read again.
    pub reload: Receiver<()>,
    /// The path of the settings file, from which changes are read.
    pub settings: PathBuf,
}

/// Runs the components that the settings configure, until the stop signal.
///
/// # Errors
///
/// Returns a [`ProcessError`] if a component can't be started.
pub async fn run_process(
    settings: InstallationSettings,
    adapter: SiteAdapter,
    signals: SiteSignals,
) -> Result<(), ProcessError> {
    let seeds = settings.control_addresses();
    let addresses = initial_addresses(&settings, &seeds);
    let control = ControlClient::new(&addresses, &settings.instance.cluster);
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
        parts = component_names(&context.settings),
        seeds = join_addresses(&seeds),
        version = env!("CARGO_PKG_VERSION")
    );
    spawn_metrics(&context);
    let (seed_sender, seed_updates) = async_channel::unbounded();
    compio::runtime::spawn(watch_settings(
        signals,
        Rc::clone(&context.seeds),
        control,
        seed_sender,
    ))
    .detach();
    let entry = run_entry(&context);
    let group = run_control(&context, seed_updates);
    let agent = run_agent(&context);
    let stop = context.stop.clone();
    let instance_name = name.clone();
    compio::runtime::spawn(async move {
        stop.wait().await;
        event!(info, events::PROCESS_STOPPING, instance = instance_name);
    })
    .detach();
    let result = {
        let components = pin!(async { futures::try_join!(entry, group, agent).map(|_| ()) });
        let overdue = pin!(wait_until_overdue(&context));
        match select(components, overdue).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => {
                event!(warn, events::STOP_CUT_SHORT, instance = name);
                Ok(())
            }
        }
    };
    let failure = result.as_ref().err().map(ToString::to_string);
    event!(
        info,
        events::PROCESS_STOPPED,
        instance = name,
        failure = failure.unwrap_or_default()
    );
    result
}

/// Waits until the process was asked to stop and is about to be killed.
///
/// A peer or a caller that neither answers nor closes its connection must not keep the process until
/// then.
async fn wait_until_overdue(context: &SiteContext) {
    context.stop.wait().await;
    let grace = context.settings.installation.stop_grace_s.duration();
    compio::time::sleep(grace.saturating_sub(STOP_MARGIN)).await;
}

/// Returns the addresses at which a starting process looks for the leader: first that of its own
/// replica, which knows the members from its log, then the seeds.
fn initial_addresses(settings: &InstallationSettings, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let group = settings.group.as_ref();
    let own_address = group
        .filter(|group| group.data_folder.is_some())
        .map(|_| settings.own_control_address());
    own_address
        .into_iter()
        .chain(seeds.iter().copied())
        .collect()
}

/// Returns the names of the components that the settings configure, separated by commas.
fn component_names(settings: &InstallationSettings) -> String {
    let components = [
        ("callers", settings.callers.is_some()),
        ("group", settings.group.is_some()),
        ("runner", settings.runner.is_some()),
    ];
    let configured = components
        .iter()
        .filter(|(_, is_configured)| *is_configured);
    configured
        .map(|(name, _)| *name)
        .collect::<Vec<_>>()
        .join(",")
}
