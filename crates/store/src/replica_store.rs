//! Opens a data folder and writes batches to it.

use std::{
    fs::{
        File,
        TryLockError, //
    },
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use roseridge_quorum::{
    DiskId,
    HardState,
    LogEntry,
    LogIndex,
    LogSnapshot,
    MAX_UNAPPLIED_BYTES,
    MemberId,
    ReplicaId,
    StoredReplica,
    TermNumber,
    WriteBatch, //
};
use snafu::ResultExt;

use crate::{
    StoreError,
    data_folder::{
        DataFolder,
        FileFaults, //
    },
    record::{
        RecordRead,
        StoreRecord,
        decode,
        encode, //
    },
    segment::{
        SegmentInfo,
        create_segment,
        finish_replay,
        last_kept_index,
        replay_segment,
        segment_name,
        segment_number, //
    },
    snapshot_file::{
        read_snapshot,
        snapshot_index,
        snapshot_name,
        write_snapshot, //
    },
    space_reserve::SpaceReserve,
    store_error::{
        DamagedFileSnafu,
        EncodeRecordSnafu,
        FileAccessSnafu,
        FolderInUseSnafu,
        MissingFileSnafu,
        PoisonedSnafu,
        WrongOwnerSnafu, //
    },
};

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
/// The default size from which a segment is sealed and the next one created, in bytes.
const DEFAULT_SEGMENT_BYTES: usize = 4 * 1_048_576;
/// The approximate maximum size of the entries in one record, in bytes, unless a single entry is
/// larger.
const TARGET_RECORD_BYTES: usize = 1_048_576;
/// The default size of the space that is reserved beside that of a snapshot, in bytes.
///
/// Nothing can be compacted before a leader has replicated what an earlier one left unapplied. The
/// rest is for votes and small entries.
const DEFAULT_RESERVE_BYTES: usize = MAX_UNAPPLIED_BYTES + 2 * 1_048_576;
/// The reserve is a multiple of [`StoreOptions::reserve_bytes`] divided by this number, so that it
/// is not resized with every snapshot.
const RESERVE_STEPS: usize = 5;
/// A snapshot seals the newest segment if that has at least the size of a full one divided by this
/// number. The space of the entries that the snapshot covers can then be freed.
const SEALING_DIVISOR: usize = 4;

/// The expected owner of a data folder and how to write to it.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The name of the cluster.
    pub cluster: String,
    /// The replica's number.
    pub replica: ReplicaId,
    /// The disk identity to assign to an empty folder, which must be random.
    pub new_disk_id: DiskId,
    /// The size from which a segment is sealed and the next one created, in bytes.
    pub segment_bytes: usize,
    /// The size of the space that is reserved, beside that of a snapshot, for the time when the disk
    /// is full, in bytes; zero to reserve none.
    pub reserve_bytes: usize,
    /// The faults to inject in tests.
    pub faults: FileFaults,
}

impl StoreOptions {
    /// Creates options with the default segment size and without faults.
    pub fn new(cluster: &str, replica: ReplicaId, new_disk_id: DiskId) -> Self {
        Self {
            cluster: cluster.to_owned(),
            replica,
            new_disk_id,
            segment_bytes: DEFAULT_SEGMENT_BYTES,
            reserve_bytes: DEFAULT_RESERVE_BYTES,
            faults: FileFaults::default(),
        }
    }
}

/// The content of a data folder when it was opened.
#[derive(Debug)]
pub struct OpenedReplica {
    /// The identity of the replica on this disk.
    pub id: MemberId,
    /// The log and its snapshot.
    pub stored: StoredReplica,
}

/// What a data folder holds, apart from files that are not complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreUsage {
    /// The total size of the log's segments, in bytes.
    pub log_bytes: usize,
    /// The number of segments.
    pub segments: usize,
    /// The size of the newest snapshot, in bytes.
    pub snapshot_bytes: usize,
    /// The size of the space that is reserved for the time when the disk is full, in bytes; zero
    /// after it was released.
    pub reserve_bytes: usize,
    /// The index of the newest snapshot, or zero if there is none.
    pub snapshot_index: LogIndex,
    /// The index of the last log entry.
    pub last_index: LogIndex,
}

impl StoreUsage {
    /// Returns the number of log entries after the newest snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.last_index.0.saturating_sub(self.snapshot_index.0)
    }
}

/// The open store of one replica.
#[derive(Debug)]
pub struct ReplicaStore {
    folder: DataFolder,
    segments: Vec<SegmentInfo>,
    segment_bytes: usize,
    reserve_bytes: usize,
    reserve: SpaceReserve,
    path: PathBuf,
    file: File,
    hard: HardState,
    last: (LogIndex, TermNumber),
    snapshot: Option<LogIndex>,
    snapshot_bytes: usize,
    poisoned: bool,
    // Keeps the folder locked.
    _lock: File,
}

impl ReplicaStore {
    /// Opens a data folder, or creates it if it does not exist, and replays its content.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if a file operation fails, if the content is damaged or incomplete,
    /// or if the folder is in use or belongs to another replica. The replica must then not vote.
    pub fn open(folder: &Path, options: StoreOptions) -> Result<(Self, OpenedReplica), StoreError> {
        let folder = DataFolder::new(folder, options.faults.clone())?;
        let lock = lock_folder(&folder)?;
        let names = folder.list_files()?;
        let id = match names.iter().any(|n| n == IDENTITY_FILE) {
            true => read_identity(&folder, &options)?,
            false => initialize_folder(&folder, &names, &options)?,
        };
        let snapshot = names.iter().filter_map(|n| snapshot_index(n)).max();
        let newest = snapshot.map(|index| read_snapshot(&folder, index));
        let (newest, snapshot_bytes) = newest.transpose()?.unzip();
        let (segments, stored) = replay_segments(&folder, newest.as_ref())?;
        // The process before may have ended between a rename and its sync.
        folder.sync()?;
        remove_stale_files(&folder, &segments, snapshot)?;
        let Some(newest) = segments.last() else {
            let path = folder.file_path(&segment_name(1));
            return MissingFileSnafu { path }.fail();
        };
        let name = segment_name(newest.number);
        let mut store = Self {
            file: folder.open_for_append(&name, newest.length)?,
            path: folder.file_path(&name),
            reserve: SpaceReserve::find(&folder),
            folder,
            segments,
            segment_bytes: options.segment_bytes,
            reserve_bytes: options.reserve_bytes,
            hard: stored.hard_state,
            last: (stored.log.last_index(), stored.log.last_term()),
            snapshot,
            snapshot_bytes: snapshot_bytes.unwrap_or(0),
            poisoned: false,
            _lock: lock,
        };
        let is_new = stored.hard_state == HardState::default() && stored.snapshot.is_none();
        if is_new && store.last.0 == LogIndex(0) {
            store.fill_reserve();
        }
        Ok((store, OpenedReplica { id, stored }))
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the batch may not be durable; every later call then fails as
    /// well. If the disk is full, the reserved space is free when the folder is opened again.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        if self.poisoned {
            return PoisonedSnafu.fail();
        }
        let written = self.write_batch(batch);
        self.poisoned = written.is_err();
        match &written {
            Err(error) if error.is_storage_full() => {
                // The write has failed already; if the reserve can't be removed either, it is still
                // there for the next attempt.
                let _ = self.reserve.release(&self.folder);
            }
            _ => {}
        }
        written
    }

    fn write_batch(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot_bytes = write_snapshot(&self.folder, snapshot)?;
            if self.newest_segment_bytes() >= self.segment_bytes / SEALING_DIVISOR {
                self.roll_segment()?;
            }
            // The space is freed before the entries are written, which may need it.
            self.remove_obsolete_files(snapshot.meta.index)?;
        }
        self.append(batch)?;
        if self.newest_segment_bytes() >= self.segment_bytes && !batch.entries.is_empty() {
            self.roll_segment()?;
        }
        if batch.snapshot.is_some() {
            self.fill_reserve();
        }
        Ok(())
    }

    /// Reserves space for a snapshot and the writes before it, unless the disk is too full.
    fn fill_reserve(&mut self) {
        if self.reserve_bytes > 0 {
            let needed_bytes = self.snapshot_bytes + self.reserve_bytes;
            let reserve_bytes = needed_bytes.next_multiple_of(self.reserve_bytes / RESERVE_STEPS);
            // Without a reserve the store works on; it is tried again with the next snapshot.
            let _ = self
                .reserve
                .resize(&self.folder, reserve_bytes, self.segment_bytes);
        }
    }

    fn newest_segment_bytes(&self) -> usize {
        self.segments.last().map_or(0, |s| s.length)
    }

    /// Returns the total size of the log's segments, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.segments.iter().map(|s| s.length).sum()
    }

    /// Returns what the data folder holds. After a failed write, this is what it held before, and
    /// possibly parts of the batch that are complete.
    pub fn usage(&self) -> StoreUsage {
        StoreUsage {
            log_bytes: self.log_bytes(),
            segments: self.segments.len(),
            snapshot_bytes: self.snapshot_bytes,
            reserve_bytes: self.reserve.bytes(),
            snapshot_index: self.snapshot.unwrap_or_default(),
            last_index: self.last.0,
        }
    }

    fn append(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let bytes = encode_batch(batch).context(EncodeRecordSnafu)?;
        if bytes.is_empty() {
            return Ok(());
        }
        let path = &self.path;
        self.folder
            .append(&mut self.file, path, &bytes)
            .context(FileAccessSnafu { path })?;
        if let Some(segment) = self.segments.last_mut() {
            let first = batch.entries.first().map(|e| e.index);
            segment.length += bytes.len();
            segment.min_kept_index = segment
                .min_kept_index
                .min(last_kept_index(batch.truncate_from, first));
        }
        self.hard = batch.hard_state.unwrap_or(self.hard);
        if let Some(last) = batch.reset {
            self.last = last;
        }
        if let Some(entry) = batch.entries.last() {
            self.last = (entry.index, entry.term);
        }
        Ok(())
    }

    /// Creates the next segment and appends to it from now on.
    fn roll_segment(&mut self) -> Result<(), StoreError> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let (info, path, file) = create_segment(&self.folder, number, self.hard, self.last)?;
        self.segments.push(info);
        self.path = path;
        self.file = file;
        Ok(())
    }

    /// Removes the previous snapshot, and the segments whose entries the new one at `index` covers.
    fn remove_obsolete_files(&mut self, index: LogIndex) -> Result<(), StoreError> {
        if let Some(previous) = self.snapshot.replace(index).filter(|i| *i != index) {
            self.folder.remove(&snapshot_name(previous))?;
        }
        // A replay can start at a segment if neither it nor a later segment truncates the log to an
        // index before the segment's start.
        let mut min_kept_index = LogIndex(u64::MAX);
        let mut keep_from = 0;
        for (position, segment) in self.segments.iter().enumerate().rev() {
            min_kept_index = min_kept_index.min(segment.min_kept_index);
            if segment.start_index <= index && min_kept_index >= segment.start_index {
                keep_from = position;
                break;
            }
        }
        for segment in self.segments.drain(..keep_from) {
            self.folder.remove(&segment_name(segment.number))?;
        }
        Ok(())
    }
}

fn lock_folder(folder: &DataFolder) -> Result<File, StoreError> {
    let path = folder.file_path(LOCK_FILE);
    let file = File::create(&path).context(FileAccessSnafu { path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            let path = folder.path();
            FolderInUseSnafu { path }.fail()
        }
        Err(TryLockError::Error(source)) => Err(StoreError::FileAccess { path, source }),
    }
}

fn read_identity(folder: &DataFolder, options: &StoreOptions) -> Result<MemberId, StoreError> {
    let path = folder.file_path(IDENTITY_FILE);
    let bytes = folder.read(IDENTITY_FILE)?;
    let (cluster, replica, disk) = match decode(&bytes, 0) {
        RecordRead::Complete(
            StoreRecord::Identity {
                cluster,
                replica,
                disk,
            },
            length,
        ) if length == bytes.len() => (cluster, replica, disk),
        _ => {
            return DamagedFileSnafu {
                path,
                offset: 0usize,
            }
            .fail();
        }
    };
    if cluster != options.cluster || replica != options.replica {
        return WrongOwnerSnafu {
            path: folder.path(),
            found: format!("replica {replica} of {cluster}"),
            expected: format!("replica {} of {}", options.replica, options.cluster),
        }
        .fail();
    }
    Ok(MemberId { replica, disk })
}

/// Initializes an empty folder.
///
/// The identity file is created last, so that a folder with an identity always has a segment.
fn initialize_folder(
    folder: &DataFolder,
    names: &[String],
    options: &StoreOptions,
) -> Result<MemberId, StoreError> {
    let first = segment_name(1);
    let is_expected = |name: &String| name == LOCK_FILE || *name == first;
    if !names.iter().all(is_expected) || !is_unused(folder, names, &first)? {
        let path = folder.file_path(IDENTITY_FILE);
        return MissingFileSnafu { path }.fail();
    }
    create_segment(folder, 1, HardState::default(), Default::default())?;
    let id = MemberId {
        replica: options.replica,
        disk: options.new_disk_id,
    };
    let identity = StoreRecord::Identity {
        cluster: options.cluster.clone(),
        replica: id.replica,
        disk: id.disk,
    };
    let mut bytes = Vec::new();
    encode(&identity, &mut bytes).context(EncodeRecordSnafu)?;
    folder.create(IDENTITY_FILE, &bytes)?;
    Ok(id)
}

/// Returns whether the first segment is absent, or was created before a crash but never written to.
fn is_unused(folder: &DataFolder, names: &[String], first: &String) -> Result<bool, StoreError> {
    if !names.contains(first) {
        return Ok(true);
    }
    let bytes = folder.read(first)?;
    Ok(match decode(&bytes, 0) {
        RecordRead::Complete(_, length) => length == bytes.len(),
        _ => false,
    })
}

/// Replays the segments, from the first one with which the log is complete.
///
/// After a power loss, any of the segments that were removed may be there again. A replay can't
/// start at one of them if a later segment is missing or discards its entries.
///
/// # Errors
///
/// Returns a [`StoreError`] if a segment can't be read, or if entries after the snapshot are missing
/// wherever the replay starts.
fn replay_segments(
    folder: &DataFolder,
    snapshot: Option<&Arc<LogSnapshot>>,
) -> Result<(Vec<SegmentInfo>, StoredReplica), StoreError> {
    let names = folder.list_files()?;
    let numbers: Vec<_> = names.iter().filter_map(|n| segment_number(n)).collect();
    let gap = numbers.windows(2).rposition(|pair| pair[1] != pair[0] + 1);
    let first_start = gap.map_or(0, |position| position + 1);
    let mut first_error = None;
    for start in first_start..numbers.len() {
        match replay_from(folder, &numbers[start..], snapshot) {
            Err(error @ StoreError::MissingEntries { .. }) => {
                first_error.get_or_insert(error);
            }
            replayed => return replayed,
        }
    }
    match (first_error, gap) {
        (Some(_), Some(position)) => {
            let path = folder.file_path(&segment_name(numbers[position] + 1));
            MissingFileSnafu { path }.fail()
        }
        (Some(error), None) => Err(error),
        (None, _) => replay_from(folder, &numbers, snapshot),
    }
}

/// Replays consecutive segments on top of a snapshot.
fn replay_from(
    folder: &DataFolder,
    numbers: &[u64],
    snapshot: Option<&Arc<LogSnapshot>>,
) -> Result<(Vec<SegmentInfo>, StoredReplica), StoreError> {
    let mut stored = StoredReplica {
        snapshot: snapshot.cloned(),
        ..StoredReplica::default()
    };
    let mut segments = Vec::new();
    for (position, number) in numbers.iter().enumerate() {
        let is_last = position + 1 == numbers.len();
        segments.push(replay_segment(
            folder,
            *number,
            position == 0,
            is_last,
            &mut stored,
        )?);
    }
    Ok((segments, finish_replay(folder, stored)?))
}

/// Removes snapshots and segments that a power loss brought back after they were removed.
fn remove_stale_files(
    folder: &DataFolder,
    segments: &[SegmentInfo],
    snapshot: Option<LogIndex>,
) -> Result<(), StoreError> {
    let first = segments.first().map_or(0, |s| s.number);
    for name in folder.list_files()? {
        let is_stale = segment_number(&name).is_some_and(|number| number < first)
            || snapshot_index(&name).is_some_and(|index| Some(index) != snapshot);
        if is_stale {
            folder.remove(&name)?;
        }
    }
    Ok(())
}

fn encode_batch(batch: &WriteBatch) -> Result<Vec<u8>, postcard::Error> {
    let mut buffer = Vec::new();
    let mut hard = batch.hard_state;
    let mut reset = batch.reset;
    let mut truncate_from = batch.truncate_from;
    let mut remaining = batch.entries.as_slice();
    while hard.is_some() || reset.is_some() || truncate_from.is_some() || !remaining.is_empty() {
        let (current, later) = remaining.split_at(count_record_entries(remaining));
        remaining = later;
        let record = StoreRecord::LogWrite {
            hard: hard.take(),
            reset: reset.take(),
            truncate_from: truncate_from.take(),
            entries: current.to_vec(),
        };
        encode(&record, &mut buffer)?;
    }
    Ok(buffer)
}

/// Returns the number of entries that fit into the next record, but at least one if there is any.
fn count_record_entries(entries: &[LogEntry]) -> usize {
    let mut bytes = 0;
    let fits = |entry: &&LogEntry| {
        bytes += entry.size();
        bytes <= TARGET_RECORD_BYTES
    };
    entries
        .iter()
        .take_while(fits)
        .count()
        .max(1)
        .min(entries.len())
}
