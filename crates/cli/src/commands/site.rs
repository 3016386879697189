//! `roseridge site`: shows the state of an installation, as read from its control group.

mod flow;
mod status;

use std::{
    path::Path,
    process::ExitCode,
    time::{
        Duration,
        Instant, //
    },
};

use clap::{
    ArgMatches,
    Command, //
};
use roseridge_settings::read_installation_settings;
use roseridge_wire::{
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply, //
};

use crate::{
    cli_error::{
        CliError,
        NoReplySnafu, //
    },
    commands::{
        missing_subcommand,
        serve::settings_arg,
        text_arg, //
    },
    runtime::block_on,
};

/// The maximum time for all calls to the leader; it is long enough for an election.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn command() -> Command {
    Command::new("site")
        .about("Inspect an installation, with the settings of one of its processes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(status::command())
        .subcommand(flow::command())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("status", matches)) => status::run(matches),
        Some(("flow", matches)) => flow::run(matches),
        _ => missing_subcommand(),
    }
}

/// Sends read calls to the leader of the installation in the settings and returns its replies.
fn call_leader(matches: &ArgMatches, calls: &[ControlCall]) -> Result<Vec<ControlReply>, CliError> {
    let path = Path::new(text_arg(matches, "settings"));
    let settings = read_installation_settings(path)?;
    block_on(async {
        let seeds = settings.control_addresses();
        let client = ControlClient::new(&seeds, &settings.instance.cluster);
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut replies = Vec::new();
        for call in calls {
            let reply = client.call(call, Duration::ZERO, deadline).await;
            replies.push(reply.map_err(no_reply_error)?);
        }
        Ok(replies)
    })
}

/// Returns the error for a failed read; a read has no effect, so its outcome is never unknown.
fn no_reply_error(error: ControlError) -> CliError {
    let message = error.to_string();
    NoReplySnafu { message }.build()
}

/// Returns the error for a reply whose kind does not match the call.
fn unexpected_reply_error() -> CliError {
    let message = "the leader sent an unexpected reply; check that it runs the same version";
    NoReplySnafu { message }.build()
}

/// Adds the argument for a settings file of the installation.
fn add_site_args(command: Command) -> Command {
    command.arg(settings_arg().help("The settings file of any process of the installation"))
}
