//! The `roseridge-agent` program, which runs next to a backend server.

use std::{
    error::Error,
    path::Path,
    process::ExitCode,
    time::Duration, //
};

use clap::{
    Arg,
    Command, //
};
use compio::net::TcpListener;
use roseridge_agent::{
    AgentConfig,
    host_replica,
    run_agent, //
};
use roseridge_control::ReplicaConfig;
use roseridge_platform::site_adapter;
use roseridge_settings::{
    AgentSettings,
    is_installation_file,
    read_agent_settings, //
};
use roseridge_shutdown::{
    StopSignal,
    stop_pair,
    watch_signals, //
};
use roseridge_site::serve_installation;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<String>("settings")
        .map_or("", String::as_str);
    match run(Path::new(path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("roseridge-agent: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the log filter from the environment, or the default filter.
fn log_filter() -> env_logger::Env<'static> {
    env_logger::Env::default().default_filter_or(roseridge_events::DEFAULT_LOG_FILTER)
}

fn command() -> Command {
    Command::new("roseridge-agent")
        .about("The agent process that runs next to a backend server")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("The settings file, in TOML"),
        )
}

/// Runs the process that the settings file describes until a signal stops it.
fn run(path: &Path) -> Result<(), Box<dyn Error>> {
    let signals = watch_signals()?;
    if is_installation_file(path)? {
        return Ok(serve_installation(path, site_adapter(), signals)?);
    }
    env_logger::Builder::from_env(log_filter()).init();
    let stop = signals.stop;
    let settings = read_agent_settings(path)?;
    roseridge_wire::block_on(run_components(settings, stop))?
}

/// Runs the agent and, if configured, a control replica until the stop signal.
async fn run_components(settings: AgentSettings, stop: StopSignal) -> Result<(), Box<dyn Error>> {
    // The replica stops after the agent, because it may have to commit the outcomes of the agent's
    // last tasks.
    let (replica_handle, replica_stop) = stop_pair();
    let replica = replica_config(&settings).map(|config| {
        let hosting = host_replica(config, replica_stop);
        compio::runtime::spawn(hosting)
    });
    let listener = TcpListener::bind(settings.worker.listen.get_ref()).await?;
    let config = AgentConfig {
        worker: settings.worker.name.clone(),
        cluster: settings.instance.cluster.clone(),
        relays: settings.worker.relays.get_ref().clone(),
        lease: Duration::from_millis(settings.timing_values().lease_ms),
        stop_limit: Duration::from_millis(settings.limits_values().stop_limit_ms),
    };
    run_agent(config, listener, stop).await?;
    replica_handle.stop();
    match replica {
        Some(replica) => Ok(replica
            .await
            .map_err(|_| "the replica task ended abnormally")??),
        None => Ok(()),
    }
}

/// Returns the configuration of the control replica that the agent hosts, if there is one.
fn replica_config(settings: &AgentSettings) -> Option<ReplicaConfig> {
    let control = settings.control.as_ref()?;
    let replicas = settings.replicas.as_ref()?.get_ref();
    let cluster = &settings.instance.cluster;
    let timing = settings.timing_values();
    Some(ReplicaConfig::from_settings(
        cluster, control, replicas, timing,
    ))
}
