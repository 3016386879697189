//! `roseridge replica`: lists, adds and removes the replicas of the control group.

use std::process::ExitCode;

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use hyper::Method;
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

use crate::{
    cli_error::CliError,
    commands::{
        add_entry_args,
        missing_subcommand, //
    },
    entry_client::EntryRequest,
    reply_output::send_and_print,
    text_table::TextTable, //
};

/// The replicas of the control group; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct MembersReply {
    settled: bool,
    members: Vec<MemberReply>,
}

/// A replica of the control group; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct MemberReply {
    replica: u64,
    disk: String,
    address: String,
    state: String,
    behind: u64,
    heard_ms_ago: Option<u64>,
}

pub(crate) fn command() -> Command {
    let add =
        "Add the replica that requests to join with this number; it votes once it has caught up";
    let remove = "Remove a replica before its disk or number is reused";
    Command::new("replica")
        .about("List, add and remove control replicas (operators)")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(add_entry_args(
            Command::new("list").about("List the replicas and how far each is behind the leader"),
        ))
        .subcommand(add_entry_args(Command::new("add").about(add)).arg(replica_arg()))
        .subcommand(add_entry_args(Command::new("remove").about(remove)).arg(replica_arg()))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("list", matches)) => {
            let request = EntryRequest::new(Method::GET, "/v1/replicas");
            send_and_print(matches, &request, members_text)
        }
        Some((action @ ("add" | "remove"), matches)) => change_members(action, matches),
        _ => missing_subcommand(),
    }
}

fn replica_arg() -> Arg {
    Arg::new("replica")
        .value_name("NUMBER")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("The number of the replica, as given in its settings")
}

fn change_members(action: &str, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let replica = matches
        .get_one::<u64>("replica")
        .copied()
        .unwrap_or_default();
    let body = json!({ "replica": replica, "action": action }).to_string();
    let request = EntryRequest {
        body: Some(body),
        ..EntryRequest::new(Method::POST, "/v1/replicas")
    };
    send_and_print(matches, &request, |_: &Value| match action {
        "add" => format!("replica {replica} receives the log; see 'roseridge replica list'\n"),
        _ => format!("replica {replica} is removed\n"),
    })
}

fn members_text(reply: &MembersReply) -> String {
    let headings = ["replica", "state", "behind", "heard", "address", "disk"];
    let mut table = TextTable::new(&headings);
    for member in &reply.members {
        let heard = member.heard_ms_ago.map(|ms| format!("{ms} ms ago"));
        table.add(vec![
            member.replica.to_string(),
            member.state.clone(),
            member.behind.to_string(),
            heard.unwrap_or_default(),
            member.address.clone(),
            member.disk.clone(),
        ]);
    }
    let note = match reply.settled {
        true => "",
        false => "the last change is not committed yet\n",
    };
    table.to_text() + note
}
