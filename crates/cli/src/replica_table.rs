//! Control replicas as a table.

use crate::text_table::TextTable;

/// Makes the table of the replicas: each with its number, its address and how far it is.
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
