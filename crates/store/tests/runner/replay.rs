//! Replay of the content after sequences of writes.

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed,
        TestRunner, //
    },
};
use roseridge_quorum::{
    HardState,
    LogIndex,
    StoredReplica,
    TermNumber,
    WriteBatch, //
};

use crate::fixtures::{
    append_batch,
    files,
    open,
    replica_content,
    snapshot,
    snapshot_batch, //
};

const CASES: u32 = 200;
const SEED: u64 = 4;

/// An operation of a replica on its store.
#[derive(Debug, Clone)]
enum StoreStep {
    /// Appends this many entries.
    Append(u64),
    /// Replaces this many of the last entries by entries of a new term.
    Overwrite(u64),
    /// Takes a snapshot that covers all but this many of the last entries.
    Snapshot(u64),
    /// Installs a snapshot from a leader, this many entries after the end of the log.
    Install(u64),
    Reopen,
}

fn steps() -> impl Strategy<Value = Vec<StoreStep>> {
    let step = prop_oneof![
        6 => (1u64..6).prop_map(StoreStep::Append),
        3 => (0u64..8).prop_map(StoreStep::Overwrite),
        2 => (0u64..5).prop_map(StoreStep::Snapshot),
        1 => (1u64..9).prop_map(StoreStep::Install),
        2 => Just(StoreStep::Reopen),
    ];
    prop::collection::vec(step, 1..60)
}

fn batch_for(step: &StoreStep, model: &StoredReplica, term: u64) -> Option<WriteBatch> {
    let last = model.log.last_index().0;
    let base = model.log.base_index().0;
    match step {
        StoreStep::Append(count) => Some(append_batch(last + 1, *count, term)),
        StoreStep::Overwrite(depth) => {
            let first = last.saturating_sub(*depth).max(base) + 1;
            let truncate_from = (first <= last).then_some(LogIndex(first));
            Some(WriteBatch {
                truncate_from,
                ..append_batch(first, 2, term)
            })
        }
        StoreStep::Snapshot(depth) => {
            let index = LogIndex(last.saturating_sub(*depth));
            let term = model.log.term_at(index).filter(|_| index.0 > base);
            term.map(|term| snapshot_batch(index.0, term.0))
        }
        StoreStep::Install(distance) => {
            let index = last + distance;
            let last = (LogIndex(index), TermNumber(term));
            Some(WriteBatch {
                snapshot: Some(snapshot(index, term)),
                reset: Some(last),
                ..append_batch(index + 1, 1, term)
            })
        }
        StoreStep::Reopen => None,
    }
}

fn apply(model: &mut StoredReplica, batch: &WriteBatch) {
    model.hard_state = batch.hard_state.unwrap_or(model.hard_state);
    if let Some((index, term)) = batch.reset {
        model.reset(index, term);
    }
    if let Some(index) = batch.truncate_from {
        model.truncate_from(index);
    }
    for entry in &batch.entries {
        model.push(entry.clone()).expect("the model has no gaps");
    }
    if let Some(snapshot) = &batch.snapshot {
        model.log.compact_to(snapshot.meta.index);
        model.snapshot = Some(snapshot.clone());
    }
}

/// Guards against a replay that differs from the writes, for any mix of appends, truncations and
/// snapshots over several segments.
#[test]
fn any_sequence_of_writes_is_replayed() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&steps(), |steps| {
        let folder = tempfile::tempdir()?;
        let (mut store, mut model) = open(folder.path()).expect("the folder opens");
        for (number, step) in steps.iter().enumerate() {
            if let Some(batch) = batch_for(step, &model, number as u64 + 1) {
                store.write(&batch).expect("the batch is written");
                apply(&mut model, &batch);
                continue;
            }
            drop(store);
            let (reopened, stored) = open(folder.path()).expect("the folder opens");
            prop_assert_eq!(replica_content(&stored), replica_content(&model));
            store = reopened;
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against unbounded disk usage: segments and snapshots that a newer snapshot covers must be
/// removed.
#[test]
fn snapshots_bound_the_log_size() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let (mut store, _) = open(folder.path()).expect("the folder opens");
    for number in 0..200 {
        store
            .write(&append_batch(1 + number * 4, 4, 1))
            .expect("the batch is written");
        if number % 10 == 9 {
            store
                .write(&snapshot_batch(number * 4, 1))
                .expect("the snapshot is written");
        }
    }
    assert!(store.log_bytes() < 8_000, "{} bytes", store.log_bytes());
    assert_eq!(files(folder.path(), ".snap").len(), 1);
}

/// Guards against a log with a gap: a crash after an installed snapshot is written, but before the
/// log is reset, leaves entries that don't match the snapshot.
#[test]
fn snapshot_without_its_reset_discards_a_mismatched_log() {
    let folder = tempfile::tempdir().expect("a folder is made");
    let (mut store, _) = open(folder.path()).expect("the folder opens");
    store
        .write(&append_batch(1, 10, 1))
        .expect("the batch is written");
    store
        .write(&snapshot_batch(5, 2))
        .expect("the snapshot is written");
    drop(store);
    let (_, stored) = open(folder.path()).expect("the folder opens");
    assert_eq!(stored.log.last_index(), LogIndex(5));
    let hard = HardState {
        term: TermNumber(2),
        vote: None,
    };
    assert_eq!(stored.hard_state, hard);
    assert!(stored.needs_log_reset, "the replica must reset the log");
}
