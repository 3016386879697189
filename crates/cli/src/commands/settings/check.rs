//! `roseridge settings check`: checks a settings file.

use std::{
    path::Path,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use roseridge_settings::{
    is_installation_file,
    read_agent_settings,
    read_installation_settings,
    read_serve_settings, //
};

use crate::{
    cli_error::CliError,
    commands::{
        serve::settings_arg,
        text_arg, //
    },
};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Check a settings file")
        .arg(settings_arg())
        .arg(
            Arg::new("agent")
                .long("agent")
                .action(ArgAction::SetTrue)
                .help("The file is for roseridge-agent; ignored for a process of an installation"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let path = Path::new(text_arg(matches, "settings"));
    match is_installation_file(path)? {
        true => read_installation_settings(path).map(|_| ())?,
        false if matches.get_flag("agent") => read_agent_settings(path).map(|_| ())?,
        false => read_serve_settings(path).map(|_| ())?,
    }
    println!("{}: the settings are valid", path.display());
    Ok(ExitCode::SUCCESS)
}
