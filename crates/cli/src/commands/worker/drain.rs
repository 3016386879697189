//! `roseridge worker drain`: starts or ends the drain of a worker.

use std::process::ExitCode;

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use hyper::Method;
use roseridge_ledger::DrainChange;
use roseridge_model::{
    RequestKey,
    WorkerName,
    names::NameError, //
};
use serde_json::Value;

use crate::{
    cli_error::CliError,
    commands::{
        add_entry_args,
        request_arg,
        request_id,
        text_arg, //
    },
    entry_client::EntryRequest,
    reply_output::send_and_print,
};

pub(super) fn command() -> Command {
    let about = "Stop placing new work on a worker; its running tasks continue to their end";
    add_entry_args(Command::new("drain").about(about))
        .arg(
            Arg::new("worker")
                .value_name("WORKER")
                .required(true)
                .help("The name of the worker"),
        )
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Allow new work on the worker again"),
        )
        .arg(request_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let change = drain_change(matches).map_err(|error| CliError::InvalidArgument {
        message: error.to_string(),
    })?;
    let request = EntryRequest {
        body: serde_json::to_string(&change).ok(),
        ..EntryRequest::new(Method::POST, "/v1/drains")
    };
    send_and_print(matches, &request, |_: &Value| match change.drained {
        true => format!("{} receives no new work\n", change.worker),
        false => format!("{} receives new work again\n", change.worker),
    })
}

fn drain_change(matches: &ArgMatches) -> Result<DrainChange, NameError> {
    Ok(DrainChange {
        worker: WorkerName::parse(text_arg(matches, "worker"))?,
        drained: !matches.get_flag("undo"),
        request: RequestKey::parse(&request_id(matches))?,
    })
}
