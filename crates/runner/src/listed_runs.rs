//! What the lists of a backend server prove about the ordered runs.

use std::collections::BTreeSet;

use crate::{
    RunList,
    RunTable,
    run_progress::RunState, //
};

/// The time after which a completion whose number was skipped counts as gone, in milliseconds.
///
/// A list that overtook another one is followed by a newer list within this time.
const COMPLETION_GAP_MS: u64 = 2_000;

/// The age of a list from which on the next one is reported at once, in milliseconds. Lists are younger while the
/// backend server answers and the agent runs.
const OLD_LIST_MS: u64 = 1_000;

impl RunTable {
    /// Applies a list: its completions, its running runs, and what both prove about ordered runs.
    ///
    /// A run that is in neither list is known not to run only if no completion can be missing. While a
    /// number is skipped or the list is truncated, the run stays in doubt, since it may be done. So it
    /// does while a row of a running run can't be read.
    pub(crate) fn apply_list(&mut self, number: u64, list: RunList, now_ms: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.has_list = true;
        let numbers: BTreeSet<_> = list.ended.iter().map(|end| end.number).collect();
        if !list.is_truncated && list.unreadable_ended == 0 {
            let is_deleted = |number| incarnation.is_deleted(number, &numbers);
            let backend = &incarnation.report.backend;
            let carried_out = self
                .open_acks
                .take_carried_out((number, backend), is_deleted);
            incarnation.confirmed_ends = incarnation.confirmed_ends.max(carried_out.unwrap_or(0));
        }
        incarnation.record_listed_ends(&numbers);
        let mut ended = list.ended.iter();
        if ended.any(|end| incarnation.runs.contains_key(&end.run)) {
            incarnation.completion_trial.apply_completions();
        }
        for completion in list.ended {
            if completion.number > incarnation.ends_seen
                && incarnation
                    .completions
                    .insert(completion.number, completion)
                    .is_none()
            {
                self.has_changes = true;
            }
        }
        let running = list.running.into_iter();
        incarnation.running = running.map(|listed| (listed.run, listed)).collect();
        // The leader renews no lease before it learns that contact is back.
        self.has_changes |= now_ms >= incarnation.listed_ms + OLD_LIST_MS;
        incarnation.listed_ms = now_ms;
        let has_gap = incarnation.has_completion_gap() || list.unreadable_ended > 0;
        let gap_since_ms = incarnation.gap_since_ms.unwrap_or(now_ms);
        incarnation.gap_since_ms = has_gap.then_some(gap_since_ms);
        let has_open_gap = incarnation
            .gap_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + COMPLETION_GAP_MS);
        let listed = &incarnation.running;
        incarnation
            .unordered
            .retain(|run, _| listed.contains_key(run));
        let completed: BTreeSet<_> = incarnation
            .completions
            .values()
            .map(|completion| completion.run)
            .collect();
        if list.is_truncated || list.unreadable_running > 0 || has_open_gap {
            return;
        }
        for (run, progress) in &mut incarnation.runs {
            let is_listed = incarnation.running.contains_key(run) || completed.contains(run);
            match progress.state {
                _ if is_listed => {}
                RunState::StopConfirmed { from_list, .. } if number >= from_list => {
                    progress.state = RunState::Unstarted;
                    let trial = &mut incarnation.completion_trial;
                    if trial.apply_absence(*run, progress.has_started) {
                        incarnation.deleted_ends += 1;
                        trial.apply_deleted(incarnation.deleted_ends, incarnation.hidden_until);
                    }
                    progress
                        .abandon_reason
                        .get_or_insert("stopped before its start");
                    self.has_changes = true;
                }
                RunState::Started { from_list } if number >= from_list => {
                    progress
                        .abandon_reason
                        .get_or_insert("the run is not listed");
                    progress.state = RunState::Idle {
                        not_before_ms: now_ms,
                    };
                }
                _ => {}
            }
        }
    }
}
