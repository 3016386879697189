//! `roseridge site status`: shows replicas, queues, backend servers and evacuated domains.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use roseridge_flow::BackendStatus;
use roseridge_wire::{
    ControlCall,
    ControlReply,
    EvacuationsView,
    FlowCall,
    FlowReply,
    SiteView,
    StatusView, //
};

use crate::{
    cli_error::CliError,
    commands::site::{
        add_site_args,
        call_leader,
        unexpected_reply_error, //
    },
    replica_table::replica_table,
    text_table::TextTable, //
};

const MS_PER_SECOND: u64 = 1_000;

pub(super) fn command() -> Command {
    add_site_args(Command::new("status").about("Show replicas, queues and backend servers"))
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let calls = [
        ControlCall::ReadStatus,
        ControlCall::Flow(Box::new(FlowCall::ReadSite)),
        ControlCall::Flow(Box::new(FlowCall::ReadEvacuations)),
    ];
    match call_leader(matches, &calls)?.as_slice() {
        [
            ControlReply::Status(status),
            ControlReply::Flow(FlowReply::Site(site)),
            ControlReply::Flow(FlowReply::Evacuations(evacuations)),
        ] => {
            print!(
                "{}{}",
                site_text(status, site),
                evacuations_text(evacuations)
            );
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(unexpected_reply_error()),
    }
}

fn site_text(status: &StatusView, site: &SiteView) -> String {
    let version = site.version.map(|version| version.to_string());
    let replicas = status.replicas.iter();
    let replicas = replicas.map(|r| (r.replica, &r.address[..], r.matched));
    format!(
        "configuration {} in force, term {}, committed to {}\n\n{}\n{}\n{}",
        version.as_deref().unwrap_or("none"),
        status.term,
        status.commit,
        replica_table(status.leader, replicas).to_text(),
        queue_table(site).to_text(),
        backend_table(site).to_text(),
    )
}

/// Returns the table of the evacuated domains, or nothing if there are none.
fn evacuations_text(view: &EvacuationsView) -> String {
    let headings = ["evacuated", "for (s)", "backends", "runs left"];
    let mut table = TextTable::new(&headings);
    for evacuation in view.evacuated() {
        let elapsed = view.now.since(evacuation.since.unwrap_or_default());
        table.add(vec![
            evacuation.domain.to_string(),
            (elapsed.0 / MS_PER_SECOND).to_string(),
            evacuation.backends.to_string(),
            evacuation.runs.to_string(),
        ]);
    }
    match view.evacuated().next() {
        Some(_) => format!("\n{}", table.to_text()),
        None => String::new(),
    }
}

fn queue_table(site: &SiteView) -> TextTable {
    let mut table = TextTable::new(&["queue", "open", "pending"]);
    for view in &site.queues {
        let (open, pending) = (view.open.to_string(), view.pending.to_string());
        let name = format!("{}{}", view.queue.host, view.queue.prefix);
        table.add(vec![name, open, pending]);
    }
    table
}

fn backend_table(site: &SiteView) -> TextTable {
    let headings = [
        "backend", "instance", "domain", "rack", "state", "runs", "free",
    ];
    let mut table = TextTable::new(&headings);
    for view in &site.backends {
        let profile = &view.profile;
        let rack = profile.rack.as_ref().map(ToString::to_string);
        table.add(vec![
            view.backend.to_string(),
            profile.instance.to_string(),
            profile.domain.to_string(),
            rack.unwrap_or_default(),
            status_text(view.presence).to_owned(),
            view.runs.to_string(),
            format!("{}/{}", view.free_accelerators, profile.shape.accelerators),
        ]);
    }
    table
}

fn status_text(status: BackendStatus) -> &'static str {
    match status {
        BackendStatus::Ready => "ready",
        BackendStatus::Draining { .. } => "draining",
        BackendStatus::Lost { .. } => "lost",
        BackendStatus::Ended { .. } => "ended",
    }
}
