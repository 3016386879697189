//! A cluster with a single voter, which wins its election without any reply.

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

/// Creates a replica whose stored membership contains only itself.
fn single_voter() -> ReplicaCore {
    let members = Membership::from_voters([(member(1), "one".to_owned())]);
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
        hard_state: HardState {
            term: TermNumber(1),
            vote: Some(member(1)),
        },
        snapshot: None,
        log,
        needs_log_reset: false,
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

/// Ticks until the replica is the leader, and returns the time.
fn run_until_leader(core: &mut ReplicaCore, from_ms: u64) -> u64 {
    let mut now_ms = from_ms;
    while core.role() != ReplicaRole::Leader {
        now_ms += 10;
        core.tick(now_ms);
    }
    now_ms
}

/// Guards against two different entries at the same index and term: if an append is sent before its
/// term is durable, a replica that crashes can win the same term again and append another entry at
/// the same index.
#[test]
fn term_is_revealed_only_after_it_is_durable() {
    let mut core = single_voter();
    let now_ms = run_until_leader(&mut core, 0);
    sync(&mut core);
    add_learner(&mut core);
    core.take_messages();
    // The replica wins the next term, of which nothing is written yet.
    assert!(!core.transfer_leadership());
    let deadline_ms = now_ms + ReplicaTiming::default().election_min_ms * 2;
    core.tick(deadline_ms);
    let old = core.term();
    run_until_leader(&mut core, deadline_ms);
    assert!(core.term() > old);
    // A pre-vote does not start a new term.
    let reveals_term = |message: &PeerMessage| match message {
        PeerMessage::RequestVote { pre_vote, .. } => !pre_vote,
        message => message.term() > old,
    };
    let count_revealing = |messages: Vec<(MemberId, PeerMessage)>| {
        let revealing = messages.iter().filter(|(_, m)| reveals_term(m));
        revealing.count()
    };
    assert_eq!(count_revealing(core.take_messages()), 0);
    sync(&mut core);
    assert!(count_revealing(core.take_messages()) > 0);
}
