//! `roseridge template show`: shows all templates, or one as a file.

use std::process::ExitCode;

use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use hyper::Method;
use roseridge_model::{
    CustomerTemplate,
    GangShape, //
};

use crate::{
    cli_error::{
        CliError,
        InvalidArgumentSnafu, //
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
        read_reply,
        send_and_print, //
    },
    runtime::block_on,
    text_table::TextTable,
};

pub(super) fn command() -> Command {
    add_entry_args(Command::new("show").about("Show all templates, or one as a file to edit")).arg(
        Arg::new("customer")
            .value_name("CUSTOMER")
            .help("The customer whose template is printed as TOML"),
    )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let request = EntryRequest::new(Method::GET, "/v1/templates");
    match text_arg(matches, "customer") {
        "" => send_and_print(matches, &request, templates_text),
        customer => print_one(matches, &request, customer),
    }
}

fn templates_text(reply: &TemplatesReply) -> String {
    let headings = [
        "customer",
        "guaranteed",
        "rank",
        "queue",
        "rate/s",
        "classes",
    ];
    let mut table = TextTable::new(&headings);
    for template in &reply.templates {
        let shapes: Vec<_> = template.guaranteed.iter().map(shape_text).collect();
        let classes: Vec<_> = template.classes.keys().map(|c| c.as_str()).collect();
        table.add(vec![
            template.customer.to_string(),
            shapes.join(" + "),
            template.degrade_rank.to_string(),
            template.queue_limit.to_string(),
            template.rate_per_second.to_string(),
            classes.join(", "),
        ]);
    }
    format!(
        "revision {} in force\n\n{}",
        reply.revision,
        table.to_text()
    )
}

fn shape_text(shape: &GangShape) -> String {
    let adjacency = serde_json::to_value(shape.adjacency).unwrap_or_default();
    format!(
        "{}x(cores={} memory_mib={} accelerators={}) {}",
        shape.members,
        shape.member.cores,
        shape.member.memory_mib,
        shape.member.accelerators,
        adjacency.as_str().unwrap_or_default()
    )
}

/// Prints the template of a customer in the format that `template apply` reads.
fn print_one(
    matches: &ArgMatches,
    request: &EntryRequest<'_>,
    customer: &str,
) -> Result<ExitCode, CliError> {
    let reply = block_on(entry_client(matches).send(request))?;
    let as_json = matches.get_flag("json");
    if !(200..300).contains(&reply.status) {
        return Ok(print_problem(&reply, as_json));
    }
    let current: TemplatesReply = read_reply(&reply)?;
    let mut templates = current.templates.iter();
    let Some(template) = templates.find(|t| t.customer.as_str() == customer) else {
        let message = format!("{customer} has no template; see 'roseridge template show'");
        return InvalidArgumentSnafu { message }.fail();
    };
    print!("{}", file_text(template, current.revision, as_json)?);
    Ok(ExitCode::SUCCESS)
}

/// Formats a template as a file; in TOML, a comment names the revision to pass as `--base`.
fn file_text(template: &CustomerTemplate, base: u64, as_json: bool) -> Result<String, CliError> {
    let error_of = |message: String| CliError::InvalidFile {
        path: template.customer.to_string(),
        message,
    };
    match as_json {
        true => serde_json::to_string_pretty(template)
            .map(|text| text + "\n")
            .map_err(|error| error_of(error.to_string())),
        false => toml::to_string(template)
            .map(|text| format!("# Taken from revision {base}: apply with --base {base}.\n{text}"))
            .map_err(|error| error_of(error.to_string())),
    }
}
