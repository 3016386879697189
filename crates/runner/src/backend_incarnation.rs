//! The agent's state for one incarnation of its backend server, and the report made from it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use roseridge_flow::{
    RunCompletion,
    UnstartedRun, //
};
use roseridge_model::{
    DurationMs,
    FastMap,
    FlowId,
    RunKey, //
};
use roseridge_wire::{
    BackendReport,
    RunningRun, //
};

use crate::{
    ListedRun,
    StatusReport, //
    completion_trial::CompletionTrial,
    run_progress::{
        RunProgress,
        RunState, //
    },
    stop_barrier::LATE_CALL_MS,
};

/// The minimum rate of a backend server's clock, in percent of true time; the platform guarantees it.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// The agent's state for the current incarnation of the backend server.
#[derive(Debug)]
pub(crate) struct BackendIncarnation {
    pub(crate) report: StatusReport,
    /// The newest reading of the backend server's clock, and the agent's time of that reading, both
    /// in milliseconds.
    pub(crate) clock: (u64, u64),
    /// The end of the lease that the leader granted, in milliseconds on the backend server's clock.
    pub(crate) lease_until_ms: u64,
    /// The end of the lease that was last sent to the backend server; 0 to send it again.
    pub(crate) sent_lease_until_ms: u64,
    /// The index of the newest orders that were applied, or 0.
    pub(crate) orders_index: u64,
    /// The number of the last completion that the leader has acknowledged.
    pub(crate) ends_seen: u64,
    /// The number up to which the backend server has answered that it has the acknowledgement.
    pub(crate) confirmed_ends: u64,
    /// The call that carries an acknowledgement and has no answer yet.
    pub(crate) ack_call: Option<u64>,
    /// The lowest and the highest number of the completions that were listed to this agent.
    pub(crate) listed_ends: Option<(u64, u64)>,
    /// The number up to which completions may be deleted before they are listed.
    pub(crate) hidden_until: u64,
    pub(crate) completion_trial: CompletionTrial,
    /// Whether this agent knows that no acknowledgement for an earlier incarnation has reached this one or will do so.
    pub(crate) is_beyond_doubt: bool,
    /// The number of completions that were deleted in trials.
    pub(crate) deleted_ends: u64,
    /// Completions that the leader has not acknowledged, by number.
    pub(crate) completions: BTreeMap<u64, RunCompletion>,
    /// The runs of the newest list.
    pub(crate) running: BTreeMap<RunKey, ListedRun>,
    /// The agent's time at which the newest list was received, in milliseconds.
    pub(crate) listed_ms: u64,
    /// The runs of the newest orders.
    pub(crate) runs: BTreeMap<RunKey, RunProgress>,
    /// The stops of runs that the backend server lists without an order.
    pub(crate) unordered: BTreeMap<RunKey, UnorderedStop>,
    /// The agent's time of the last start that was sent for each run, in milliseconds.
    ///
    /// A run that is no longer ordered is kept for [`LATE_CALL_MS`].
    pub(crate) sent_starts: BTreeMap<RunKey, u64>,
    /// Whether another incarnation has answered under the same name. No more calls are made then, since
    /// the later incarnation would carry them out.
    pub(crate) is_replaced: bool,
    /// Whether a list has been received from this incarnation.
    pub(crate) has_list: bool,
    /// The agent's time since which the number of a completion is missing, in milliseconds.
    pub(crate) gap_since_ms: Option<u64>,
    /// The agent's time at which the backend server announced its shutdown, in milliseconds.
    pub(crate) shutdown_notice_ms: Option<u64>,
    /// Whether the next report carries the profile of the backend server.
    pub(crate) wants_profile: bool,
}

/// The state of the stop of a run without an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnorderedStop {
    /// The stop is in flight.
    Sent,
    /// The stop was answered; it is repeated at this time if the run is still listed.
    Answered { retry_at_ms: u64 },
}

impl BackendIncarnation {
    /// Creates the state of an incarnation that has answered its first call with a clock reading.
    pub(crate) fn new(report: StatusReport, clock_ms: u64, now_ms: u64) -> Self {
        Self {
            report,
            clock: (clock_ms, now_ms),
            lease_until_ms: 0,
            sent_lease_until_ms: 0,
            orders_index: 0,
            ends_seen: 0,
            confirmed_ends: 0,
            ack_call: None,
            listed_ends: None,
            hidden_until: 0,
            completion_trial: CompletionTrial::default(),
            is_beyond_doubt: true,
            deleted_ends: 0,
            completions: BTreeMap::new(),
            running: BTreeMap::new(),
            listed_ms: now_ms,
            runs: BTreeMap::new(),
            unordered: BTreeMap::new(),
            sent_starts: BTreeMap::new(),
            is_replaced: false,
            has_list: false,
            gap_since_ms: None,
            shutdown_notice_ms: None,
            wants_profile: true,
        }
    }

    /// Returns the runs that may have been started, each with the time of its last start at the latest.
    ///
    /// An ordered run may have been started before the agent itself was restarted.
    pub(crate) fn possible_starts(&self) -> BTreeMap<RunKey, u64> {
        let ordered = self.runs.keys().map(|run| (*run, self.listed_ms));
        let sent = self
            .sent_starts
            .iter()
            .map(|(run, sent_ms)| (*run, *sent_ms));
        ordered.chain(sent).collect()
    }

    /// Forgets the starts of runs that are no longer ordered and can no longer start.
    pub(crate) fn forget_old_starts(&mut self, now_ms: u64) {
        let runs = &self.runs;
        self.sent_starts.retain(|run, sent_ms| {
            runs.contains_key(run) || now_ms < sent_ms.saturating_add(LATE_CALL_MS)
        });
    }

    /// Returns the minimum time until it leaves; `None` if it may get work. One that may delete completions
    /// before they are listed gets none, since what it runs could be done without a trace.
    pub(crate) fn draining(&self) -> Option<DurationMs> {
        let is_unusable = self.completion_trial.is_unusable();
        let draining = self.report.draining;
        draining.or_else(|| is_unusable.then_some(DurationMs(0)))
    }

    /// Makes the trial due again if the order of its run is withdrawn.
    pub(crate) fn reopen_trial(&mut self) {
        let run = self.completion_trial.run();
        if run.is_some_and(|run| !self.runs.contains_key(&run)) {
            self.completion_trial = CompletionTrial::Due;
        }
    }

    /// Records the numbers of listed completions.
    pub(crate) fn record_listed_ends(&mut self, numbers: &BTreeSet<u64>) {
        if let (Some(lowest), Some(highest)) = (numbers.first(), numbers.last()) {
            let (first, last) = self.listed_ends.unwrap_or((*lowest, *highest));
            self.listed_ends = Some((first.min(*lowest), last.max(*highest)));
        }
    }

    /// Records that its completions up to a number may be deleted before they are listed.
    pub(crate) fn doubt_completions(&mut self, hidden_until: u64) {
        if hidden_until > self.hidden_until {
            self.hidden_until = hidden_until;
            self.completion_trial.begin();
        }
    }

    /// Returns whether a completion that was listed to this agent is no longer listed, although no
    /// acknowledgement of it has been answered.
    pub(crate) fn is_deleted(&self, number: u64, listed: &BTreeSet<u64>) -> bool {
        let was_listed = |(first, last)| (first..=last).contains(&number);
        number > self.confirmed_ends
            && !listed.contains(&number)
            && self.listed_ends.is_some_and(was_listed)
    }

    /// Returns the number to acknowledge with the next renewal; 0 if there is nothing to acknowledge.
    ///
    /// A number is sent by one call at a time, until it is answered and not again, so that a renewal that a later
    /// incarnation carries out rarely deletes completions.
    pub(crate) fn unconfirmed_ends(&self) -> u64 {
        match self.ends_seen > self.confirmed_ends && self.ack_call.is_none() {
            true => self.ends_seen,
            false => 0,
        }
    }

    /// Returns whether a completion with a lower number than a listed one is neither listed nor
    /// acknowledged.
    pub(crate) fn has_completion_gap(&self) -> bool {
        let newest = self.completions.keys().next_back().copied();
        let expected = newest.map_or(0, |number| number.saturating_sub(self.ends_seen));
        (self.completions.len() as u64) < expected
    }
}

/// Returns a lower bound of the backend server's clock, in milliseconds.
///
/// The bound extrapolates the last reading at the minimum clock rate.
pub(crate) fn min_clock_ms((clock_ms, at_ms): (u64, u64), now_ms: u64) -> u64 {
    clock_ms + now_ms.saturating_sub(at_ms) * MIN_CLOCK_RATE_PERCENT / 100
}

/// Builds the report on an incarnation of the backend server.
pub(crate) fn backend_report(
    incarnation: &BackendIncarnation,
    texts: &FastMap<FlowId, String>,
    now_ms: u64,
) -> BackendReport {
    let listed = incarnation.running.values().map(|listed| RunningRun {
        run: listed.run,
        saved: listed.saved.clone(),
        percent: listed.percent,
    });
    // If the backend server crashes before its next list, only the answer to the start shows that it began
    // the run.
    let is_completed = |run| incarnation.completions.values().any(|c| c.run == run);
    let started = incarnation.runs.values().filter(|progress| {
        progress.has_started
            && matches!(progress.state, RunState::Started { .. })
            && !incarnation.running.contains_key(&progress.order.run)
            && !is_completed(progress.order.run)
    });
    let started = started.map(|progress| RunningRun {
        run: progress.order.run,
        saved: String::new(),
        percent: 0,
    });
    let running = listed.chain(started);
    let unstarted = incarnation
        .runs
        .values()
        .filter(|p| p.state == RunState::Unstarted);
    let unstarted = unstarted.map(|progress| UnstartedRun {
        run: progress.order.run,
        reason: progress
            .abandon_reason
            .unwrap_or("stopped before its start")
            .to_owned(),
    });
    BackendReport {
        backend: incarnation.report.backend.clone(),
        profile: incarnation
            .wants_profile
            .then(|| incarnation.report.profile.clone()),
        clock_ms: min_clock_ms(incarnation.clock, now_ms),
        draining: incarnation.draining(),
        running: running.collect(),
        listed_ago: DurationMs(now_ms.saturating_sub(incarnation.listed_ms)),
        ends: incarnation.completions.values().cloned().collect(),
        unstarted: unstarted.collect(),
        known_orders: incarnation.orders_index,
        known_ends: incarnation.ends_seen,
        texts: texts.keys().copied().collect(),
    }
}
