//! The encoding of the ledger in snapshots.

use roseridge_flow::EvacuationSet;
use roseridge_ledger::LedgerState;
use serde::{
    Deserialize,
    Serialize, //
};

/// State that was added after the first release. New kinds are appended, since postcard encodes
/// the position of a variant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SnapshotExtension {
    /// The evacuated failure domains.
    Evacuations(EvacuationSet),
}

/// Encodes the ledger.
///
/// The extensions follow the ledger only if there are any. A ledger without them therefore has the
/// bytes that it had before extensions existed.
///
/// # Errors
///
/// Returns an error when the ledger can't be encoded.
pub fn encode_snapshot(ledger: &LedgerState) -> Result<Vec<u8>, postcard::Error> {
    let state = postcard::to_stdvec(ledger)?;
    let evacuations = &ledger.flows.evacuations;
    match evacuations.is_untouched() {
        true => Ok(state),
        false => {
            let extension = SnapshotExtension::Evacuations(evacuations.clone());
            postcard::to_extend(&[extension].as_slice(), state)
        }
    }
}

/// Decodes a ledger with the extensions that follow it, if there are any.
///
/// # Errors
///
/// Returns an error when the snapshot is damaged or has an extension of a newer version. Ignoring
/// an unknown extension would let the replicas' states differ.
pub fn decode_snapshot(snapshot: &[u8]) -> Result<LedgerState, postcard::Error> {
    let (mut ledger, rest) = postcard::take_from_bytes::<LedgerState>(snapshot)?;
    if rest.is_empty() {
        return Ok(ledger);
    }
    for extension in postcard::from_bytes::<Vec<SnapshotExtension>>(rest)? {
        match extension {
            SnapshotExtension::Evacuations(set) => ledger.flows.evacuations = set,
        }
    }
    Ok(ledger)
}
