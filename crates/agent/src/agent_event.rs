//! The events that the agent's task receives from the tasks that own its sockets.

use std::{
    net::SocketAddr,
    time::Instant, //
};

use roseridge_model::{
    AnswerBody,
    backend_api::{
        BackendAnnouncement,
        BackendList, //
    },
};
use roseridge_wire::{
    AgentOrders,
    LinkError, //
};

use crate::{
    TaskAction,
    backend_client::BackendError, //
};

/// An event that the agent's task handles.
#[derive(Debug)]
pub(crate) enum AgentEvent {
    /// The backend server announced itself.
    Announced(BackendAnnouncement),
    /// The backend server at an address sent a new list.
    Listed(SocketAddr, BackendList),
    /// An exchange with a relay ended.
    Exchanged(ExchangeResult),
    /// An action at the backend server with an address ended; only a fetch returns an answer.
    ActionDone(
        SocketAddr,
        TaskAction,
        Result<Option<AnswerBody>, BackendError>,
    ),
}

/// The result of sending one report.
#[derive(Debug)]
pub(crate) struct ExchangeResult {
    /// The number of relay switches before the report was sent, which identifies the relay.
    pub(crate) relay: usize,
    pub(crate) sequence: u64,
    pub(crate) sent_at: Instant,
    pub(crate) result: Result<AgentOrders, LinkError>,
}
