//! The members of the control group as operators see them.

use serde::{
    Deserialize,
    Serialize, //
};

/// The role of a replica in the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The leader.
    Leader,
    /// A voter that is not the leader.
    Voter,
    /// A non-voting member that receives the log and can become a voter once it has caught up.
    Learner,
    /// A replica with an empty disk that requests to join. An operator adds it, unless the group
    /// changes its members automatically.
    Joining,
}

/// One replica as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// The number of the replica.
    pub replica: u64,
    /// The identifier of its disk, in hexadecimal.
    pub disk: String,
    /// Its internal address.
    pub address: String,
    /// Its role in the group.
    pub state: MemberState,
    /// The highest log index known to match the leader's log.
    pub matched: u64,
    /// The number of log entries that it lacks.
    pub behind: u64,
    /// The time since the newest message that it answered was sent, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// The members of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembersView {
    /// Whether the last membership change is committed.
    pub settled: bool,
    /// The members, and the replicas that request to join.
    pub members: Vec<MemberView>,
}
