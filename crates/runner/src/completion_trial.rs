//! The trial of an incarnation that may have carried out an acknowledgement for an earlier one.
//!
//! Such an incarnation deletes its first completions before they have been listed, and nothing else shows
//! whether it does. Its runs are therefore stopped as soon as they have started, one at a time, until the completion
//! of one is listed: a stopped run has a completion as well, and if that is deleted, no result is lost with it. Each
//! trial uses up a number, so that the numbers exceed the acknowledged one in the end.

use roseridge_model::RunKey;

/// The maximum number up to which deleted completions are used up by trials. With a higher one, the incarnation
/// gets no work after its first trial.
const MAX_USED_UP: u64 = 200;

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
    /// It deletes more completions than trials may use up.
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

    /// Makes a trial due, unless one is under way.
    pub(crate) fn begin(&mut self) {
        if *self == Self::Passed {
            *self = Self::Due;
        }
    }

    /// Applies that the completion of a run is listed that was ordered on the incarnation. Those with higher numbers
    /// are listed from then on: the start of the run has made the incarnation ignore calls for earlier ones.
    pub(crate) fn apply_completions(&mut self) {
        if matches!(*self, Self::Due | Self::Open(_)) {
            *self = Self::Passed;
        }
    }

    /// Returns whether the incarnation is not to get any work.
    pub(crate) fn is_unusable(self) -> bool {
        self == Self::Failed
    }

    /// Applies that a run is neither running nor among the completions, and can't start any more. Returns whether
    /// its completion was deleted.
    pub(crate) fn apply_absence(&mut self, run: RunKey, has_started: bool) -> bool {
        let is_trial = *self == Self::Open(run);
        if is_trial {
            *self = Self::Due;
        }
        is_trial && has_started
    }

    /// Applies the number of completions that were deleted, of which at most `hidden_until` can be.
    pub(crate) fn apply_deleted(&mut self, deleted: u64, hidden_until: u64) {
        if hidden_until > MAX_USED_UP || deleted > hidden_until {
            *self = Self::Failed;
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
