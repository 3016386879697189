//! `roseridge job`: submits, shows, explains, cancels and lists jobs.

mod cancel;
mod explain;
mod list;
mod show;
mod submit;

use std::{
    process::ExitCode,
    time::Duration, //
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};

use crate::{
    cli_error::CliError,
    commands::missing_subcommand,
    replies::JobReply,
    text_table::{
        TextTable,
        to_printable, //
    },
    time_format::{
        format_duration,
        format_utc, //
    },
};

pub(crate) fn command() -> Command {
    Command::new("job")
        .about("Submit, inspect and cancel jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(submit::command())
        .subcommand(show::command())
        .subcommand(explain::command())
        .subcommand(cancel::command())
        .subcommand(list::command())
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("submit", matches)) => submit::run(matches),
        Some(("show", matches)) => show::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("cancel", matches)) => cancel::run(matches),
        Some(("list", matches)) => list::run(matches),
        _ => missing_subcommand(),
    }
}

/// Returns the argument for the number of a job.
fn job_arg() -> Arg {
    Arg::new("job")
        .value_name("JOB")
        .value_parser(value_parser!(u64))
        .required(true)
        .help("The number of the job")
}

/// Returns the number of the job in the arguments.
fn job_number(matches: &ArgMatches) -> u64 {
    matches.get_one::<u64>("job").copied().unwrap_or_default()
}

/// Returns the argument for the maximum time to wait for the end of a job.
fn wait_arg() -> Arg {
    Arg::new("wait-ms")
        .long("wait-ms")
        .value_name("MS")
        .default_value("0")
        .value_parser(value_parser!(u32))
        .help("Maximum time to wait for the end of the job, in milliseconds")
}

/// Returns the maximum time to wait for the end of a job.
fn wait_time(matches: &ArgMatches) -> Duration {
    Duration::from_millis(super::number_arg(matches, "wait-ms").into())
}

/// Returns the formatted times of a job: its acceptance, waiting time and run time.
///
/// A time that is not known yet is empty.
fn job_times(job: &JobReply) -> [String; 3] {
    let duration = |from: u64, to: u64| format_duration(to.saturating_sub(from));
    let waited = job.first_start.map(|start| duration(job.accepted, start));
    let ran = job.first_start.zip(job.ended);
    let ran = ran.map(|(start, end)| duration(start, end));
    [
        format_utc(job.accepted),
        waited.unwrap_or_default(),
        ran.unwrap_or_default(),
    ]
}

/// Formats a job as a table of its fields, followed by its answers.
fn job_text(job: &JobReply) -> String {
    let [accepted, waited, ran] = job_times(job);
    let mut table = TextTable::new(&["field", "value"]);
    let mut add = |field: &str, value: String| table.add(vec![field.to_owned(), value]);
    add("job", job.job.to_string());
    add("customer", job.customer.clone());
    add("class", job.class.clone());
    add("key", job.key.clone());
    add("state", job.state.clone());
    add("accepted", accepted);
    add("waited", waited);
    add("ran", ran);
    add("attempts", job.attempts.to_string());
    add("workers", job.workers.join(", "));
    let answers = job.answers.iter().flatten().zip(0..);
    let answers = answers.map(|(answer, member)| {
        let lines: Vec<_> = answer.text.lines().map(to_printable).collect();
        format!("\nanswer of member {member}:\n{}\n", lines.join("\n"))
    });
    table.to_text() + &answers.collect::<String>()
}
