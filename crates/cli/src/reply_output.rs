//! Prints the replies of entries, as tables for people or as JSON for scripts.

use std::process::ExitCode;

use clap::ArgMatches;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::{
    cli_error::{
        CliError,
        InvalidReplySnafu,
        exit_code, //
    },
    commands::entry_client,
    entry_client::{
        EntryReply,
        EntryRequest, //
    },
    replies::ProblemReply,
    runtime::block_on,
    text_table::to_printable,
};

/// Sends a request and prints the reply: unchanged with `--json`, otherwise as formatted by the
/// closure.
pub(crate) fn send_and_print<T: DeserializeOwned>(
    matches: &ArgMatches,
    request: &EntryRequest<'_>,
    format: impl FnOnce(&T) -> String,
) -> Result<ExitCode, CliError> {
    let reply = block_on(entry_client(matches).send(request))?;
    let as_json = matches.get_flag("json");
    match reply.status {
        200..300 if as_json => println!("{}", reply.body),
        200..300 => print!("{}", format(&read_reply(&reply)?)),
        _ => return Ok(print_problem(&reply, as_json)),
    }
    Ok(ExitCode::SUCCESS)
}

/// Parses the body of a reply.
pub(crate) fn read_reply<T: DeserializeOwned>(reply: &EntryReply) -> Result<T, CliError> {
    serde_json::from_str(&reply.body).context(InvalidReplySnafu)
}

/// Prints why an entry refused a request and how to proceed, and returns the exit code.
pub(crate) fn print_problem(reply: &EntryReply, as_json: bool) -> ExitCode {
    if as_json {
        println!("{}", reply.body);
    }
    match read_reply::<ProblemReply>(reply) {
        Ok(problem) => {
            eprintln!("roseridge: {}", to_printable(&problem.detail));
            for line in advice(&problem) {
                eprintln!("  {line}");
            }
        }
        Err(_) => eprintln!("roseridge: the entry replied with status {}", reply.status),
    }
    ExitCode::from(match reply.status {
        503 => exit_code::UNAVAILABLE,
        504 => exit_code::OUTCOME_UNKNOWN,
        _ => exit_code::REFUSED,
    })
}

/// Returns the lines that say how to proceed after a problem.
fn advice(problem: &ProblemReply) -> Vec<String> {
    let kind = problem.kind.trim_start_matches("/problems/");
    let advice = match kind {
        "bad-token" => {
            "set ROSERIDGE_TOKEN; callers and operators use different tokens and addresses"
        }
        "no-leader" => "nothing was done; run the same command again in a moment",
        "queue-full" => "nothing ran; run the same command again later",
        "outcome-unknown" => "run the same command again with the same key or request id",
        "key-reused" => "use a different --key for a different request",
        "revision-conflict" => {
            "another change was applied first: inspect it with 'roseridge template diff', then \
             apply with the --base that it prints"
        }
        "unknown-class" => "list the classes with 'roseridge template show' (operators)",
        "unknown-replica" => {
            "start the replica with an empty data folder, then add it; see 'roseridge replica list'"
        }
        "number-taken" => "first remove the replica that has this number",
        "too-few-left" => "find the replicas that stopped responding with 'roseridge replica list'",
        "change-pending" => "run the same command again in a moment",
        "unknown-worker" => "list the workers with 'roseridge worker list'",
        _ => "",
    };
    let ask_at = problem.ask_at.as_ref().map(|path| format!("ask at {path}"));
    let lines = [advice.to_owned()].into_iter().chain(ask_at);
    lines.filter(|line| !line.is_empty()).collect()
}
