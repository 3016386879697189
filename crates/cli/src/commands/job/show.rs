//! `roseridge job show`: shows a job.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use hyper::Method;

use super::{
    job_arg,
    job_number,
    job_text,
    wait_arg,
    wait_time, //
};
use crate::{
    cli_error::CliError,
    commands::add_entry_args,
    entry_client::EntryRequest,
    reply_output::send_and_print, //
};

pub(super) fn command() -> Command {
    add_entry_args(Command::new("show").about("Show a job (callers, operators)"))
        .arg(job_arg())
        .arg(wait_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let wait = wait_time(matches);
    let path = format!(
        "/v1/jobs/{}?wait_ms={}",
        job_number(matches),
        wait.as_millis()
    );
    let request = EntryRequest {
        wait,
        ..EntryRequest::new(Method::GET, &path)
    };
    send_and_print(matches, &request, job_text)
}
