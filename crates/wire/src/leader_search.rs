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
    FlowCall,
    LinkError, //
    fallback::RouteState,
};

/// The interval at which further replicas are asked at first. It grows by a quarter each time.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// The largest such interval.
const MAX_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum number of replicas that owe a reply at the same time.
const MAX_OPEN_CALLS: usize = 4;

/// A search for the replica that leads in place of one that does not reply.
///
/// It asks the replicas for the members of the group, which has no effect.
#[derive(Debug)]
pub(crate) struct LeaderSearch<'a> {
    pub(crate) client: &'a ControlClient,
    /// The index of the replica that does not reply.
    pub(crate) silent: usize,
    /// The state of the call to it. While that is pending, the replica is not asked.
    pub(crate) routes: &'a RouteState,
    /// The index of the replica with which the search begins.
    pub(crate) first: usize,
    pub(crate) deadline: Instant,
}

impl LeaderSearch<'_> {
    /// Asks one replica after the other, without waiting for their replies, until one answers as the
    /// leader. Returns its index, or `None` if none was found by the deadline.
    ///
    /// A replica that does not lead names the leader once it knows of a new one. Until then all are
    /// asked again and again.
    pub(crate) async fn run(&self) -> Option<usize> {
        let mut open_calls = FuturesUnordered::new();
        // The replicas that owe a reply.
        let mut asked = Vec::new();
        let mut owes_call = self.routes.is_direct_pending.get();
        asked.extend(owes_call.then_some(self.silent));
        let mut first = self.first;
        let mut interval = MIN_INTERVAL;
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                return None;
            }
            if now >= due {
                due = now + interval;
                interval = (interval + interval / 4).min(MAX_INTERVAL);
                let next = self.client.next_to_search(first, &asked);
                if let Some(replica) = next.filter(|_| open_calls.len() < MAX_OPEN_CALLS) {
                    first = replica + 1;
                    asked.push(replica);
                    open_calls.push(self.ask(replica));
                }
            }
            let wait = due.min(self.deadline).saturating_duration_since(now);
            let (replica, result) = select_biased! {
                answer = open_calls.select_next_some() => answer,
                () = compio::time::sleep(wait).fuse() => continue,
            };
            asked.retain(|other| *other != replica);
            if owes_call && !self.routes.is_direct_pending.get() {
                // The silent replica may lead again, for instance after a restart.
                owes_call = false;
                asked.retain(|other| *other != self.silent);
            }
            let error = match result {
                Ok(_) => return Some(replica),
                Err(error) if is_from_leader(&error) => return Some(replica),
                Err(error) => error,
            };
            self.client.record_reply_failure(replica, &error);
            let named = self.client.named_leader(&error);
            if let Some(leader) = named.filter(|leader| !asked.contains(leader)) {
                asked.push(leader);
                open_calls.push(self.ask(leader));
            }
        }
    }

    async fn ask(&self, replica: usize) -> (usize, Result<ControlReply, LinkError>) {
        let limit = self.deadline.saturating_duration_since(Instant::now());
        let link = self.client.link(replica);
        let question = ControlCall::Flow(Box::new(FlowCall::ReadGroup { relay: None }));
        (replica, link.control(question, limit).await)
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
