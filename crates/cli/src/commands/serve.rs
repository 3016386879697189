//! `roseridge serve`: runs an entry instance or a process of an installation.

use std::{
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    time::Duration, //
};

use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use compio::net::TcpListener;
use roseridge_control::ReplicaConfig;
use roseridge_entry::{
    EntryConfig,
    EntryLimits,
    EntryListeners,
    run_entry_with_limits, //
};
use roseridge_http::ServerLimits;
use roseridge_platform::site_adapter;
use roseridge_settings::{
    ServeSettings,
    is_installation_file,
    read_serve_settings, //
};
use roseridge_shutdown::watch_signals;
use roseridge_site::serve_installation;
use snafu::ResultExt;

use crate::{
    cli_error::{
        CliError,
        SystemFailedSnafu, //
    },
    commands::text_arg,
    runtime::block_on, //
};

pub(crate) fn command() -> Command {
    Command::new("serve")
        .about("Run an entry instance")
        .arg(settings_arg())
}

/// Returns the argument for the path of a settings file.
pub(crate) fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("The settings file, in TOML")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let path = Path::new(text_arg(matches, "settings"));
    let signals = watch_signals().context(SystemFailedSnafu {
        operation: "registering the signal handlers",
    })?;
    if is_installation_file(path)? {
        serve_installation(path, site_adapter(), signals)?;
        return Ok(ExitCode::SUCCESS);
    }
    init_text_logging();
    let stop = signals.stop;
    let settings = read_serve_settings(path)?;
    block_on(async {
        let listeners = EntryListeners {
            callers: listen(settings.listen.callers).await?,
            operators: listen(settings.listen.operators).await?,
            internal: listen(settings.listen.internal).await?,
        };
        let config = entry_config(&settings);
        run_entry_with_limits(config, entry_limits(&settings), listeners, stop).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Initializes logging as human-readable text on standard error.
fn init_text_logging() {
    let filter = env_logger::Env::default().default_filter_or(roseridge_events::DEFAULT_LOG_FILTER);
    env_logger::Builder::from_env(filter).init();
}

/// Opens a TCP listener on the address.
pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, CliError> {
    TcpListener::bind(address).await.context(SystemFailedSnafu {
        operation: format!("listening on {address}"),
    })
}

fn entry_limits(settings: &ServeSettings) -> EntryLimits {
    let limits = settings.limits_values();
    EntryLimits {
        server: ServerLimits {
            connections: limits.connections,
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
        },
        call_queue: limits.call_queue,
    }
}

fn entry_config(settings: &ServeSettings) -> EntryConfig {
    let replicas = settings.replica_addresses();
    let timing = settings.timing_values();
    let replica = settings.control.as_ref().map(|control| {
        let cluster = &settings.instance.cluster;
        ReplicaConfig::from_settings(cluster, control, settings.replicas.get_ref(), timing)
    });
    EntryConfig {
        name: settings.instance.name.clone(),
        cluster: settings.instance.cluster.clone(),
        control: replicas.into_values().collect(),
        replica,
        customers: settings.customers.clone(),
        operators: settings.operators.clone(),
    }
}
