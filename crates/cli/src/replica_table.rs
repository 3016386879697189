//! The table of control replicas.

use crate::text_table::TextTable;

/// Returns the table of the replicas.
///
/// Each item is the number of a replica, its address and its last log index that is known to match
/// the log of the leader.
pub(crate) fn replica_table<'a>(
    leader: u64,
    replicas: impl Iterator<Item = (u64, &'a str, u64)>,
) -> TextTable {
    let mut table = TextTable::new(&["replica", "role", "address", "matched"]);
    for (replica, address, matched) in replicas {
        let role = match replica == leader {
            true => "leader",
            false => "follower",
        };
        table.add(vec![
            replica.to_string(),
            role.to_owned(),
            address.to_owned(),
            matched.to_string(),
        ]);
    }
    table
}
