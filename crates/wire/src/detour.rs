//! Detours to the leader through processes that still reach it.

use std::{
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

type AttemptResult = Result<ControlReply, LinkError>;

/// The processes that pass calls on, of which one is used at a time.
#[derive(Debug, Default)]
pub(crate) struct RelayPaths {
    links: Vec<RpcLink>,
    turn: usize,
}

impl RelayPaths {
    /// Takes the relays that are there now; links to known ones are kept.
    pub(crate) fn learn(&mut self, addresses: &[SocketAddr], cluster: &str) {
        let known = std::mem::take(&mut self.links);
        let link = |address: &SocketAddr| {
            let found = known.iter().find(|link| link.address() == *address);
            found
                .cloned()
                .unwrap_or_else(|| RpcLink::new(*address, cluster))
        };
        self.links = addresses.iter().map(link).collect();
    }

    /// Returns the relay in use.
    pub(crate) fn next(&self) -> Option<RpcLink> {
        let length = self.links.len();
        (length > 0).then(|| self.links[self.turn % length].clone())
    }

    /// Chooses another relay.
    pub(crate) fn turn(&mut self) {
        self.turn = self.turn.wrapping_add(1);
    }
}

/// What one attempt came to.
#[derive(Debug)]
pub(crate) struct CallAttempt {
    pub(crate) result: AttemptResult,
    pub(crate) by_detour: bool,
    /// Whether the process that passes calls on failed, so that another one is to be used.
    pub(crate) relay_failed: bool,
    /// Whether the call was also sent another way and may still arrive there.
    pub(crate) is_open: bool,
}

impl CallAttempt {
    pub(crate) fn direct(result: AttemptResult) -> Self {
        Self {
            result,
            by_detour: false,
            relay_failed: false,
            is_open: false,
        }
    }
}

/// Sends a call the direct way, and by a detour as well when that way has failed or been silent for a
/// time; the first reply counts.
pub(crate) async fn try_both<D, R>(
    direct: D,
    detour: impl FnOnce() -> R,
    patience: Duration,
) -> CallAttempt
where
    D: Future<Output = AttemptResult>,
    R: Future<Output = AttemptResult>,
{
    let direct = pin!(direct);
    let patient = pin!(compio::time::sleep(patience));
    let pending = match select(direct, patient).await {
        Either::Left((Ok(reply), _)) => return CallAttempt::direct(Ok(reply)),
        // The replica is there and knows better whom to ask.
        Either::Left((Err(error @ LinkError::Answered { .. }), _)) => {
            return CallAttempt::direct(Err(error));
        }
        Either::Left((Err(error), _)) => {
            let was_sent = !error.is_without_effect();
            let result = detour().await;
            return CallAttempt {
                by_detour: true,
                relay_failed: result.is_err(),
                is_open: was_sent,
                result: result.map_err(|other| graver(error, other)),
            };
        }
        Either::Right(((), direct)) => direct,
    };
    let detour = pin!(detour());
    match select(pending, detour).await {
        Either::Left((Ok(reply), _)) => CallAttempt {
            result: Ok(reply),
            by_detour: false,
            relay_failed: false,
            is_open: true,
        },
        Either::Right((Ok(reply), _)) => CallAttempt {
            result: Ok(reply),
            by_detour: true,
            relay_failed: false,
            is_open: true,
        },
        Either::Left((Err(error), detour)) => {
            let result = detour.await;
            CallAttempt {
                by_detour: true,
                relay_failed: result.is_err(),
                is_open: !error.is_without_effect(),
                result: result.map_err(|other| graver(error, other)),
            }
        }
        Either::Right((Err(error), direct)) => CallAttempt {
            by_detour: false,
            relay_failed: true,
            is_open: !error.is_without_effect(),
            result: direct.await.map_err(|other| graver(other, error)),
        },
    }
}

/// Returns the error after which the call may have taken effect, or the first one.
fn graver(first: LinkError, second: LinkError) -> LinkError {
    match first.is_without_effect() && !second.is_without_effect() {
        true => second,
        false => first,
    }
}
