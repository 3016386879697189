//! `roseridge settings`: tools for settings files, which start no process.

mod check;
mod hash_token;

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
    Command::new("settings")
        .about("Check settings files and hash their tokens")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(hash_token::command())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("hash-token", matches)) => hash_token::run(matches),
        _ => missing_subcommand(),
    }
}
