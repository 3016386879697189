//! The search for the leader while the replica that led does not reply.

use std::time::{
    Duration,
    Instant, //
};

use futures::{
    FutureExt,
    StreamExt,
    select_biased,
    stream::FuturesUnordered, //
};

use crate::{
    CallError,
    ControlCall,
    ControlClient,
    ControlReply,
    LinkError, //
};

/// The interval at which further replicas are called at first. It grows by a quarter each time.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// The largest such interval.
const MAX_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum number of replicas that are called at the same time.
const MAX_OPEN_CALLS: usize = 4;

/// A search for the replica that leads in place of one that does not reply.
#[derive(Debug)]
pub(crate) struct LeaderSearch<'a> {
    pub(crate) client: &'a ControlClient,
    /// The index of a replica that has the call already and does not reply, if there is one.
    pub(crate) silent: Option<usize>,
    /// The index of the replica with which the search begins.
    pub(crate) first: usize,
    pub(crate) call: &'a ControlCall,
    pub(crate) deadline: Instant,
}

impl LeaderSearch<'_> {
    /// Sends the call to one replica after the other, without waiting for their replies, until one
    /// answers as the leader. Returns its index and its answer.
    ///
    /// A replica that does not lead names the leader once it knows of a new one. Until then all are
    /// called again and again.
    ///
    /// # Errors
    ///
    /// Returns the error of the leader. If none was found by the deadline, returns
    /// [`CallError::OutcomeUnknown`] if a replica may have carried out the call, else
    /// [`CallError::NotServing`].
    pub(crate) async fn run(&self) -> Result<(usize, ControlReply), LinkError> {
        let mut open_calls = FuturesUnordered::new();
        // The replicas with an open call.
        let mut called: Vec<_> = self.silent.into_iter().collect();
        let mut first = self.first;
        let mut may_have_taken_effect = false;
        let mut interval = MIN_INTERVAL;
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                let error = match may_have_taken_effect || !open_calls.is_empty() {
                    true => CallError::OutcomeUnknown,
                    false => CallError::NotServing,
                };
                return Err(error.into());
            }
            if now >= due {
                due = now + interval;
                interval = (interval + interval / 4).min(MAX_INTERVAL);
                let next = self.client.next_to_search(first, &called);
                if let Some(replica) = next.filter(|_| open_calls.len() < MAX_OPEN_CALLS) {
                    first = replica + 1;
                    called.push(replica);
                    open_calls.push(self.call_replica(replica));
                }
            }
            let wait = due.min(self.deadline).saturating_duration_since(now);
            let (replica, result) = select_biased! {
                answer = open_calls.select_next_some() => answer,
                () = compio::time::sleep(wait).fuse() => continue,
            };
            called.retain(|other| *other != replica);
            let error = match result {
                Ok(reply) => return Ok((replica, reply)),
                Err(error) if is_from_leader(&error) => return Err(error),
                Err(error) => error,
            };
            may_have_taken_effect |= !error.is_without_effect();
            self.client.record_reply_failure(replica, &error);
            let named = self.client.named_leader(&error);
            if let Some(leader) = named.filter(|leader| !called.contains(leader)) {
                called.push(leader);
                open_calls.push(self.call_replica(leader));
            }
        }
    }

    async fn call_replica(&self, replica: usize) -> (usize, Result<ControlReply, LinkError>) {
        let limit = self.deadline.saturating_duration_since(Instant::now());
        let link = self.client.link(replica);
        (replica, link.control(self.call.clone(), limit).await)
    }
}

/// Returns whether an error is the answer of a replica that leads.
fn is_from_leader(error: &LinkError) -> bool {
    match error {
        LinkError::Answered { source } => {
            !matches!(source, CallError::NotLeader { .. } | CallError::NotServing)
        }
        _ => false,
    }
}
