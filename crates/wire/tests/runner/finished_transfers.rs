//! Connections that stall after large frames were transferred.

use std::time::Duration;

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
    PING_INTERVAL,
    PING_TIMEOUT,
    RpcLink,
    block_on, //
};

use crate::fake_control::{
    CLUSTER,
    FakeControl,
    StallingProxy, //
};

const CALL_LIMIT: Duration = Duration::from_secs(600);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The size of a message; the time that its transfer may take is below two seconds.
const MESSAGE_BYTES: usize = 524_288;
const MESSAGES: usize = 40;

/// Guards against a stalled connection that isn't detected, because the time that earlier transfers
/// might have taken is still allowed for after their replies.
#[test]
fn finished_transfers_do_not_delay_the_detection_of_a_stalled_connection() {
    block_on(async {
        let control = FakeControl::start(|_, _| None).await;
        let proxy = StallingProxy::start(control.address).await;
        let link = RpcLink::new(proxy.address, CLUSTER);
        let from = MemberId {
            replica: ReplicaId(1),
            disk: DiskId(1),
        };
        for _ in 0..MESSAGES {
            let append = PeerMessage::AppendEntries {
                term: TermNumber(1),
                previous_index: LogIndex(0),
                previous_term: TermNumber(0),
                entries: vec![LogEntry {
                    index: LogIndex(1),
                    term: TermNumber(1),
                    body: EntryBody::Command(vec![0; MESSAGE_BYTES]),
                }],
                commit: LogIndex(0),
                probe: 0,
            };
            let delivered = link.deliver(from, vec![append], CALL_LIMIT).await;
            delivered.expect("the message is delivered");
        }
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
        let limit = 3 * (PING_INTERVAL + PING_TIMEOUT);
        let result = compio::time::timeout(limit, pending).await;
        assert!(result.is_ok(), "the call still waits");
    })
    .expect("an event loop");
}
