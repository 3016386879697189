//! The replica's disk, its snapshots and the entries that it applies.

use log::{
    error,
    info, //
};
use roseridge_events as events;
use roseridge_ledger::{
    CommandOutcome,
    LedgerChange,
    LedgerCommand, //
};
use roseridge_quorum::{
    EntryBody,
    LogEntry,
    WriteNumber, //
};
use roseridge_store::{
    ReplicaStore,
    StoreError, //
};
use snafu::ResultExt;

use crate::{
    ReplicaError,
    flow_events::ChangeNote,
    replica_error::{
        EntryUnreadableSnafu,
        SnapshotUnreadableSnafu,
        StoreUnusableSnafu, //
    },
    replica_task::ReplicaTask,
};

/// The result of a write, with the store that did it.
pub(crate) type WriteDone = (ReplicaStore, WriteNumber, Result<(), StoreError>);

impl ReplicaTask {
    pub(crate) fn start_write(&mut self) {
        let Some(mut store) = self.store.take() else {
            return;
        };
        let Some(batch) = self.core.take_write() else {
            self.store = Some(store);
            return;
        };
        let writes = self.writes.clone();
        compio::runtime::spawn(async move {
            let write = move || {
                let result = store.write(&batch);
                (store, batch.number, result)
            };
            if let Ok(done) = compio::runtime::spawn_blocking(write).await {
                // The replica is gone when nobody receives this.
                let _ = writes.send(done).await;
            }
        })
        .detach();
    }

    pub(crate) fn finish_write(&mut self, done: WriteDone) -> Result<(), ReplicaError> {
        let (store, number, result) = done;
        if let Err(source) = result {
            error!("{}", events::STORE_FAILED.line(&source));
            return Err(source).context(StoreUnusableSnafu);
        }
        self.store = Some(store);
        self.core.complete_write(number);
        Ok(())
    }

    /// Takes over the state of a snapshot, from the disk at the start or from the leader.
    pub(crate) fn restore(&mut self) -> Result<(), ReplicaError> {
        if let Some(snapshot) = self.core.take_restore() {
            let index = snapshot.meta.index.0;
            self.ledger =
                postcard::from_bytes(&snapshot.state).context(SnapshotUnreadableSnafu { index })?;
        }
        Ok(())
    }

    /// Lets a snapshot stand for the log once that pays.
    pub(crate) fn compact(&mut self) -> Result<(), ReplicaError> {
        if self.core.should_compact() {
            let index = self.ledger.applied;
            let state =
                postcard::to_stdvec(&self.ledger).context(SnapshotUnreadableSnafu { index })?;
            self.core.compact(state);
        }
        Ok(())
    }

    /// Follows changes of the members: their addresses go before those of the settings.
    pub(crate) fn follow_members(&mut self) {
        let newest = self.core.members();
        if let Some(members) = newest.filter(|m| **m != self.members) {
            let names: Vec<_> = members
                .iter()
                .map(|(id, m)| format!("{id} at {}", m.address))
                .collect();
            info!("{}", events::MEMBERS_CHANGED.line(names.join(", ")));
            self.peers.follow(members);
            self.members = members.clone();
        }
    }

    pub(crate) fn apply_committed(&mut self) -> Result<(), ReplicaError> {
        for entry in self.core.take_committed() {
            let outcome = self.apply(&entry)?;
            if let Some(desk) = &mut self.desk {
                desk.settle(entry.index, entry.term, &outcome);
            }
        }
        Ok(())
    }

    fn apply(&mut self, entry: &LogEntry) -> Result<CommandOutcome, ReplicaError> {
        let EntryBody::Command(payload) = &entry.body else {
            return Ok(CommandOutcome::Applied);
        };
        let index = entry.index.0;
        let command: LedgerCommand =
            postcard::from_bytes(payload).context(EntryUnreadableSnafu { index })?;
        let change = command.change.clone();
        self.meter.note(&change, command.at);
        let note = match (&change, &self.desk) {
            (LedgerChange::Flow(change), Some(_)) => {
                Some(ChangeNote::before(&self.ledger.flows, change))
            }
            _ => None,
        };
        let outcome = self.ledger.apply(index, command);
        if let (Some(note), CommandOutcome::Flow(outcome)) = (note, &outcome) {
            note.tell(&self.ledger.flows, outcome, index, self.meter.flows());
        }
        if let Some(desk) = &mut self.desk {
            desk.follow(&change, &outcome, self.clock.now_ms());
        }
        Ok(outcome)
    }
}
