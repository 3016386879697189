//! The replica's writes to disk, its snapshots and the application of committed entries.

use log::info;
use roseridge_events::{
    self as events,
    event, //
};
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
    StoreError,
    StoreUsage, //
};
use snafu::ResultExt;

use crate::{
    ReplicaError,
    flow_events::ChangeContext,
    ledger_snapshot::{
        decode_snapshot,
        encode_snapshot, //
    },
    replica_error::{
        EntryUnreadableSnafu,
        SnapshotUnreadableSnafu,
        WriteFailedSnafu, //
    },
    replica_task::ReplicaTask,
};

/// The size of applied entries from which the log is compacted while no disk space is reserved, in
/// bytes.
const LOW_SPACE_THRESHOLD_BYTES: usize = 1_048_576;

/// The result of a write, with the store that performed it.
pub(crate) type WriteDone = (ReplicaStore, WriteNumber, Result<(), StoreError>);

impl ReplicaTask {
    /// Starts the next write in the background, unless one is in progress.
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
                // Sending fails only after the replica task has ended.
                let _ = writes.send(done).await;
            }
        })
        .detach();
    }

    /// Completes a write, and logs the snapshot that it contained.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::WriteFailed`] when the write failed.
    pub(crate) fn finish_write(&mut self, done: WriteDone) -> Result<(), ReplicaError> {
        let (store, number, result) = done;
        let usage = store.usage();
        let before = std::mem::replace(&mut self.usage, usage);
        self.meter.record_store(&usage, self.core.bytes_in_memory());
        result
            .inspect_err(|_| self.meter.count_store_failure())
            .context(WriteFailedSnafu { usage })?;
        if usage.snapshot_index != before.snapshot_index {
            log_snapshot(&before, &usage);
        }
        self.store = Some(store);
        self.core.complete_write(number);
        Ok(())
    }

    /// Replaces the ledger by a snapshot, which comes from the disk at the start or from the
    /// leader.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::SnapshotUnreadable`] when the snapshot can't be decoded.
    pub(crate) fn restore(&mut self) -> Result<(), ReplicaError> {
        if let Some(snapshot) = self.core.take_restore() {
            let index = snapshot.meta.index.0;
            self.ledger =
                decode_snapshot(&snapshot.state).context(SnapshotUnreadableSnafu { index })?;
        }
        Ok(())
    }

    /// Replaces applied log entries by a snapshot once there are enough of them.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::SnapshotUnreadable`] when the ledger can't be encoded.
    fn compact(&mut self) -> Result<(), ReplicaError> {
        let is_due = match self.usage.reserve_bytes {
            0 => self.core.should_compact_from(LOW_SPACE_THRESHOLD_BYTES),
            _ => self.core.should_compact(),
        };
        if is_due {
            let index = self.ledger.applied;
            let state = encode_snapshot(&self.ledger).context(SnapshotUnreadableSnafu { index })?;
            self.core.compact(state);
        }
        Ok(())
    }

    /// Connects to the newest members, whose addresses override those of the settings.
    pub(crate) fn update_members(&mut self) {
        let newest = self.core.members();
        if let Some(members) = newest.filter(|m| **m != self.members) {
            let names: Vec<_> = members
                .iter()
                .map(|(id, m)| format!("{id} at {}", m.address))
                .collect();
            info!("{}", events::MEMBERS_CHANGED.line(names.join(", ")));
            self.peers.update_members(members);
            self.members = members.clone();
        }
    }

    /// Applies the committed entries to the ledger, passes on the outcomes of proposals, and
    /// compacts the log in between, which a replica that replays a long log needs as well.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::EntryUnreadable`] when an entry can't be decoded, or
    /// [`ReplicaError::SnapshotUnreadable`] when the ledger can't be encoded.
    pub(crate) fn apply_committed(&mut self) -> Result<(), ReplicaError> {
        loop {
            let entries = self.core.take_committed();
            if entries.is_empty() {
                return Ok(());
            }
            for entry in entries {
                let outcome = self.apply(&entry)?;
                if let Some(controller) = &mut self.controller {
                    controller.complete_proposal(entry.index, entry.term, &outcome);
                }
            }
            self.compact()?;
        }
    }

    fn apply(&mut self, entry: &LogEntry) -> Result<CommandOutcome, ReplicaError> {
        let EntryBody::Command(payload) = &entry.body else {
            return Ok(CommandOutcome::Applied);
        };
        let index = entry.index.0;
        let command: LedgerCommand =
            postcard::from_bytes(payload).context(EntryUnreadableSnafu { index })?;
        let change = command.change.clone();
        self.meter.record_change(&change, command.at);
        let change_context = match (&change, &self.controller) {
            (LedgerChange::Flow(change), Some(_)) => {
                Some(ChangeContext::capture(&self.ledger.flows, change))
            }
            _ => None,
        };
        let outcome = self.ledger.apply(index, command);
        if let (Some(change_context), CommandOutcome::Flow(outcome)) = (change_context, &outcome) {
            change_context.report(&self.ledger.flows, outcome, index, self.meter.flows());
        }
        if let Some(controller) = &mut self.controller {
            controller.update_leases(&change, &outcome, self.clock.now_ms());
        }
        Ok(outcome)
    }
}

/// Logs a snapshot that was written, with what the data folder held before and holds now.
fn log_snapshot(before: &StoreUsage, usage: &StoreUsage) {
    event!(
        info,
        events::SNAPSHOT_WRITTEN,
        index = usage.snapshot_index,
        entries = usage
            .snapshot_index
            .0
            .saturating_sub(before.snapshot_index.0),
        log_bytes_before = before.log_bytes,
        log_bytes = usage.log_bytes,
        segments = usage.segments,
        snapshot_bytes = usage.snapshot_bytes,
        reserve_bytes = usage.reserve_bytes,
        last_index = usage.last_index
    );
}
