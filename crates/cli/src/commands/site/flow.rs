//! `roseridge site flow`.

use std::process::ExitCode;

use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use roseridge_flow::{
    FlowPhase,
    FlowRecord,
    TaskPhase, //
};
use roseridge_model::{
    FlowId,
    TaskKey,
    UnixMillis, //
};
use roseridge_wire::{
    ControlCall,
    ControlReply,
    FlowCall,
    FlowReply, //
};

use crate::{
    cli_error::{
        BadArgumentSnafu,
        CliError,
        exit_code, //
    },
    commands::{
        site::{
            ask_leader,
            odd_reply,
            site_args, //
        },
        text_arg,
    },
    text_table::TextTable,
    time_text::{
        span_text,
        utc_text, //
    },
};

pub(super) fn command() -> Command {
    let about = "Show one flow: its tasks, what each waits for, and where it ran last";
    site_args(Command::new("flow").about(about)).arg(
        Arg::new("flow")
            .value_name("FLOW")
            .required(true)
            .help("The id that its caller gave it"),
    )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let named = text_arg(matches, "flow");
    let Ok(flow) = named.parse::<FlowId>() else {
        let message = format!("{named}: a flow's id has 16 hexadecimal digits");
        return BadArgumentSnafu { message }.fail();
    };
    let call = ControlCall::Flow(Box::new(FlowCall::ReadFlow { flow }));
    match ask_leader(matches, &[call])?.as_slice() {
        [ControlReply::Flow(FlowReply::Flow(record))] => {
            print!("{}", flow_text(flow, record));
            Ok(ExitCode::SUCCESS)
        }
        [ControlReply::Flow(FlowReply::UnknownFlow)] => {
            eprintln!(
                "roseridge: no flow {flow}\n  it was never accepted, or ended over five minutes \
                 ago; see the lines RR0041 and RR0055 with its id"
            );
            Ok(ExitCode::from(exit_code::REFUSED))
        }
        _ => Err(odd_reply()),
    }
}

fn flow_text(flow: FlowId, record: &FlowRecord) -> String {
    let customer = record.customer.as_ref().map(|name| name.as_str());
    format!(
        "flow {flow} of {} in {}{}, accepted {}, {}\n\n{}",
        customer.unwrap_or("nobody"),
        record.queue.key.host,
        record.queue.key.prefix,
        utc_text(record.accepted.0),
        phase_text(record),
        task_table(flow, record).text()
    )
}

fn task_table(flow: FlowId, record: &FlowRecord) -> TextTable {
    let mut table = TextTable::new(&["task", "state", "runs", "failed", "saved"]);
    for (round_number, round) in (0..).zip(&record.rounds) {
        for (step_number, step) in (0..).zip(&round.steps) {
            for (index, task) in (0..).zip(&step.tasks) {
                let key = TaskKey {
                    flow,
                    round: round_number,
                    step: step_number,
                    index,
                };
                table.add(vec![
                    format!("{round_number}.{step_number}.{index}"),
                    state_text(&task.phase, record.can_start(key)),
                    task.last_run.to_string(),
                    task.failures.max(step.gang_failures).to_string(),
                    span_text(task.saved_work.0),
                ]);
            }
        }
    }
    table
}

fn state_text(phase: &TaskPhase, can_start: bool) -> String {
    match phase {
        TaskPhase::Waiting if can_start => "waits for room".to_owned(),
        TaskPhase::Waiting => "waits for earlier steps".to_owned(),
        TaskPhase::Placed { run, backend, at } => {
            format!("run {run} on {backend} since {}", utc_text(at.0))
        }
        TaskPhase::Done => "done".to_owned(),
    }
}

fn phase_text(record: &FlowRecord) -> String {
    let after = |at: &UnixMillis| span_text(at.since(record.accepted).0);
    match &record.phase {
        FlowPhase::Open => "open".to_owned(),
        FlowPhase::Done { at } => format!("done after {}", after(at)),
        FlowPhase::Failed { at } => format!("failed after {}", after(at)),
        FlowPhase::Cancelled { at } => format!("cancelled after {}", after(at)),
    }
}
