//! `roseridge status`: shows the state of the control group.

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
    replica_table::replica_table,
    replies::StatusReply,
    reply_output::send_and_print, //
};

pub(crate) fn command() -> Command {
    add_entry_args(Command::new("status").about("Show the state of the control group (operators)"))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let request = EntryRequest::new(Method::GET, "/v1/status");
    send_and_print(matches, &request, status_text)
}

fn status_text(status: &StatusReply) -> String {
    let live = status.workers.iter().filter(|(_, live)| *live).count();
    let replicas = status.replicas.iter();
    let replicas = replicas.map(|r| (r.replica, &r.address[..], r.matched));
    let table = replica_table(status.leader, replicas);
    format!(
        "revision {} in force, term {}, committed to {}\n\
         {} of {} workers live, {} jobs waiting, {} placed\n\n{}",
        status.revision,
        status.term,
        status.commit,
        live,
        status.workers.len(),
        status.waiting,
        status.placed,
        table.to_text()
    )
}
