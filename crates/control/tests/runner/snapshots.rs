//! The encoding of the ledger in snapshots, with and without extensions.

use roseridge_control::{
    decode_snapshot,
    encode_snapshot, //
};
use roseridge_flow::FlowChange;
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    LedgerState, //
};
use roseridge_model::{
    DomainName,
    UnixMillis, //
};

fn apply(ledger: &mut LedgerState, change: FlowChange) {
    let index = ledger.applied + 1;
    let command = LedgerCommand {
        at: UnixMillis(index * 1_000),
        change: LedgerChange::Flow(change),
    };
    ledger.apply(index, command);
}

fn evacuate(base: u64) -> FlowChange {
    let domain = DomainName::parse("zone-a").expect("a valid name");
    FlowChange::Evacuate { domain, base }
}

/// A ledger without evacuations must keep the bytes that earlier versions wrote and can read.
#[test]
fn snapshot_without_evacuations_is_unchanged() {
    let mut ledger = LedgerState::default();
    apply(&mut ledger, FlowChange::Expire);
    let old = postcard::to_stdvec(&ledger).expect("an encoding");
    assert_eq!(encode_snapshot(&ledger).expect("an encoding"), old);
    assert_eq!(decode_snapshot(&old).expect("an old snapshot"), ledger);
}

/// Guards against an acknowledged evacuation, or the revision of a withdrawn one, that is lost with
/// the compacted log.
#[test]
fn snapshot_keeps_evacuations_and_their_revisions() {
    let mut ledger = LedgerState::default();
    apply(&mut ledger, evacuate(0));
    for _ in 0..2 {
        let snapshot = encode_snapshot(&ledger).expect("an encoding");
        assert_eq!(decode_snapshot(&snapshot).expect("a snapshot"), ledger);
        let domain = DomainName::parse("zone-a").expect("a valid name");
        let base = ledger.flows.evacuations.revision(&domain);
        apply(&mut ledger, FlowChange::Restore { domain, base });
    }
}

/// Guards against a damaged extension that is read as no evacuations.
#[test]
fn snapshot_with_a_truncated_extension_is_refused() {
    let mut ledger = LedgerState::default();
    apply(&mut ledger, evacuate(0));
    let plain_bytes = postcard::to_stdvec(&ledger).expect("an encoding").len();
    let snapshot = encode_snapshot(&ledger).expect("an encoding");
    for length in plain_bytes + 1..snapshot.len() {
        assert!(
            decode_snapshot(&snapshot[..length]).is_err(),
            "{length} bytes"
        );
    }
}
