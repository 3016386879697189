//! `roseridge job explain`: explains why a job waits.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use hyper::Method;
use serde::Deserialize;

use super::{
    job_arg,
    job_number, //
};
use crate::{
    cli_error::CliError,
    commands::add_entry_args,
    entry_client::EntryRequest,
    reply_output::send_and_print,
    text_table::TextTable, //
};

/// The fields of an explanation that are printed; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct ExplainReply {
    job: u64,
    customer: String,
    text: String,
    stopped_for: Option<u64>,
    yields: u32,
    failures: Vec<String>,
    avoids: Vec<String>,
}

pub(super) fn command() -> Command {
    let about = "Explain why a job waits and what would let it start (callers, operators)";
    add_entry_args(Command::new("explain").about(about)).arg(job_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let path = format!("/v1/jobs/{}/explain", job_number(matches));
    let request = EntryRequest::new(Method::GET, &path);
    send_and_print(matches, &request, explain_text)
}

fn explain_text(reply: &ExplainReply) -> String {
    let mut table = TextTable::new(&["field", "value"]);
    let mut add = |field: &str, value: String| table.add(vec![field.to_owned(), value]);
    add("job", reply.job.to_string());
    add("customer", reply.customer.clone());
    add("now", reply.text.clone());
    let stopped_for = reply.stopped_for.map(|job| job.to_string());
    add("stopped for", stopped_for.unwrap_or_default());
    add("stops", reply.yields.to_string());
    add("failures", reply.failures.join("; "));
    add("avoids", reply.avoids.join(", "));
    table.to_text()
}
