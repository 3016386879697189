//! Guards against a relay session whose agents differ from those of the relay, which sends them as
//! a whole set and then as changes to it.

use roseridge_control::RelaySession;
use roseridge_model::{
    ConfigRevision,
    IncarnationId,
    WorkerName, //
};
use roseridge_wire::{
    AttachedAgent,
    AttachedChange, //
};

fn agent(slot: u32, known_orders: u64) -> AttachedAgent {
    AttachedAgent {
        slot,
        worker: WorkerName::parse(&format!("worker-{slot}")).expect("a name"),
        incarnation: IncarnationId(1),
        known_orders,
        known_revision: ConfigRevision(1),
    }
}

fn change(number: u64, whole: bool, attached: Vec<AttachedAgent>) -> AttachedChange {
    AttachedChange {
        number,
        whole,
        attached,
        detached: Vec::new(),
    }
}

fn slots(session: &RelaySession) -> Vec<u32> {
    session.agents().map(|agent| agent.slot).collect()
}

#[test]
fn changes_are_applied_to_the_whole_set() {
    let mut session = RelaySession::default();
    assert!(session.apply(&change(1, true, vec![agent(1, 0), agent(2, 0)])));
    assert!(session.apply(&change(2, false, vec![agent(2, 7), agent(3, 0)])));
    assert!(session.apply(&AttachedChange {
        detached: vec![1],
        ..change(3, false, Vec::new())
    }));
    assert_eq!(slots(&session), [2, 3]);
    assert_eq!(session.agent(2).map(|a| a.known_orders), Some(7));
}

#[test]
fn a_repeated_change_has_no_effect() {
    let mut session = RelaySession::default();
    let first = change(1, true, vec![agent(1, 0)]);
    assert!(session.apply(&first) && session.apply(&first));
    assert_eq!(slots(&session), [1]);
}

/// A session that accepted a change after a gap could keep agents that have detached.
#[test]
fn a_gap_or_a_new_leader_requires_the_whole_set() {
    let mut session = RelaySession::default();
    assert!(!session.apply(&change(5, false, vec![agent(1, 0)])));
    assert!(session.apply(&change(6, true, vec![agent(1, 0)])));
    assert!(!session.apply(&change(8, false, vec![agent(2, 0)])));
    assert!(session.apply(&change(9, true, vec![agent(2, 0)])));
    assert_eq!(slots(&session), [2]);
}
