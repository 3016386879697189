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
#[derive(Debug)]
struct OpenAck {
    backend: BackendId,
    ends_seen: u64,
    /// The agent's time at which it was sent, in milliseconds.
    sent_ms: u64,
}

/// The acknowledgements that may still be carried out, by the number of their call.
#[derive(Debug, Default)]
pub(crate) struct OpenAcks(BTreeMap<u64, OpenAck>);

impl OpenAcks {
    /// Records that an acknowledgement is sent, and forgets those that can't be carried out any more.
    pub(crate) fn record(
        &mut self,
        call: u64,
        (backend, ends_seen): (&BackendId, u64),
        now_ms: u64,
    ) {
        self.0
            .retain(|_, ack| now_ms < ack.sent_ms.saturating_add(LATE_CALL_MS));
        let ack = OpenAck {
            backend: backend.clone(),
            ends_seen,
            sent_ms: now_ms,
        };
        self.0.insert(call, ack);
    }

    /// Applies the answer to a call. One that the expected incarnation has answered was not carried out by
    /// another one, and neither was one that was refused.
    pub(crate) fn apply_answer(&mut self, call: u64, answer: &RunAnswer) {
        match answer {
            RunAnswer::Done { .. } | RunAnswer::Refused(_) | RunAnswer::OtherServer => {
                self.0.remove(&call);
            }
            RunAnswer::OtherLife | RunAnswer::NoAnswer => {}
        }
    }

    /// Returns the number up to which completions of a new incarnation may be deleted before they are
    /// listed; 0 if there is none.
    pub(crate) fn hidden_until(&self, backend: &BackendId, now_ms: u64) -> u64 {
        let open = self.0.values().filter(|ack| {
            ack.backend != *backend
                && ack.backend.shares_name(backend)
                && now_ms < ack.sent_ms.saturating_add(LATE_CALL_MS)
        });
        open.map(|ack| ack.ends_seen).max().unwrap_or(0)
    }
}
