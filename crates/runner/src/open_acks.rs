//! The acknowledgements of completions whose outcome is not known.
//!
//! Calls carry only the name of a backend server. An acknowledgement for one incarnation may therefore be
//! carried out by a later one with its name, whose completions are numbered from one again. Completions up to the
//! acknowledged number are then deleted before they have been listed.

use std::collections::BTreeMap;

use roseridge_model::BackendId;

use crate::{
    RunAnswer,
    stop_barrier::LATE_CALL_MS, //
};

/// An acknowledgement that was sent.
#[derive(Debug, Clone)]
struct OpenAck {
    backend: BackendId,
    ends_seen: u64,
    /// The agent's time from which it can't be carried out any more, in milliseconds.
    void_from_ms: u64,
}

/// The acknowledgements that a later incarnation may carry out, or have carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MisdirectedAcks {
    /// The number up to which completions may be deleted.
    pub(crate) ends_seen: u64,
    /// The agent's time from which none can be carried out any more, in milliseconds.
    pub(crate) void_from_ms: u64,
}

/// The acknowledgements that may not have been carried out by their incarnation, by the number of their call.
#[derive(Debug, Default)]
pub(crate) struct OpenAcks(BTreeMap<u64, OpenAck>);

impl OpenAcks {
    /// Records that an acknowledgement is sent.
    pub(crate) fn record(
        &mut self,
        call: u64,
        (backend, ends_seen): (&BackendId, u64),
        now_ms: u64,
    ) {
        let ack = OpenAck {
            backend: backend.clone(),
            ends_seen,
            void_from_ms: now_ms.saturating_add(LATE_CALL_MS),
        };
        self.0.insert(call, ack);
    }

    /// Applies the answer to a renewal for an incarnation.
    ///
    /// An acknowledgement that the expected incarnation has answered was not carried out by another one, and
    /// neither was one that was refused. An incarnation that answers has outlived its void acknowledgements.
    pub(crate) fn apply_answer(
        &mut self,
        (call, backend): (u64, &BackendId),
        answer: &RunAnswer,
        now_ms: u64,
    ) {
        match answer {
            RunAnswer::Done { .. } => self.0.retain(|k, ack| {
                *k != call && (ack.backend != *backend || now_ms < ack.void_from_ms)
            }),
            RunAnswer::Refused(_) | RunAnswer::OtherServer => {
                self.0.remove(&call);
            }
            RunAnswer::OtherLife | RunAnswer::NoAnswer => {}
        }
    }

    /// Removes the acknowledgement that a list of its incarnation proves to be carried out, and returns its
    /// number.
    ///
    /// `is_deleted` tells whether the completion with a number was deleted since an earlier list. That proves
    /// it if the list was requested later, and if nothing else can have deleted the completion.
    pub(crate) fn take_carried_out(
        &mut self,
        (list, backend): (u64, &BackendId),
        is_deleted: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let mut own = self.0.iter().filter(|(_, ack)| ack.backend == *backend);
        let (call, ack) = own.clone().max_by_key(|(_, ack)| ack.ends_seen)?;
        let (call, ends_seen) = (*call, ack.ends_seen);
        let is_sole = !own.any(|(other, ack)| *other != call && ack.ends_seen >= ends_seen);
        if call >= list || !is_sole || !is_deleted(ends_seen) {
            return None;
        }
        self.0.remove(&call);
        Some(ends_seen)
    }

    /// Returns the acknowledgements for earlier incarnations that one with their name may carry out, or have
    /// carried out; `None` if there are none.
    pub(crate) fn misdirected(&self, backend: &BackendId) -> Option<MisdirectedAcks> {
        let earlier = self.0.values();
        let earlier =
            earlier.filter(|ack| ack.backend != *backend && ack.backend.shares_name(backend));
        let acks = earlier.map(|ack| MisdirectedAcks {
            ends_seen: ack.ends_seen,
            void_from_ms: ack.void_from_ms,
        });
        acks.reduce(|all, ack| MisdirectedAcks {
            ends_seen: all.ends_seen.max(ack.ends_seen),
            void_from_ms: all.void_from_ms.max(ack.void_from_ms),
        })
    }

    /// Forgets the acknowledgements that can't be carried out any more.
    pub(crate) fn forget_void(&mut self, now_ms: u64) {
        self.0.retain(|_, ack| now_ms < ack.void_from_ms);
    }
}
