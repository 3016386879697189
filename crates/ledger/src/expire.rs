//! Expiry of holds that exceed their timeout and of ended jobs past their retention.

use roseridge_model::{
    JobId,
    UnixMillis, //
};

use crate::{
    CommandOutcome,
    HOLD_TIMEOUT,
    JobState,
    LedgerState,
    StopReason, //
};

/// The maximum number of timers that one command processes, which bounds its work.
const MAX_TIMERS_PER_COMMAND: usize = 256;

impl LedgerState {
    /// Returns when the next [`LedgerChange::Expire`](crate::LedgerChange::Expire) is due.
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Processes the jobs whose timers are due, the earliest first.
    pub(crate) fn expire(&mut self) -> CommandOutcome {
        for _ in 0..MAX_TIMERS_PER_COMMAND {
            match self.timers.first().copied() {
                Some((due, job)) if due <= self.now => {
                    self.timers.pop_first();
                    self.expire_job(job);
                }
                _ => break,
            }
        }
        CommandOutcome::Applied
    }

    /// Stops a gang whose hold timed out or removes an ended job past its retention.
    ///
    /// Any other timer is stale and has no effect.
    fn expire_job(&mut self, job: JobId) {
        let now = self.now;
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        match &record.state {
            JobState::Placed(gang)
                if gang.released.is_none() && gang.placed.plus(HOLD_TIMEOUT) <= now =>
            {
                self.stop_gang(job, StopReason::HoldTimeout);
            }
            JobState::Ended { at, .. } if at.plus(record.rule.answer_retention_ms) <= now => {
                self.forget_job(job);
            }
            _ => {}
        }
    }
}
