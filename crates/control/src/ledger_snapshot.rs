//! The encoding of the ledger in snapshots.

use roseridge_flow::{
    CompletionDoubts,
    CrashCounts,
    CrashHistory,
    EvacuationSet,
    IncarnationFences,
    WithdrawnFlows, //
};
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
    /// The crashes that tasks are suspected of.
    Crashes(CrashHistory),
    /// Their counts by limit.
    CrashCounts(CrashCounts),
    /// The fence numbers of incarnations.
    Fences(IncarnationFences),
    /// The incarnations that may delete completions.
    Doubts(CompletionDoubts),
    /// The flows that were cancelled before their submission arrived.
    Withdrawn(WithdrawnFlows),
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
    let flows = &ledger.flows;
    let evacuations = (!flows.evacuations.is_untouched()).then(|| flows.evacuations.clone());
    let mut extensions = Vec::new();
    extensions.extend(evacuations.map(SnapshotExtension::Evacuations));
    if !flows.crashes.is_empty() {
        extensions.push(SnapshotExtension::Crashes(flows.crashes.clone()));
        let counts = flows.crashes.counts.clone();
        extensions.push(SnapshotExtension::CrashCounts(counts));
    }
    if !flows.fences.is_untouched() {
        extensions.push(SnapshotExtension::Fences(flows.fences.clone()));
    }
    if !flows.doubts.is_empty() {
        extensions.push(SnapshotExtension::Doubts(flows.doubts.clone()));
    }
    if !flows.withdrawn.is_empty() {
        extensions.push(SnapshotExtension::Withdrawn(flows.withdrawn.clone()));
    }
    match extensions.is_empty() {
        true => Ok(state),
        false => postcard::to_extend(&extensions, state),
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
            SnapshotExtension::Crashes(history) => ledger.flows.crashes = history,
            SnapshotExtension::CrashCounts(counts) => ledger.flows.crashes.counts = counts,
            SnapshotExtension::Fences(fences) => ledger.flows.fences = fences,
            SnapshotExtension::Doubts(doubts) => ledger.flows.doubts = doubts,
            SnapshotExtension::Withdrawn(flows) => ledger.flows.withdrawn = flows,
        }
    }
    Ok(ledger)
}
