//! The trial of an incarnation that may have carried out an acknowledgement for an earlier one.
//!
//! Such an incarnation deletes its first completions before they have been listed, and nothing else shows
//! whether it does. Its first run is therefore stopped as soon as it has started: the completion of a stopped run
//! has a number as well, and if it is deleted, no result is lost with it.

use roseridge_model::RunKey;

/// Whether an incarnation lists its completions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum CompletionTrial {
    /// It does.
    #[default]
    Passed,
    /// The next run is started for a trial.
    Due,
    /// This run is started for a trial.
    Open(RunKey),
    /// It deletes completions up to the acknowledged number.
    Failed,
}

impl CompletionTrial {
    /// Returns whether a run may start, and begins a trial with it if one is due.
    pub(crate) fn admit(&mut self, run: RunKey) -> bool {
        match *self {
            Self::Passed => true,
            Self::Due => {
                *self = Self::Open(run);
                true
            }
            Self::Open(trial) => trial == run,
            Self::Failed => false,
        }
    }

    /// Applies that a run is neither running nor among the completions, and can't start any more.
    pub(crate) fn apply_absence(&mut self, run: RunKey, has_started: bool) {
        if *self == Self::Open(run) {
            *self = match has_started {
                true => Self::Failed,
                false => Self::Due,
            };
        }
    }

    /// Returns the run that is started for a trial.
    pub(crate) fn run(self) -> Option<RunKey> {
        match self {
            Self::Open(run) => Some(run),
            Self::Passed | Self::Due | Self::Failed => None,
        }
    }
}
