//! The asynchronous task that watches the backend server's list of tasks.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use async_channel::Sender;
use log::warn;
use roseridge_events as events;

use crate::{
    agent_event::AgentEvent,
    backend_client::BackendClient, //
};

/// The maximum time that the backend server may wait for a change before it answers a list request.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// The pause after a list request that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// The maximum time for which the backend server may run tasks without contact with the agent.
///
/// The tasks survive a restart of the agent that takes less time than this.
pub(crate) const MAX_BACKEND_LEASE: Duration = Duration::from_secs(6);

/// The end of the agent's lease, written by the agent's task and read by the list requests.
pub(crate) type LeaseEnd = Rc<Cell<Option<Instant>>>;

/// Sends every new list to the agent until the agent closes the channel.
pub(crate) async fn watch_backend(
    client: BackendClient,
    lease_end: LeaseEnd,
    events_out: Sender<AgentEvent>,
) {
    let mut after = 0;
    while !events_out.is_closed() {
        let event = match client
            .list(after, LIST_WAIT, backend_lease(&lease_end))
            .await
        {
            Ok(list) => {
                after = list.sequence;
                AgentEvent::Listed(client.address(), list)
            }
            Err(error) => {
                warn!("{}", events::BACKEND_FAILED.line(&error));
                // A restarted backend server numbers its lists from the start again.
                after = 0;
                compio::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        if events_out.send(event).await.is_err() {
            return;
        }
    }
}

/// Returns how long the backend server may run tasks without contact, at most the rest of the agent's
/// own lease.
fn backend_lease(lease_end: &LeaseEnd) -> Option<Duration> {
    let remaining = lease_end.get()?.checked_duration_since(Instant::now())?;
    Some(remaining.min(MAX_BACKEND_LEASE))
}
