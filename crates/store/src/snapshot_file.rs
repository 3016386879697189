//! Reading and writing of snapshot files.

use std::sync::Arc;

use roseridge_quorum::{
    LogIndex,
    LogSnapshot, //
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
        EncodeRecordSnafu, //
    },
};

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".snap";
/// The maximum size of the state in one record, in bytes.
const CHUNK_BYTES: usize = 1_048_576;

pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("{PREFIX}{:020}{SUFFIX}", index.0)
}

pub(crate) fn snapshot_index(name: &str) -> Option<LogIndex> {
    let number = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    number.parse().ok().map(LogIndex)
}

/// Writes a snapshot, which is durable when this returns, and returns the size of its file in bytes.
pub(crate) fn write_snapshot(
    folder: &DataFolder,
    snapshot: &LogSnapshot,
) -> Result<usize, StoreError> {
    let header = StoreRecord::SnapshotHeader {
        meta: snapshot.meta.clone(),
        total: snapshot.state.len() as u64,
    };
    let mut bytes = Vec::new();
    encode(&header, &mut bytes).context(EncodeRecordSnafu)?;
    for chunk in snapshot.state.chunks(CHUNK_BYTES) {
        let record = StoreRecord::SnapshotChunk(chunk.to_vec());
        encode(&record, &mut bytes).context(EncodeRecordSnafu)?;
    }
    folder.create(&snapshot_name(snapshot.meta.index), &bytes)?;
    Ok(bytes.len())
}

/// Reads a snapshot and the size of its file in bytes.
///
/// The file got its name only once it was complete, so a torn record is damage.
pub(crate) fn read_snapshot(
    folder: &DataFolder,
    index: LogIndex,
) -> Result<(Arc<LogSnapshot>, usize), StoreError> {
    let name = snapshot_name(index);
    let path = folder.file_path(&name);
    let bytes = folder.read(&name)?;
    let (meta, total, mut offset) = match decode(&bytes, 0) {
        RecordRead::Complete(StoreRecord::SnapshotHeader { meta, total }, length)
            if meta.index == index =>
        {
            (meta, total, length)
        }
        _ => {
            return DamagedFileSnafu {
                path,
                offset: 0usize,
            }
            .fail();
        }
    };
    let mut state = Vec::new();
    loop {
        match decode(&bytes, offset) {
            RecordRead::Complete(StoreRecord::SnapshotChunk(chunk), length) => {
                state.extend_from_slice(&chunk);
                offset += length;
            }
            RecordRead::End if state.len() as u64 == total => break,
            _ => return DamagedFileSnafu { path, offset }.fail(),
        }
    }
    Ok((Arc::new(LogSnapshot { meta, state }), bytes.len()))
}
