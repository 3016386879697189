//! Segment files of the write-ahead log: creation and replay.

use std::{
    fs::File,
    path::PathBuf, //
};

use roseridge_quorum::{
    HardState,
    LogIndex,
    StoredReplica,
    TermNumber, //
};
use snafu::ResultExt;

use crate::{
    StoreError,
    data_folder::DataFolder,
    record::{
        RecordRead,
        StoreRecord,
        decode,
        encode, //
    },
    store_error::{
        DamagedFileSnafu,
        EncodeRecordSnafu,
        MissingEntriesSnafu, //
    },
};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".wal";

/// The position and extent of a segment.
#[derive(Debug, Clone)]
pub(crate) struct SegmentInfo {
    pub(crate) number: u64,
    /// The index of the last log entry when the segment was created.
    pub(crate) start_index: LogIndex,
    /// The lowest index directly after which a write in the segment discards or appends entries; at
    /// most `start_index`.
    pub(crate) min_kept_index: LogIndex,
    /// The total size of its complete records, in bytes.
    pub(crate) length: usize,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{PREFIX}{number:012}{SUFFIX}")
}

pub(crate) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?
        .strip_suffix(SUFFIX)?
        .parse()
        .ok()
}

/// Creates a segment without entries, which is durable when this returns.
pub(crate) fn create_segment(
    folder: &DataFolder,
    number: u64,
    hard: HardState,
    last: (LogIndex, TermNumber),
) -> Result<(SegmentInfo, PathBuf, File), StoreError> {
    let (index, term) = last;
    let mut bytes = Vec::new();
    let record = StoreRecord::SegmentStart { hard, index, term };
    encode(&record, &mut bytes).context(EncodeRecordSnafu)?;
    let path = folder.create(&segment_name(number), &bytes)?;
    let file = folder.open_for_append(&segment_name(number), bytes.len())?;
    let info = SegmentInfo {
        number,
        start_index: index,
        min_kept_index: index,
        length: bytes.len(),
    };
    Ok((info, path, file))
}

/// Replays one segment into `stored`; only the last segment may end in a torn record.
pub(crate) fn replay_segment(
    folder: &DataFolder,
    number: u64,
    is_first: bool,
    is_last: bool,
    stored: &mut StoredReplica,
) -> Result<SegmentInfo, StoreError> {
    let name = segment_name(number);
    let path = folder.file_path(&name);
    let bytes = folder.read(&name)?;
    let mut info = match decode(&bytes, 0) {
        RecordRead::Complete(StoreRecord::SegmentStart { hard, index, term }, length) => {
            stored.hard_state = hard;
            if is_first {
                stored.reset(index, term);
            }
            SegmentInfo {
                number,
                start_index: index,
                min_kept_index: index,
                length,
            }
        }
        _ => {
            return DamagedFileSnafu {
                path,
                offset: 0usize,
            }
            .fail();
        }
    };
    loop {
        let offset = info.length;
        match decode(&bytes, offset) {
            RecordRead::Complete(record, length) => {
                let kept_index = replay_record(stored, record).map_err(|gap| {
                    gap.map_or(
                        DamagedFileSnafu {
                            path: &path,
                            offset,
                        }
                        .build(),
                        |source| StoreError::MissingEntries {
                            path: path.clone(),
                            source,
                        },
                    )
                })?;
                info.min_kept_index = info.min_kept_index.min(kept_index);
                info.length += length;
            }
            RecordRead::Torn if is_last => return Ok(info),
            RecordRead::End => return Ok(info),
            _ => return DamagedFileSnafu { path, offset }.fail(),
        }
    }
}

/// Replays a record; returns the index of the last earlier entry that it keeps, or the maximum
/// index if it neither truncates nor appends.
///
/// Fails without a gap if the record is not a log write.
fn replay_record(
    stored: &mut StoredReplica,
    record: StoreRecord,
) -> Result<LogIndex, Option<roseridge_quorum::LogGap>> {
    let StoreRecord::LogWrite {
        hard,
        reset,
        truncate_from,
        entries,
    } = record
    else {
        return Err(None);
    };
    let kept_index = last_kept_index(truncate_from, entries.first().map(|e| e.index));
    stored.hard_state = hard.unwrap_or(stored.hard_state);
    if let Some((index, term)) = reset {
        stored.reset(index, term);
    }
    if let Some(index) = truncate_from {
        stored.truncate_from(index);
    }
    for entry in entries {
        stored.push(entry).map_err(Some)?;
    }
    Ok(kept_index)
}

/// Returns the index of the last entry that a write keeps, or the maximum index if it neither
/// truncates nor appends.
pub(crate) fn last_kept_index(
    truncate_from: Option<LogIndex>,
    first_appended: Option<LogIndex>,
) -> LogIndex {
    let discarded = [truncate_from, first_appended].into_iter().flatten();
    discarded
        .map(|index| LogIndex(index.0.saturating_sub(1)))
        .min()
        .unwrap_or(LogIndex(u64::MAX))
}

/// Matches the replayed log against the snapshot.
pub(crate) fn finish_replay(
    folder: &DataFolder,
    stored: StoredReplica,
) -> Result<StoredReplica, StoreError> {
    let path = folder.path();
    stored.finish().context(MissingEntriesSnafu { path })
}
