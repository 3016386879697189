//! `roseridge job cancel`: cancels a job.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use hyper::Method;

use super::{
    job_arg,
    job_number, //
};
use crate::{
    cli_error::CliError,
    commands::{
        add_entry_args,
        entry_client, //
    },
    entry_client::EntryRequest,
    replies::{
        JobReply,
        ProblemReply, //
    },
    reply_output::{
        print_problem,
        read_reply, //
    },
    runtime::block_on,
};

pub(super) fn command() -> Command {
    add_entry_args(Command::new("cancel").about("Cancel a job (callers)")).arg(job_arg())
}

/// Cancels a job; a problem reply which says that the job is cancelled counts as success.
pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let path = format!("/v1/jobs/{}", job_number(matches));
    let request = EntryRequest::new(Method::DELETE, &path);
    let reply = block_on(entry_client(matches).send(&request))?;
    let as_json = matches.get_flag("json");
    let outcome = match reply.status {
        200..300 => {
            let job: JobReply = read_reply(&reply)?;
            format!("job {} is {}", job.job, job.state)
        }
        _ => match read_reply::<ProblemReply>(&reply) {
            Ok(problem) if is_cancelled(&problem) => problem.detail,
            _ => return Ok(print_problem(&reply, as_json)),
        },
    };
    match as_json {
        true => println!("{}", reply.body),
        false => println!("{outcome}"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns whether a problem reports that the job ended by its cancellation.
fn is_cancelled(problem: &ProblemReply) -> bool {
    matches!(
        problem.kind.as_str(),
        "/problems/not-run" | "/problems/cancelled"
    )
}
