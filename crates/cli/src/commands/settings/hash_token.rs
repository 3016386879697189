//! `roseridge settings hash-token`: prints the salted hash of a token.

use std::{
    io,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use roseridge_settings::TokenHash;
use snafu::ResultExt;

use crate::{
    cli_error::{
        CliError,
        InvalidArgumentSnafu,
        SystemFailedSnafu, //
    },
    commands::text_arg,
};

pub(super) fn command() -> Command {
    Command::new("hash-token")
        .about("Print the salted hash of a token, for a settings file")
        .arg(
            Arg::new("salt")
                .long("salt")
                .value_name("SALT")
                .help("The salt [default: a random one]"),
        )
        .after_help(
            "The token is read from standard input, which keeps it out of the process list.",
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let mut line = String::new();
    io::stdin()
        .read_line(&mut line)
        .context(SystemFailedSnafu {
            operation: "reading the token from standard input",
        })?;
    let token = line.trim_end_matches(['\r', '\n']);
    if token.is_empty() {
        let message = "standard input contains no token";
        return InvalidArgumentSnafu { message }.fail();
    }
    let salt = match text_arg(matches, "salt") {
        "" => format!("{:032x}", rand::random::<u128>()),
        given => given.to_owned(),
    };
    let hash = TokenHash::new(&salt, token);
    let (salt, sha256) = (hash.salt, hash.sha256);
    println!("token = {{ salt = {salt:?}, sha256 = {sha256:?} }}");
    Ok(ExitCode::SUCCESS)
}
