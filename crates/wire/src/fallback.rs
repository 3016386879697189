//! Calls that are also sent by another route when the direct one does not reply.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    time::Duration, //
};

use futures::future::{
    Either,
    select, //
};

use crate::{
    ControlReply,
    LinkError,
    RpcLink, //
};

/// The reply to one attempt, or the reason why there is none.
type AttemptResult = Result<ControlReply, LinkError>;

/// The links to processes that forward calls to the leader; one is used at a time.
#[derive(Debug, Default)]
pub(crate) struct RelayLinks {
    links: Vec<RpcLink>,
    current_index: usize,
}

impl RelayLinks {
    /// Replaces the relays and keeps the links to those that were known already.
    pub(crate) fn set(&mut self, addresses: &[SocketAddr], cluster: &str) {
        let known = std::mem::take(&mut self.links);
        let link = |address: &SocketAddr| {
            let known_link = known.iter().find(|link| link.address() == *address);
            known_link
                .cloned()
                .unwrap_or_else(|| RpcLink::new(*address, cluster))
        };
        self.links = addresses.iter().map(link).collect();
    }

    /// Returns the link to the relay in use, if there is any relay.
    pub(crate) fn current(&self) -> Option<RpcLink> {
        let length = self.links.len();
        (length > 0).then(|| self.links[self.current_index % length].clone())
    }

    /// Selects the next relay.
    pub(crate) fn select_next(&mut self) {
        self.current_index = self.current_index.wrapping_add(1);
    }
}

/// The result of a call by the fallback route.
#[derive(Debug)]
pub(crate) struct FallbackResult {
    pub(crate) result: AttemptResult,
    /// Whether a relay failed, so that the next attempt has to use another one.
    pub(crate) relay_failed: bool,
}

impl FallbackResult {
    /// Creates the result of a call that was answered.
    pub(crate) fn answered(reply: ControlReply) -> Self {
        Self {
            result: Ok(reply),
            relay_failed: false,
        }
    }
}

/// The result of one attempt of a call.
#[derive(Debug)]
pub(crate) struct CallAttempt {
    pub(crate) result: AttemptResult,
    /// Whether the result came by the fallback route.
    pub(crate) used_fallback: bool,
    /// Whether the relay failed, so that the next attempt has to use another one.
    pub(crate) relay_failed: bool,
    /// Whether a copy of the call that was sent by another route may still arrive.
    pub(crate) may_still_arrive: bool,
}

impl CallAttempt {
    /// Creates the result of an attempt that used the direct route only.
    pub(crate) fn direct(result: AttemptResult) -> Self {
        Self {
            result,
            used_fallback: false,
            relay_failed: false,
            may_still_arrive: false,
        }
    }
}

/// What the two routes of one attempt tell each other.
#[derive(Debug)]
pub(crate) struct RouteState {
    /// Whether the direct call has no result yet.
    pub(crate) is_direct_pending: Cell<bool>,
    /// The number of copies that were sent by the fallback route and may still arrive.
    open_copies: Cell<u32>,
}

impl RouteState {
    /// Creates the state of an attempt whose direct call is about to be sent.
    pub(crate) fn new() -> Self {
        Self {
            is_direct_pending: Cell::new(true),
            open_copies: Cell::new(0),
        }
    }

    /// Records that a copy of the call is about to be sent by the fallback route.
    pub(crate) fn open_copy(&self) {
        self.open_copies.update(|open| open + 1);
    }

    /// Applies the result of a copy. It may still arrive if it was sent and has no answer.
    pub(crate) fn settle_copy(&self, result: &AttemptResult) {
        let result = result.as_ref();
        if result.map_or_else(LinkError::is_without_effect, |_| true) {
            self.open_copies.update(|open| open - 1);
        }
    }

    fn has_open_copies(&self) -> bool {
        self.open_copies.get() > 0
    }
}

/// Sends a call by the direct route, and also by the fallback route if the direct one fails or
/// gives no reply within the delay. The first reply is used.
pub(crate) async fn call_with_fallback<D, R>(
    direct: D,
    fallback: impl FnOnce() -> R,
    routes: &RouteState,
    delay: Duration,
) -> CallAttempt
where
    D: Future<Output = AttemptResult>,
    R: Future<Output = FallbackResult>,
{
    let direct = pin!(async {
        let result = direct.await;
        routes.is_direct_pending.set(false);
        result
    });
    let timer = pin!(compio::time::sleep(delay));
    let pending_direct = match select(direct, timer).await {
        Either::Left((Ok(reply), _)) => return CallAttempt::direct(Ok(reply)),
        // The replica is reachable, and its error names the leader if it knows it.
        Either::Left((Err(error @ LinkError::Answered { .. }), _)) => {
            return CallAttempt::direct(Err(error));
        }
        Either::Left((Err(error), _)) => {
            let was_sent = !error.is_without_effect();
            let other = fallback().await;
            return CallAttempt {
                used_fallback: true,
                relay_failed: other.relay_failed,
                may_still_arrive: was_sent || routes.has_open_copies(),
                result: other.result.map_err(|other| most_severe(error, other)),
            };
        }
        Either::Right(((), pending)) => pending,
    };
    let fallback = pin!(fallback());
    match select(pending_direct, fallback).await {
        Either::Left((Ok(reply), _)) => CallAttempt {
            result: Ok(reply),
            used_fallback: false,
            relay_failed: false,
            may_still_arrive: routes.has_open_copies(),
        },
        Either::Left((Err(error), fallback)) => {
            let other = fallback.await;
            CallAttempt {
                used_fallback: true,
                relay_failed: other.relay_failed,
                may_still_arrive: !error.is_without_effect() || routes.has_open_copies(),
                result: other.result.map_err(|other| most_severe(error, other)),
            }
        }
        Either::Right((other, pending)) => match other.result {
            Ok(reply) => CallAttempt {
                result: Ok(reply),
                used_fallback: true,
                relay_failed: other.relay_failed,
                may_still_arrive: true,
            },
            Err(error) => CallAttempt {
                used_fallback: false,
                relay_failed: other.relay_failed,
                may_still_arrive: !error.is_without_effect() || routes.has_open_copies(),
                result: pending.await.map_err(|other| most_severe(other, error)),
            },
        },
    }
}

/// Returns the error after which the call may have taken effect, or the first one if both or
/// neither allow that.
pub(crate) fn most_severe(first: LinkError, second: LinkError) -> LinkError {
    match first.is_without_effect() && !second.is_without_effect() {
        true => second,
        false => first,
    }
}
