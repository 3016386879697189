//! `roseridge template apply`: applies a template file.

use std::process::ExitCode;

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use hyper::Method;
use roseridge_ledger::TemplateChange;
use roseridge_model::{
    ConfigRevision,
    RequestKey, //
};

use super::file_arg;
use crate::{
    cli_error::CliError,
    commands::{
        add_entry_args,
        request_arg,
        request_id,
        text_arg, //
    },
    entry_client::EntryRequest,
    replies::RevisionReply,
    reply_output::send_and_print,
    template_file::read_template,
};

pub(super) fn command() -> Command {
    add_entry_args(Command::new("apply").about("Apply a template file"))
        .arg(file_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .required(true)
                .help("The revision that the change is based on; 'template diff' prints it"),
        )
        .arg(request_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let template = read_template(text_arg(matches, "file"))?;
    let request = RequestKey::parse(&request_id(matches)).map_err(|error| {
        let message = format!("--request: {error}");
        CliError::InvalidArgument { message }
    })?;
    let base = matches.get_one::<u64>("base").copied().unwrap_or_default();
    let change = TemplateChange {
        request,
        base: ConfigRevision(base),
        template,
    };
    let request = EntryRequest {
        body: serde_json::to_string(&change).ok(),
        ..EntryRequest::new(Method::POST, "/v1/templates")
    };
    send_and_print(matches, &request, |reply: &RevisionReply| {
        format!("revision {} in force\n", reply.revision)
    })
}
