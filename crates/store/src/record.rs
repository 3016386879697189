//! The format of a record: a checksummed header, the content and an end marker.

use roseridge_quorum::{
    DiskId,
    HardState,
    LogEntry,
    LogIndex,
    ReplicaId,
    SnapshotMeta,
    TermNumber, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The maximum size of a record's content, in bytes; a header with a greater length is damaged.
pub const MAX_RECORD_BYTES: usize = 16 * 1_048_576;

/// The size of the header, in bytes. It holds the content's length, its CRC-32 and the CRC-32 of
/// both fields, as little-endian 32-bit numbers.
const HEADER_BYTES: usize = 12;
/// The byte after the content, which ensures that no complete record ends in a zero byte.
const END_MARKER: u8 = 0xA5;
/// The unit in which a disk writes, in bytes.
const SECTOR_BYTES: usize = 512;

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoreRecord {
    /// The cluster, replica and disk that the folder belongs to.
    Identity {
        cluster: String,
        replica: ReplicaId,
        disk: DiskId,
    },
    /// The state of the log when the segment was created.
    SegmentStart {
        hard: HardState,
        index: LogIndex,
        term: TermNumber,
    },
    /// The changes of one write to the log.
    LogWrite {
        hard: Option<HardState>,
        reset: Option<(LogIndex, TermNumber)>,
        truncate_from: Option<LogIndex>,
        entries: Vec<LogEntry>,
    },
    /// The first record of a snapshot file, with the size of the state in bytes.
    #[serde(rename = "snapshot_head")]
    SnapshotHeader { meta: SnapshotMeta, total: u64 },
    /// A chunk of a snapshot's state.
    #[serde(rename = "snapshot_part")]
    SnapshotChunk(Vec<u8>),
}

/// The result of reading a record at an offset of a file.
#[derive(Debug)]
pub(crate) enum RecordRead {
    /// A complete record and its size in the file, in bytes.
    Complete(StoreRecord, usize),
    /// The file ends at the offset.
    End,
    /// The rest of the file is an unfinished write, as a crash can leave it.
    Torn,
    /// The record is invalid in a way that a crash cannot cause.
    Damaged,
}

/// Appends an encoded record to a buffer.
pub(crate) fn encode(record: &StoreRecord, buffer: &mut Vec<u8>) -> Result<(), postcard::Error> {
    let content = postcard::to_stdvec(record)?;
    if content.len() > MAX_RECORD_BYTES {
        return Err(postcard::Error::SerializeBufferFull);
    }
    let length = u32::try_from(content.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let begin = buffer.len();
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    let header = crc32fast::hash(&buffer[begin..]);
    buffer.extend_from_slice(&header.to_le_bytes());
    buffer.extend_from_slice(&content);
    buffer.push(END_MARKER);
    Ok(())
}

/// Reads the record at an offset of a file's bytes.
pub(crate) fn decode(file: &[u8], offset: usize) -> RecordRead {
    let bytes = &file[offset..];
    if bytes.is_empty() {
        return RecordRead::End;
    }
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return RecordRead::Torn;
    };
    let read_u32 = |start: usize| u32::from_le_bytes([0, 1, 2, 3].map(|byte| header[start + byte]));
    let (length, checksum) = (read_u32(0) as usize, read_u32(4));
    if crc32fast::hash(&header[..8]) != read_u32(8) || length > MAX_RECORD_BYTES {
        return classify_invalid_record(file, offset, file.len());
    }
    let Some((content, end)) = rest.get(..=length).and_then(<[u8]>::split_last_chunk::<1>) else {
        return RecordRead::Torn;
    };
    match postcard::from_bytes(content) {
        Ok(record) if crc32fast::hash(content) == checksum && *end == [END_MARKER] => {
            RecordRead::Complete(record, HEADER_BYTES + length + 1)
        }
        _ => classify_invalid_record(file, offset, offset + HEADER_BYTES + length + 1),
    }
}

/// Returns whether an invalid record is torn or damaged.
///
/// A crash can leave sectors of the last write unwritten, which then read as zeros.
fn classify_invalid_record(file: &[u8], offset: usize, end: usize) -> RecordRead {
    let is_zero = |bytes: &[u8]| bytes.iter().all(|b| *b == 0);
    let first_sector = offset.next_multiple_of(SECTOR_BYTES).min(end);
    let sectors = file[first_sector..end].chunks(SECTOR_BYTES);
    let has_unwritten_sector = is_zero(&file[offset..first_sector]) && first_sector > offset
        || sectors.into_iter().any(is_zero);
    match end == file.len() && has_unwritten_sector {
        true => RecordRead::Torn,
        false => RecordRead::Damaged,
    }
}
