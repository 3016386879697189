//! The event loop of the commands.

use snafu::ResultExt;

use crate::cli_error::{
    CliError,
    SystemFailedSnafu, //
};

/// Runs the future of a command to completion.
///
/// # Errors
///
/// Returns the error of the future, or a [`CliError`] if the event loop can't be created.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CliError>>,
) -> Result<T, CliError> {
    roseridge_wire::block_on(future).context(SystemFailedSnafu {
        operation: "creating the event loop",
    })?
}
