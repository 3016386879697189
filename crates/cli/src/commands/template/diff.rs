//! `roseridge template diff`: compares a template file with the template in force.

use std::process::ExitCode;

use clap::{
    ArgMatches,
    Command, //
};
use hyper::Method;
use snafu::ResultExt;

use super::file_arg;
use crate::{
    cli_error::{
        CliError,
        InvalidReplySnafu, //
    },
    commands::{
        add_entry_args,
        entry_client,
        text_arg, //
    },
    entry_client::EntryRequest,
    replies::TemplatesReply,
    reply_output::{
        print_problem,
        read_reply, //
    },
    runtime::block_on,
    template_diff::diff_lines,
    template_file::read_template,
};

pub(super) fn command() -> Command {
    let about = "Show how a template file differs from the version in force";
    add_entry_args(Command::new("diff").about(about)).arg(file_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let desired = read_template(text_arg(matches, "file"))?;
    let request = EntryRequest::new(Method::GET, "/v1/templates");
    let reply = block_on(entry_client(matches).send(&request))?;
    let as_json = matches.get_flag("json");
    if !(200..300).contains(&reply.status) {
        return Ok(print_problem(&reply, as_json));
    }
    let current: TemplatesReply = read_reply(&reply)?;
    let mut templates = current.templates.iter();
    let in_force = templates.find(|t| t.customer == desired.customer);
    let lines = diff_lines(in_force, &desired).context(InvalidReplySnafu)?;
    let customer = &desired.customer;
    let base = current.revision;
    match lines.as_slice() {
        lines if as_json => {
            let body = serde_json::json!({ "customer": customer, "base": base, "diff": lines });
            println!("{body}");
        }
        [] => println!("{customer}: identical to revision {base}, nothing to apply"),
        lines => println!(
            "{customer}: compared with revision {base} (apply with --base {base})\n{}",
            lines.join("\n")
        ),
    }
    Ok(ExitCode::SUCCESS)
}
