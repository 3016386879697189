//! `roseridge job list`: lists the newest jobs.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use hyper::Method;

use super::job_times;
use crate::{
    cli_error::CliError,
    commands::add_entry_args,
    entry_client::EntryRequest,
    replies::JobReply,
    reply_output::send_and_print,
    text_table::TextTable, //
};

pub(super) fn command() -> Command {
    let about = "List the newest jobs: a caller's own jobs, or all jobs for an operator";
    add_entry_args(Command::new("list").about(about))
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let request = EntryRequest::new(Method::GET, "/v1/jobs");
    send_and_print(matches, &request, jobs_text)
}

fn jobs_text(jobs: &Vec<JobReply>) -> String {
    let mut table = TextTable::new(&[
        "job", "customer", "class", "key", "state", "accepted", "waited", "ran", "attempts",
    ]);
    for job in jobs {
        let [accepted, waited, ran] = job_times(job);
        table.add(vec![
            job.job.to_string(),
            job.customer.clone(),
            job.class.clone(),
            job.key.clone(),
            job.state.clone(),
            accepted,
            waited,
            ran,
            job.attempts.to_string(),
        ]);
    }
    table.to_text()
}
