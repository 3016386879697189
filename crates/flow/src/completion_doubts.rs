//! The incarnations of backend servers that may delete completions before they are listed.
//!
//! An acknowledgement of completions for one incarnation may be carried out by a later one with its name, whose
//! completions are numbered from one again. Only the agent that sent it knows that it is under way. The record here
//! outlives that agent, and tells each agent after it which incarnation has to be tried first.

use std::collections::BTreeMap;

use roseridge_model::{
    BackendId,
    DurationMs,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The time after which a call that was sent is no longer carried out.
///
/// The platform carries out a call up to 12 s late; the rest is a margin.
pub const LATE_CALL: DurationMs = DurationMs(13_000);

/// The doubt about the completions of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompletionDoubt {
    /// The number up to which completions may be deleted.
    hidden_ends: u64,
    /// The time of the announcement. Acknowledgements for earlier incarnations were sent before it.
    since: UnixMillis,
    /// Whether a run of its own is known to have been listed, so that the incarnation itself is beyond doubt.
    is_settled: bool,
}

/// The doubts about the completions of incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionDoubts(BTreeMap<BackendId, CompletionDoubt>);

impl CompletionDoubts {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number up to which completions of an incarnation may be deleted before they are listed; 0 if there
    /// is no doubt about it.
    pub fn hidden_ends(&self, backend: &BackendId) -> u64 {
        let doubt = self.0.get(backend).filter(|doubt| !doubt.is_settled);
        doubt.map_or(0, |doubt| doubt.hidden_ends)
    }

    /// Returns the highest number that acknowledgements for the predecessors of an incarnation may carry which are
    /// still under way, and so may reach its successor; 0 if there are none.
    pub fn inherited_ends(&self, backend: &BackendId) -> u64 {
        self.0.get(backend).map_or(0, |doubt| doubt.hidden_ends)
    }

    /// Records that completions of an incarnation which is being announced may be deleted.
    pub(crate) fn add(&mut self, backend: BackendId, hidden_ends: u64, since: UnixMillis) {
        let doubt = CompletionDoubt {
            hidden_ends,
            since,
            is_settled: false,
        };
        self.0.insert(backend, doubt);
    }

    /// Records that an incarnation has listed the completion of a run that was ordered there.
    ///
    /// The doubt is kept for its successor until the acknowledgements can't be carried out any more.
    pub(crate) fn settle(&mut self, backend: &BackendId, now: UnixMillis) {
        if let Some(doubt) = self.0.get_mut(backend) {
            doubt.is_settled = true;
            if doubt.since.plus(LATE_CALL) <= now {
                self.0.remove(backend);
            }
        }
    }

    /// Removes the doubts about all incarnations but the given ones.
    pub(crate) fn keep(&mut self, is_kept: impl Fn(&BackendId) -> bool) {
        self.0.retain(|backend, _| is_kept(backend));
    }
}
