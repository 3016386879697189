//! `roseridge site`: the state of an installation, read from its control group.

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
        NoAnswerSnafu, //
    },
    commands::{
        no_command,
        serve::settings_arg,
        text_arg, //
    },
    runtime::block_on,
};

/// How long the leader is looked for; an election fits into it.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

pub(crate) fn command() -> Command {
    Command::new("site")
        .about("Look at an installation, with the settings of one of its processes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(status::command())
        .subcommand(flow::command())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("status", matches)) => status::run(matches),
        Some(("flow", matches)) => flow::run(matches),
        _ => no_command(),
    }
}

/// Asks the leader of the installation that the settings argument names.
fn ask_leader(matches: &ArgMatches, calls: &[ControlCall]) -> Result<Vec<ControlReply>, CliError> {
    let path = Path::new(text_arg(matches, "settings"));
    let settings = read_installation_settings(path)?;
    block_on(async {
        let seeds = settings.control_addresses();
        let client = ControlClient::new(&seeds, &settings.instance.cluster);
        let deadline = Instant::now() + ANSWER_LIMIT;
        let mut replies = Vec::new();
        for call in calls {
            let reply = client.call(call, Duration::ZERO, deadline).await;
            replies.push(reply.map_err(unanswered)?);
        }
        Ok(replies)
    })
}

/// A read has no effect, so that every failure means that nothing was done.
fn unanswered(error: ControlError) -> CliError {
    let message = error.to_string();
    NoAnswerSnafu { message }.build()
}

/// The error for an answer of another kind than the one that was asked for.
fn odd_reply() -> CliError {
    let message = "the leader answers something else; see that it runs this version";
    NoAnswerSnafu { message }.build()
}

/// Adds the argument that names the installation.
fn site_args(command: Command) -> Command {
    command.arg(settings_arg().help("The settings file of any process of the installation"))
}
