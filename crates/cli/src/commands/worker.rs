//! `roseridge worker`: lists and drains workers.

mod drain;
mod list;

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};

use crate::{
    cli_error::CliError,
    commands::missing_subcommand, //
};

pub(crate) fn command() -> Command {
    Command::new("worker")
        .about("List and drain workers (operators)")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(list::command())
        .subcommand(drain::command())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("list", matches)) => list::run(matches),
        Some(("drain", matches)) => drain::run(matches),
        _ => missing_subcommand(),
    }
}
