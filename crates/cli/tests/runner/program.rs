//! Runs the `roseridge` program under test.

use std::process::{
    Command,
    Output, //
};

/// The exit code and the output of one run of the program.
#[derive(Debug)]
pub(crate) struct ProgramRun {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl ProgramRun {
    fn new(output: Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Returns a command for the program, without the environment variables that it reads.
pub(crate) fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseridge"));
    command.env_remove("ROSERIDGE_ENTRY");
    command.env_remove("ROSERIDGE_TOKEN");
    command
}

/// Runs the program with the arguments in `line`, with the entries and a token in its environment.
///
/// An empty list of entries leaves the environment variables unset.
pub(crate) fn run(entries: &str, line: &str) -> ProgramRun {
    let mut command = program();
    command.args(line.split_whitespace());
    if !entries.is_empty() {
        command.env("ROSERIDGE_ENTRY", entries);
        command.env("ROSERIDGE_TOKEN", "a-token");
    }
    ProgramRun::new(command.output().expect("the program runs"))
}
