//! `roseridge site flow`: shows a flow and its tasks.

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
        CliError,
        InvalidArgumentSnafu,
        exit_code, //
    },
    commands::{
        site::{
            add_site_args,
            call_leader,
            unexpected_reply_error, //
        },
        text_arg,
    },
    text_table::TextTable,
    time_format::{
        format_duration,
        format_utc, //
    },
};

pub(super) fn command() -> Command {
    let about = "Show a flow: its tasks, what each of them waits for and where it ran last";
    add_site_args(Command::new("flow").about(about)).arg(
        Arg::new("flow")
            .value_name("FLOW")
            .required(true)
            .help("The id of the flow, as given by its caller"),
    )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let id_text = text_arg(matches, "flow");
    let Ok(flow) = id_text.parse::<FlowId>() else {
        let message = format!("{id_text}: the id of a flow has 16 hexadecimal digits");
        return InvalidArgumentSnafu { message }.fail();
    };
    let call = ControlCall::Flow(Box::new(FlowCall::ReadFlow { flow }));
    match call_leader(matches, &[call])?.as_slice() {
        [ControlReply::Flow(FlowReply::Flow(record))] => {
            print!("{}", flow_text(flow, record));
            Ok(ExitCode::SUCCESS)
        }
        [ControlReply::Flow(FlowReply::UnknownFlow)] => {
            eprintln!(
                "roseridge: unknown flow {flow}\n  it was never accepted, or it ended more than five \
                 minutes ago; see the log lines RR0041 and RR0055 with its id"
            );
            Ok(ExitCode::from(exit_code::REFUSED))
        }
        _ => Err(unexpected_reply_error()),
    }
}

fn flow_text(flow: FlowId, record: &FlowRecord) -> String {
    let customer = record.customer.as_ref().map(|name| name.as_str());
    format!(
        "flow {flow} of {} in {}{}, accepted {}, {}\n\n{}",
        customer.unwrap_or("nobody"),
        record.queue.key.host,
        record.queue.key.prefix,
        format_utc(record.accepted.0),
        phase_text(record),
        task_table(flow, record).to_text()
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
                    format_duration(task.saved_work.0),
                ]);
            }
        }
    }
    table
}

fn state_text(phase: &TaskPhase, can_start: bool) -> String {
    match phase {
        TaskPhase::Waiting if can_start => "waits for free resources".to_owned(),
        TaskPhase::Waiting => "waits for earlier steps".to_owned(),
        TaskPhase::Placed { run, backend, at } => {
            format!("run {run} on {backend} since {}", format_utc(at.0))
        }
        TaskPhase::Done => "done".to_owned(),
    }
}

fn phase_text(record: &FlowRecord) -> String {
    let after = |at: &UnixMillis| format_duration(at.since(record.accepted).0);
    match &record.phase {
        FlowPhase::Open => "open".to_owned(),
        FlowPhase::Done { at } => format!("done after {}", after(at)),
        FlowPhase::Failed { at } => format!("failed after {}", after(at)),
        FlowPhase::Cancelled { at } => format!("cancelled after {}", after(at)),
    }
}
