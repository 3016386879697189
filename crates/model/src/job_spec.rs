//! The description of a job.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassName,
    DurationMs,
    GangShape, //
};

/// The description of a job by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job class within the customer's template.
    pub class: ClassName,
    /// The gang to run.
    pub gang: GangShape,
    /// The run time that the caller expects, if it declares one.
    #[serde(default)]
    pub declared_run_ms: Option<DurationMs>,
    /// The text that the backend server receives.
    pub payload: String,
}
