//! The `roseridge` program: entry instance, demo and command line.

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
mod time_text;

use std::process::ExitCode;

use cli_error::exit_code;

fn main() -> ExitCode {
    let matches = match commands::command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            // Nothing can be told when the terminal is gone.
            let _ = error.print();
            return match error.use_stderr() {
                true => ExitCode::from(exit_code::BAD_ARGUMENT),
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
