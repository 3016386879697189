//! `roseridge worker list`: lists the workers.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use hyper::Method;

use crate::{
    cli_error::CliError,
    commands::add_entry_args,
    entry_client::EntryRequest,
    replies::WorkerReply,
    reply_output::send_and_print,
    text_table::TextTable, //
};

pub(super) fn command() -> Command {
    add_entry_args(Command::new("list").about("List the workers"))
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let request = EntryRequest::new(Method::GET, "/v1/workers");
    send_and_print(matches, &request, workers_text)
}

fn workers_text(workers: &Vec<WorkerReply>) -> String {
    let headings = [
        "worker",
        "state",
        "domain",
        "rack",
        "tasks",
        "free accelerators",
    ];
    let mut table = TextTable::new(&headings);
    for worker in workers {
        let total = worker.shape.total.accelerators;
        table.add(vec![
            worker.worker.clone(),
            worker.state().to_owned(),
            worker.shape.domain.clone(),
            worker.shape.rack.clone(),
            worker.tasks.len().to_string(),
            format!("{} of {total}", worker.free_accelerators),
        ]);
    }
    table.to_text()
}
