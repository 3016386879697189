//! The subcommands of the program, one module each.

mod completions;
mod demo;
mod fake;
mod job;
mod replica;
mod serve;
mod settings;
mod site;
mod status;
mod template;
mod worker;

pub(crate) use serve::listen;

use std::process::ExitCode;

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};

use crate::{
    cli_error::{
        CliError,
        InvalidArgumentSnafu, //
    },
    entry_client::EntryClient,
};

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("roseridge")
        .about("A scheduler for multi-accelerator jobs under customer guarantees")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(demo::command())
        .subcommand(fake::command())
        .subcommand(job::command())
        .subcommand(template::command())
        .subcommand(worker::command())
        .subcommand(replica::command())
        .subcommand(status::command())
        .subcommand(site::command())
        .subcommand(settings::command())
        .subcommand(completions::command())
}

/// Runs the subcommand that the arguments name.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        Some(("fake", matches)) => fake::run(matches),
        Some(("job", matches)) => job::run(matches),
        Some(("template", matches)) => template::run(matches),
        Some(("worker", matches)) => worker::run(matches),
        Some(("replica", matches)) => replica::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("site", matches)) => site::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        Some(("completions", matches)) => completions::run(matches),
        _ => missing_subcommand(),
    }
}

/// Returns the error for a command line without a subcommand.
fn missing_subcommand() -> Result<ExitCode, CliError> {
    InvalidArgumentSnafu {
        message: "a subcommand is required; see --help",
    }
    .fail()
}

/// Adds the arguments that all commands which call an entry share.
fn add_entry_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("URL")
                .env("ROSERIDGE_ENTRY")
                .hide_env_values(true)
                .required(true)
                .action(ArgAction::Append)
                .value_delimiter(',')
                .help("Comma-separated addresses of entries, tried in order"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("TOKEN")
                .env("ROSERIDGE_TOKEN")
                .hide_env_values(true)
                .required(true)
                .help(
                    "The access token; the environment variable keeps it out of the process list",
                ),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the entry's reply as JSON"),
        )
}

/// Returns a client for the entries and token in the arguments of [`add_entry_args`].
pub(crate) fn entry_client(matches: &ArgMatches) -> EntryClient {
    let entries = matches.get_many::<String>("entry");
    EntryClient {
        entries: entries.into_iter().flatten().cloned().collect(),
        token: text_arg(matches, "token").to_owned(),
    }
}

/// Returns the value of a text argument, or an empty string if it is absent.
fn text_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns the value of a numeric argument, or zero if it is absent.
fn number_arg(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one::<u32>(name).copied().unwrap_or_default()
}

/// Returns the argument for the request id that makes a change by an operator idempotent.
fn request_arg() -> Arg {
    Arg::new("request").long("request").value_name("ID").help(
        "The request id; a retry must use the same one [default: a new one, which is printed]",
    )
}

/// Returns the request id in the arguments.
///
/// Without one, generates an id and prints it, so that the operator can retry with the same id.
fn request_id(matches: &ArgMatches) -> String {
    match text_arg(matches, "request") {
        "" => {
            let id = format!("cli-{:016x}", rand::random::<u64>());
            eprintln!("request {id}; to retry after a lost reply, add: --request {id}");
            id
        }
        given => given.to_owned(),
    }
}
