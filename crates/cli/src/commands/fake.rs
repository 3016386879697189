//! `roseridge fake`: a fake backend server for manual tests of a cluster.

use std::{
    net::SocketAddr,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use roseridge_fake::FakeBackend;
use roseridge_model::{
    DomainName,
    RackName,
    ResourceShape,
    WorkerShape, //
};
use roseridge_shutdown::stop_on_signals;
use snafu::ResultExt;

use crate::{
    cli_error::{
        CliError,
        SystemFailedSnafu, //
    },
    commands::{
        number_arg,
        text_arg, //
    },
    runtime::block_on,
};

pub(crate) fn command() -> Command {
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        text(name, default, help).value_parser(value_parser!(u32))
    };
    Command::new("fake")
        .about("Run a fake backend server for an agent, to test a cluster manually")
        .arg(
            Arg::new("agent")
                .long("agent")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("The loopback address on which the agent listens"),
        )
        .arg(text("domain", "domain-0", "The failure domain"))
        .arg(text("rack", "rack-0", "The rack"))
        .arg(number("cores", "64", "Number of processor cores"))
        .arg(number("memory-mib", "130000", "Memory in MiB"))
        .arg(number("accelerators", "8", "Number of accelerators"))
        .arg(number("slots", "8", "Maximum number of concurrent tasks"))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let name_error = |error: roseridge_model::names::NameError| CliError::InvalidArgument {
        message: error.to_string(),
    };
    let shape = WorkerShape {
        domain: DomainName::parse(text_arg(matches, "domain")).map_err(name_error)?,
        rack: RackName::parse(text_arg(matches, "rack")).map_err(name_error)?,
        total: ResourceShape {
            cores: number_arg(matches, "cores"),
            memory_mib: number_arg(matches, "memory-mib").into(),
            accelerators: number_arg(matches, "accelerators"),
        },
        slots: u16::try_from(number_arg(matches, "slots")).unwrap_or(u16::MAX),
        connections: 60,
    };
    let Some(agent) = matches.get_one::<SocketAddr>("agent").copied() else {
        return Ok(ExitCode::FAILURE);
    };
    let stop = stop_on_signals().context(SystemFailedSnafu {
        operation: "registering the signal handlers",
    })?;
    block_on(async {
        let started = FakeBackend::start(shape, agent).await;
        let backend = started.map_err(|error| CliError::InvalidArgument {
            message: error.to_string(),
        })?;
        println!("fake backend server on {}", backend.address());
        stop.wait().await;
        Ok(ExitCode::SUCCESS)
    })
}
