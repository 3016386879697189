//! A cluster whose only voter wins its election without anybody's answer.

use roseridge_quorum::{
    DiskId,
    EntryBody,
    HardState,
    LogEntry,
    LogIndex,
    LogTail,
    MemberChange,
    MemberId,
    Membership,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaRole,
    ReplicaSetup,
    ReplicaTiming,
    StoredReplica,
    TermNumber, //
};

const LEARNER: MemberId = member(2);

const fn member(number: u64) -> MemberId {
    MemberId {
        replica: ReplicaId(number),
        disk: DiskId(number),
    }
}

/// Makes a voter whose disk holds a membership of itself alone.
fn lone_voter() -> ReplicaCore {
    let members = Membership::of_voters([(member(1), "one".to_owned())]);
    let mut log = LogTail::default();
    log.push(LogEntry {
        index: LogIndex(1),
        term: TermNumber(1),
        body: EntryBody::Members(members),
    });
    let setup = ReplicaSetup {
        id: member(1),
        address: "one".to_owned(),
        seeds: [ReplicaId(1)].into(),
        can_bootstrap: true,
        timing: ReplicaTiming::default(),
        random_seed: 1,
    };
    let stored = StoredReplica {
        hard: HardState {
            term: TermNumber(1),
            vote: Some(member(1)),
        },
        snapshot: None,
        log,
        is_void: false,
    };
    ReplicaCore::new(setup, stored, 0)
}

/// Adds the learner and syncs the change.
fn add_learner(core: &mut ReplicaCore) {
    let change = MemberChange::AddLearner {
        id: LEARNER,
        address: "two".to_owned(),
    };
    core.propose_member_change(&change)
        .expect("a learner is added");
    sync(core);
}

fn sync(core: &mut ReplicaCore) {
    while let Some(batch) = core.take_write() {
        core.complete_write(batch.number);
    }
}

fn lead(core: &mut ReplicaCore, from_ms: u64) -> u64 {
    let mut now_ms = from_ms;
    while core.role() != ReplicaRole::Leader {
        now_ms += 10;
        core.tick(now_ms);
    }
    now_ms
}

/// An append of a term that a crash can still undo would let the same replica win the same term
/// again and write another entry at the same place.
#[test]
fn term_is_told_only_once_it_is_durable() {
    let mut core = lone_voter();
    let now_ms = lead(&mut core, 0);
    sync(&mut core);
    add_learner(&mut core);
    core.take_messages();
    // The next term is won again, and nothing of it is on the disk yet.
    assert!(!core.transfer_leadership());
    let until_ms = now_ms + ReplicaTiming::default().election_min_ms * 2;
    core.tick(until_ms);
    let old = core.term();
    lead(&mut core, until_ms);
    assert!(core.term() > old);
    // The question for a promise opens no term.
    let opens_term = |message: &PeerMessage| match message {
        PeerMessage::RequestVote { pre_vote, .. } => !pre_vote,
        message => message.term() > old,
    };
    let told = |messages: Vec<(MemberId, PeerMessage)>| {
        let new = messages.iter().filter(|(_, m)| opens_term(m));
        new.count()
    };
    assert_eq!(told(core.take_messages()), 0);
    sync(&mut core);
    assert!(told(core.take_messages()) > 0);
}
