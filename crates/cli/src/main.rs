//! The `roseridge` program: the entry instance, the demo and the command-line client.

mod cli_error;
mod commands;
mod demo;
mod entry_client;
mod replica_table;
mod replies;
mod reply_output;
mod runtime;
mod template_diff;
mod template_file;
mod text_table;
mod time_format;

use std::process::ExitCode;

use cli_error::exit_code;

fn main() -> ExitCode {
    let matches = match commands::command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            // A failed write to the terminal can't be reported anywhere.
            let _ = error.print();
            return match error.use_stderr() {
                true => ExitCode::from(exit_code::INVALID_ARGUMENT),
                false => ExitCode::SUCCESS,
            };
        }
    };
    match commands::run(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("roseridge: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
