//! The exchange of reports for orders with a relay.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use async_channel::Sender;
use rand::RngExt;
use roseridge_wire::{
    AgentReport,
    RpcLink, //
};

use crate::agent_event::{
    AgentEvent,
    ExchangeResult, //
};

/// The maximum duration of an exchange; a relay waits up to one second before it replies.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The range of the random pause after an exchange that failed, in milliseconds.
const FAILURE_PAUSE_MS: std::ops::RangeInclusive<u64> = 50..=250;

/// The links to the relays of an agent, of which it uses one at a time.
#[derive(Debug)]
pub(crate) struct RelaySession {
    links: Vec<RpcLink>,
    /// The number of relay switches; modulo the number of links, the index of the current link.
    current: usize,
}

impl RelaySession {
    pub(crate) fn new(relays: &[SocketAddr], cluster: &str) -> Self {
        Self {
            links: relays.iter().map(|a| RpcLink::new(*a, cluster)).collect(),
            current: 0,
        }
    }

    /// Sends a report to the current relay; the result arrives as [`AgentEvent::Exchanged`].
    pub(crate) fn send(&self, report: AgentReport, events_out: Sender<AgentEvent>) {
        let relay = self.current;
        let link = self.links[relay % self.links.len()].clone();
        let sent_at = Instant::now();
        compio::runtime::spawn(async move {
            let sequence = report.sequence;
            let result = link.exchange(report, EXCHANGE_TIMEOUT).await;
            if result.is_err() {
                let pause_ms = rand::rng().random_range(FAILURE_PAUSE_MS);
                compio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            let outcome = ExchangeResult {
                relay,
                sequence,
                sent_at,
                result,
            };
            // Sending fails only after the agent has stopped.
            let _ = events_out.send(AgentEvent::Exchanged(outcome)).await;
        })
        .detach();
    }

    /// Switches to the next relay, unless the one that failed is no longer the current one.
    pub(crate) fn switch_relay(&mut self, failed_relay: usize) {
        self.current += usize::from(self.current == failed_relay);
    }
}
