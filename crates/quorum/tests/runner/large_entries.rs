//! Limits in bytes that hold with large entries.

use roseridge_quorum::{
    DiskId,
    EntryBody,
    HardState,
    LogEntry,
    LogIndex,
    LogTail,
    MemberId,
    Membership,
    ProposeError,
    ReplicaCore,
    ReplicaId,
    ReplicaRole,
    ReplicaSetup,
    ReplicaTiming,
    StoredReplica,
    TermNumber, //
};

use crate::fake_cluster::FakeCluster;

/// The size of a large command, in bytes.
const COMMAND_BYTES: usize = 262_144;
/// The maximum size of the entries that are handed to the host at once, in bytes.
const MAX_HELD_BYTES: usize = 2 * 1_048_576;
/// The maximum size of the entries that a leader accepts without writing them, in bytes.
const MAX_BACKLOG_BYTES: usize = 8 * 1_048_576;

/// Creates the only voter of a cluster, with a long log.
fn voter_with_long_log(commands: u64) -> ReplicaCore {
    let id = MemberId {
        replica: ReplicaId(1),
        disk: DiskId(1),
    };
    let members = Membership::from_voters([(id, "one".to_owned())]);
    let command = || EntryBody::Command(vec![7; COMMAND_BYTES]);
    let bodies = (0..commands).map(|_| command());
    let mut log = LogTail::default();
    for body in [EntryBody::Members(members)].into_iter().chain(bodies) {
        log.push(LogEntry {
            index: log.last_index().next(),
            term: TermNumber(1),
            body,
        });
    }
    let setup = ReplicaSetup {
        id,
        address: "one".to_owned(),
        seeds: [ReplicaId(1)].into(),
        can_bootstrap: true,
        timing: ReplicaTiming::default(),
        random_seed: 1,
    };
    let stored = StoredReplica {
        hard_state: HardState {
            term: TermNumber(1),
            vote: Some(id),
        },
        snapshot: None,
        log,
        needs_log_reset: false,
    };
    ReplicaCore::new(setup, stored, 0)
}

/// Guards against a replica that runs out of memory when it starts: it held a second copy of the
/// whole log while it applied the entries.
#[test]
fn restart_after_a_long_log_needs_bounded_memory() {
    let commands = 100;
    let mut core = voter_with_long_log(commands);
    let mut now_ms = 0;
    while core.role() != ReplicaRole::Leader {
        now_ms += 10;
        core.tick(now_ms);
    }
    while let Some(batch) = core.take_write() {
        core.complete_write(batch.number);
    }
    let mut applied = LogIndex(0);
    loop {
        let entries = core.take_committed();
        let Some(last) = entries.last() else {
            break;
        };
        let bytes: usize = entries.iter().map(LogEntry::size).sum();
        assert!(
            bytes <= MAX_HELD_BYTES,
            "{bytes} bytes are handed out at once"
        );
        applied = last.index;
    }
    assert_eq!(applied, core.last_index(), "every entry is applied");
    assert!(applied.0 > commands);
}

/// Guards against a leader that runs out of memory while its disk stalls: the followers commit
/// what it can't write itself, so the number of uncommitted bytes never limits its log.
#[test]
fn leader_with_a_stalled_disk_bounds_its_backlog() {
    let mut cluster = FakeCluster::bootstrapped(3);
    cluster.commit(&[0, 1, 2]);
    let leader = cluster.serving_node().expect("a leader serves");
    let mut accepted_bytes = 0;
    let refusal = loop {
        match cluster.core_mut(leader).propose(vec![7; COMMAND_BYTES]) {
            Ok(_) => accepted_bytes += COMMAND_BYTES,
            Err(error) => break error,
        }
        assert!(
            accepted_bytes <= MAX_BACKLOG_BYTES + COMMAND_BYTES,
            "{accepted_bytes} bytes are accepted and not written"
        );
        // Only the followers' disks work.
        for _ in 0..3 {
            cluster.exchange_messages();
            for node in (0..3).filter(|node| *node != leader) {
                cluster.sync(node);
            }
        }
    };
    assert_eq!(refusal, ProposeError::Backlog);
    // Once the disk works again, the leader accepts commands again.
    let last = cluster.core(leader).last_index().0;
    let is_applied = |c: &FakeCluster| c.nodes.iter().all(|node| node.state.index >= last);
    assert!(
        cluster.run_until(is_applied),
        "the accepted commands are applied"
    );
    cluster.commit(&[0, 1, 2]);
}
