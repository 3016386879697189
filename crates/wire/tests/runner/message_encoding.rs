//! The encoding of peer messages, which replicas of other versions decode.

use roseridge_quorum::{
    EntryBody,
    LogIndex,
    Membership,
    PeerMessage,
    SnapshotMeta,
    TermNumber, //
};

#[test]
fn commands_and_chunks_are_encoded_as_sequences_of_bytes() {
    let command = EntryBody::Command(vec![1, 200, 3]);
    let encoded = postcard::to_allocvec(&command).expect("it can be encoded");
    assert_eq!(encoded, [1, 3, 1, 200, 3]);
    let decoded: EntryBody = postcard::from_bytes(&encoded).expect("it can be decoded");
    assert_eq!(decoded, command);
    let chunk = PeerMessage::SnapshotChunk {
        term: TermNumber(1),
        meta: SnapshotMeta {
            index: LogIndex(2),
            term: TermNumber(1),
            members: Membership::default(),
        },
        total: 9,
        offset: 4,
        data: vec![7, 8],
        probe: 5,
    };
    let encoded = postcard::to_allocvec(&chunk).expect("it can be encoded");
    assert_eq!(encoded, [4, 1, 2, 1, 0, 9, 4, 2, 7, 8, 5]);
    let decoded: PeerMessage = postcard::from_bytes(&encoded).expect("it can be decoded");
    assert_eq!(decoded, chunk);
}
