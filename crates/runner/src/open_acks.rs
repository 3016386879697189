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

/// The acknowledgements that may not have been carried out by their incarnation.
#[derive(Debug, Default)]
pub(crate) struct OpenAcks {
    /// Those that this agent has sent, by the number of their call.
    acks: BTreeMap<u64, OpenAck>,
    /// The incarnation to which an agent before this one may have sent some, and the agent's time from which they
    /// can't be carried out any more, in milliseconds.
    unknown: Option<(BackendId, u64)>,
}

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
        self.acks.insert(call, ack);
    }

    /// Records the first incarnation that this agent knows. An agent before it may have sent it acknowledgements.
    pub(crate) fn record_first(&mut self, backend: &BackendId, now_ms: u64) {
        self.unknown = Some((backend.clone(), now_ms.saturating_add(LATE_CALL_MS)));
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
            RunAnswer::Done { .. } => {
                let is_open = |to: &BackendId, void_from_ms| to != backend || now_ms < void_from_ms;
                self.acks
                    .retain(|k, ack| *k != call && is_open(&ack.backend, ack.void_from_ms));
                self.unknown.take_if(|(to, void_ms)| !is_open(to, *void_ms));
            }
            RunAnswer::Refused(_) | RunAnswer::OtherServer => {
                self.acks.remove(&call);
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
        let mut own = self.acks.iter().filter(|(_, ack)| ack.backend == *backend);
        let (call, ack) = own.clone().max_by_key(|(_, ack)| ack.ends_seen)?;
        let (call, ends_seen) = (*call, ack.ends_seen);
        let is_sole = !own.any(|(other, ack)| *other != call && ack.ends_seen >= ends_seen);
        if call >= list || !is_sole || !is_deleted(ends_seen) {
            return None;
        }
        self.acks.remove(&call);
        Some(ends_seen)
    }

    /// Returns whether an incarnation may carry out, or have carried out, acknowledgements for an earlier one with its
    /// name.
    pub(crate) fn may_reach(&self, backend: &BackendId) -> bool {
        let own = self.acks.values().map(|ack| &ack.backend);
        let unknown = self.unknown.iter().map(|(earlier, _)| earlier);
        let mut recipients = own.chain(unknown);
        recipients.any(|earlier| earlier != backend && earlier.shares_name(backend))
    }

    /// Forgets the acknowledgements that can't be carried out any more.
    pub(crate) fn forget_void(&mut self, now_ms: u64) {
        self.acks.retain(|_, ack| now_ms < ack.void_from_ms);
        self.unknown.take_if(|(_, void_ms)| now_ms >= *void_ms);
    }
}
