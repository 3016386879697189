//! `roseridge completions`: completion scripts for shells.

use std::{
    io,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use clap_complete::{
    Shell,
    generate, //
};

use crate::cli_error::CliError;

pub(crate) fn command() -> Command {
    Command::new("completions")
        .about("Print the completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .required(true)
                .help("The shell"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = super::command();
        generate(*shell, &mut command, "roseridge", &mut io::stdout());
    }
    Ok(ExitCode::SUCCESS)
}
