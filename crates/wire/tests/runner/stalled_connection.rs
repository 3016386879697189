//! Guards against calls that wait until their deadline on a connection that no longer transfers
//! data, and against pings that close a working connection.

use std::time::Duration;

use roseridge_model::ConfigRevision;
use roseridge_wire::{
    ControlCall,
    ControlReply,
    LinkError,
    RpcLink,
    block_on, //
};

use crate::fake_control::{
    CLUSTER,
    FakeControl,
    StallingProxy, //
};

/// The time limit of a pending call. A stalled connection has to be detected long before it.
const CALL_LIMIT: Duration = Duration::from_secs(600);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[test]
fn pending_call_fails_when_its_connection_stalls() {
    block_on(async {
        let control = FakeControl::start(|number, _| {
            // The first call stays pending; the others receive a reply.
            (number > 1).then_some(Ok(ControlReply::Revision(ConfigRevision(7))))
        })
        .await;
        let proxy = StallingProxy::start(control.address).await;
        let link = RpcLink::new(proxy.address, CLUSTER);
        let pending = {
            let link = link.clone();
            compio::runtime::spawn(async move {
                link.control(ControlCall::ReadTemplates, CALL_LIMIT).await
            })
        };
        while control.pending() == 0 {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        proxy.stall(1);
        let result = pending.await.expect("the call does not panic");
        assert!(
            matches!(result, Err(LinkError::NoReply { .. })),
            "{result:?}"
        );
        let second = link.control(ControlCall::ReadTemplates, CALL_LIMIT).await;
        let revision = ControlReply::Revision(ConfigRevision(7));
        assert_eq!(second.expect("a new connection works"), revision);
    })
    .expect("an event loop");
}

/// Several pings are answered while the call is pending, so that its own deadline ends it.
#[test]
fn pending_call_on_a_working_connection_lasts_until_its_deadline() {
    block_on(async {
        let control = FakeControl::start(|_, _| None).await;
        let link = RpcLink::new(control.address, CLUSTER);
        let limit = 4 * roseridge_wire::PING_INTERVAL;
        let result = link.control(ControlCall::ReadTemplates, limit).await;
        let Err(LinkError::NoReply { source, .. }) = result else {
            panic!("{result:?}");
        };
        assert!(source.to_string().contains("deadline"), "{source}");
    })
    .expect("an event loop");
}

/// Guards against a call that waits until its link gives up a connection which was opened while the peer was
/// down, although a new one works.
#[test]
fn connection_that_stalls_while_it_is_opened_does_not_hold_up_a_call() {
    block_on(async {
        let reply = ControlReply::Revision(ConfigRevision(7));
        let scripted = reply.clone();
        let control = FakeControl::start(move |_, _| Some(Ok(scripted.clone()))).await;
        let proxy = StallingProxy::start(control.address).await;
        proxy.stall(1);
        let link = RpcLink::new(proxy.address, CLUSTER);
        let result = link.control(ControlCall::ReadTemplates, CALL_LIMIT).await;
        assert_eq!(result.expect("the second connection works"), reply);
    })
    .expect("an event loop");
}

/// Guards against one call that takes too long, for example because a large entry isn't committed in
/// time, and fails every other call that is pending on its connection.
#[test]
fn call_without_a_reply_in_time_does_not_fail_the_others() {
    block_on(async {
        let reply = ControlReply::Revision(ConfigRevision(7));
        let scripted = reply.clone();
        let control = FakeControl::start(move |_, call| match call {
            ControlCall::ReadStatus => Some(Ok(scripted.clone())),
            _ => None,
        })
        .await;
        let link = RpcLink::new(control.address, CLUSTER);
        let pending = {
            let link = link.clone();
            compio::runtime::spawn(async move {
                link.control(ControlCall::ReadTemplates, CALL_LIMIT).await
            })
        };
        let slow = {
            let link = link.clone();
            let limit = 20 * POLL_INTERVAL;
            compio::runtime::spawn(
                async move { link.control(ControlCall::ReadPolicy, limit).await },
            )
        };
        while !slow.is_finished() {
            let answered = link.control(ControlCall::ReadStatus, CALL_LIMIT).await;
            answered.expect("the connection works");
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let result = slow.await.expect("the call does not panic");
        assert!(
            matches!(result, Err(LinkError::NoReply { .. })),
            "{result:?}"
        );
        control.answer_pending(&Ok(reply.clone()));
        let result = pending.await.expect("the call does not panic");
        assert_eq!(result.expect("the connection is still open"), reply);
    })
    .expect("an event loop");
}
