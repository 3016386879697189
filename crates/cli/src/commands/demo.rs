//! `roseridge demo`: a cluster with sample jobs in one process.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use snafu::ResultExt;

use crate::{
    cli_error::{
        CliError,
        SystemFailedSnafu, //
    },
    demo::run_demo,
    runtime::block_on,
};

pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Run a small cluster in this process and submit jobs to it")
        .arg(
            Arg::new("data-folder")
                .long("data-folder")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("The folder for the logs of the replicas; a temporary folder by default"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let temporary = tempfile::tempdir().context(SystemFailedSnafu {
        operation: "creating a temporary folder",
    })?;
    let folder = matches.get_one::<PathBuf>("data-folder");
    let folder = folder.map_or(temporary.path(), PathBuf::as_path);
    block_on(run_demo(folder))?;
    Ok(ExitCode::SUCCESS)
}
