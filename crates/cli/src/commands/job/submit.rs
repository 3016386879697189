//! `roseridge job submit`: submits a job.

use std::process::ExitCode;

use clap::{
    Arg,
    ArgMatches,
    Command,
    builder::PossibleValuesParser,
    value_parser, //
};
use hyper::Method;
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    DurationMs,
    GangShape,
    JobSpec,
    ResourceShape, //
};

use super::{
    job_text,
    wait_arg,
    wait_time, //
};
use crate::{
    cli_error::CliError,
    commands::{
        add_entry_args,
        number_arg,
        text_arg, //
    },
    entry_client::EntryRequest,
    reply_output::send_and_print,
};

pub(super) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    let text = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let adjacencies = PossibleValuesParser::new(["worker", "rack", "domain", "any"]);
    add_entry_args(Command::new("submit").about("Submit a job (callers)"))
        .arg(text("key", "The idempotency key; a retry must use the same one").required(true))
        .arg(text("class", "The job class").required(true))
        .arg(text("payload", "The payload for the backend server").default_value(""))
        .arg(
            text("adjacency", "How close together the members must be placed")
                .value_parser(adjacencies)
                .default_value("any"),
        )
        .arg(
            number("members", "1", "Number of members in the gang")
                .value_parser(value_parser!(u32).range(1..=GangShape::MAX_MEMBERS.into())),
        )
        .arg(number("cores", "1", "Processor cores per member"))
        .arg(number("memory-mib", "1024", "Memory per member in MiB"))
        .arg(number("accelerators", "1", "Accelerators per member"))
        .arg(
            text("run-ms", "The expected run time, in milliseconds")
                .value_parser(value_parser!(u64)),
        )
        .arg(wait_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let spec = job_spec(matches)?;
    let path = format!("/v1/jobs?wait_ms={}", wait_time(matches).as_millis());
    let request = EntryRequest {
        key: Some(text_arg(matches, "key")),
        body: serde_json::to_string(&spec).ok(),
        wait: wait_time(matches),
        ..EntryRequest::new(Method::POST, &path)
    };
    send_and_print(matches, &request, job_text)
}

fn job_spec(matches: &ArgMatches) -> Result<JobSpec, CliError> {
    let adjacency = match text_arg(matches, "adjacency") {
        "worker" => AdjacencyRule::Worker,
        "rack" => AdjacencyRule::Rack,
        "domain" => AdjacencyRule::Domain,
        _ => AdjacencyRule::Any,
    };
    let class = ClassName::parse(text_arg(matches, "class")).map_err(|error| {
        let message = format!("--class: {error}");
        CliError::InvalidArgument { message }
    })?;
    Ok(JobSpec {
        class,
        gang: GangShape {
            members: u16::try_from(number_arg(matches, "members")).unwrap_or(u16::MAX),
            member: ResourceShape {
                cores: number_arg(matches, "cores"),
                memory_mib: number_arg(matches, "memory-mib").into(),
                accelerators: number_arg(matches, "accelerators"),
            },
            adjacency,
        },
        declared_run_ms: matches.get_one::<u64>("run-ms").copied().map(DurationMs),
        payload: text_arg(matches, "payload").to_owned(),
    })
}
