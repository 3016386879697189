//! The encoding of the ledger in snapshots, with and without extensions.

use roseridge_control::{
    decode_snapshot,
    encode_snapshot, //
};
use roseridge_flow::{
    BackendProfile,
    CrashSuspect,
    FlowChange,
    PlacementOrder, //
};
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    LedgerState, //
};
use roseridge_model::{
    BackendId,
    DomainName,
    DurationMs,
    FlowId,
    FlowSpec,
    InstanceName,
    QueueKey,
    QueueRule,
    RunKey,
    ServiceName,
    ServiceRule,
    SiteConfig,
    StepSpec,
    TaskKey,
    TaskShape,
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

/// Returns the changes by which a task becomes the suspect of a crash.
fn crash_history() -> Vec<FlowChange> {
    let service = ServiceName::parse("service").expect("a valid name");
    let backend = BackendId::parse("backend").expect("a valid name");
    let queue = QueueKey {
        host: "host.example".to_owned(),
        prefix: "/queue/".to_owned(),
    };
    let task = TaskKey {
        flow: FlowId(1),
        round: 0,
        step: 0,
        index: 0,
    };
    let config = SiteConfig {
        version: 1,
        text: String::new(),
        queues: vec![QueueRule {
            key: queue.clone(),
            service: service.clone(),
            rank: 1,
            attempt_limit: 2,
            stretch_percent: 300,
            latency_target: DurationMs(1_000),
            answer_limit: DurationMs(3_000),
            open: true,
        }],
        services: vec![ServiceRule {
            name: service.clone(),
            enforces_capacity: false,
        }],
        customers: Vec::new(),
    };
    let profile = BackendProfile {
        instance: InstanceName::parse("instance").expect("a valid name"),
        service,
        domain: DomainName::parse("zone-a").expect("a valid name"),
        rack: None,
        labels: Vec::new(),
        shape: TaskShape::default(),
    };
    let spec = FlowSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..FlowSpec::default()
    };
    vec![
        FlowChange::Configure(config),
        FlowChange::Announce {
            backend: backend.clone(),
            profile,
        },
        FlowChange::Submit {
            flow: task.flow,
            customer: None,
            queue,
            spec,
        },
        FlowChange::Decide {
            stops: Vec::new(),
            places: vec![PlacementOrder {
                tasks: vec![(task, backend.clone())],
            }],
        },
        FlowChange::RecordCrash {
            backend,
            suspects: vec![CrashSuspect {
                run: RunKey { task, run: 1 },
                at_start: true,
            }],
            crash_limit: 2,
        },
    ]
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

/// Guards against a backend server whose earlier calls count again, or whose completions are trusted, after the log was
/// compacted.
#[test]
fn snapshot_keeps_the_fences_and_doubts_of_incarnations() {
    let mut ledger = LedgerState::default();
    let changes = crash_history().into_iter();
    for change in changes.map(|change| match change {
        FlowChange::Announce { backend, profile } => FlowChange::AnnounceRestarted {
            backend,
            profile,
            hidden_ends: 7,
        },
        other => other,
    }) {
        apply(&mut ledger, change);
    }
    assert!(!ledger.flows.fences.is_untouched() && !ledger.flows.doubts.is_empty());
    let snapshot = encode_snapshot(&ledger).expect("an encoding");
    assert_eq!(decode_snapshot(&snapshot).expect("a snapshot"), ledger);
}

/// Guards against crashes that are forgotten with the compacted log.
#[test]
fn snapshot_keeps_the_crashes_that_tasks_are_suspected_of() {
    let mut ledger = LedgerState::default();
    for change in crash_history() {
        apply(&mut ledger, change);
    }
    assert!(!ledger.flows.crashes.is_empty());
    let snapshot = encode_snapshot(&ledger).expect("an encoding");
    assert_eq!(decode_snapshot(&snapshot).expect("a snapshot"), ledger);
    apply(&mut ledger, evacuate(0));
    let snapshot = encode_snapshot(&ledger).expect("an encoding");
    assert_eq!(decode_snapshot(&snapshot).expect("a snapshot"), ledger);
}
