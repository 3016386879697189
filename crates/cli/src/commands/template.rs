//! `roseridge template`: shows, compares and applies the templates of customers.

mod apply;
mod diff;
mod show;

use std::process::ExitCode;

use clap::{
    Arg,
    ArgMatches,
    Command, //
};

use crate::{
    cli_error::CliError,
    commands::missing_subcommand, //
};

pub(crate) fn command() -> Command {
    Command::new("template")
        .about("Show, compare and apply customers' templates (operators)")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(show::command())
        .subcommand(diff::command())
        .subcommand(apply::command())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("show", matches)) => show::run(matches),
        Some(("diff", matches)) => diff::run(matches),
        Some(("apply", matches)) => apply::run(matches),
        _ => missing_subcommand(),
    }
}

/// Returns the argument for the path of a template file.
fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("The template file, in TOML, or in JSON if its name ends in .json")
}
