//! Frames above the maximum size, which must not disturb the other calls on their connection.

use std::time::Duration;

use roseridge_model::ConfigRevision;
use roseridge_quorum::{
    DiskId,
    EntryBody,
    LogEntry,
    LogIndex,
    MemberId,
    PeerMessage,
    ReplicaId,
    TermNumber, //
};
use roseridge_wire::{
    ControlCall,
    ControlReply,
    LinkError,
    MAX_FRAME_BYTES,
    RpcLink,
    block_on, //
};

use crate::fake_control::{
    CLUSTER,
    FakeControl, //
};

const LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns an append with one command of this size.
fn append(bytes: usize) -> PeerMessage {
    PeerMessage::AppendEntries {
        term: TermNumber(1),
        previous_index: LogIndex(0),
        previous_term: TermNumber(0),
        entries: vec![LogEntry {
            index: LogIndex(1),
            term: TermNumber(1),
            body: EntryBody::Command(vec![0; bytes]),
        }],
        commit: LogIndex(0),
        probe: 0,
    }
}

/// A receiver closes the connection on a frame above the maximum, which fails every pending call.
#[test]
fn sender_refuses_an_oversized_frame_and_other_calls_continue() {
    block_on(async {
        let control = FakeControl::start(|_, _| None).await;
        let link = RpcLink::new(control.address, CLUSTER);
        let pending = {
            let link = link.clone();
            compio::runtime::spawn(
                async move { link.control(ControlCall::ReadTemplates, LIMIT).await },
            )
        };
        while control.pending() == 0 {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let from = MemberId {
            replica: ReplicaId(1),
            disk: DiskId(1),
        };
        let half = append(MAX_FRAME_BYTES / 2);
        let oversized = link.deliver(from, vec![half.clone(), half], LIMIT).await;
        let error = oversized.expect_err("the frame is too large");
        assert!(matches!(error, LinkError::Unsendable { .. }), "{error}");
        assert!(error.is_without_effect());
        let reply = ControlReply::Revision(ConfigRevision(7));
        control.answer_pending(&Ok(reply.clone()));
        let result = pending.await.expect("the call does not panic");
        assert_eq!(result.expect("the connection is still open"), reply);
    })
    .expect("an event loop");
}
