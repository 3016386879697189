//! What a task needs, and how the tasks of a gang lie to each other.

use serde::{
    Deserialize,
    Serialize, //
};

/// Processors, memory and accelerators of one task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ResourceShape {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl ResourceShape {
    /// Returns whether `other` fits into this shape.
    pub fn can_hold(&self, other: &Self) -> bool {
        self.cores >= other.cores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Returns the sum of both shapes.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_add(other.cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left of this shape without `other`, never below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// How close together the members of a gang must lie.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum AdjacencyRule {
    /// All members on one worker.
    Worker,
    /// All members in one rack.
    Rack,
    /// All members in one failure domain.
    Domain,
    /// Anywhere.
    #[default]
    Any,
}

/// The members of a gang, which run all together or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangShape {
    /// The number of members, from one to [`GangShape::MAX_MEMBERS`].
    pub members: u16,
    /// What each member needs.
    pub member: ResourceShape,
    /// How close together the members must lie.
    #[serde(default)]
    pub adjacency: AdjacencyRule,
}

impl GangShape {
    /// The largest gang that is accepted.
    pub const MAX_MEMBERS: u16 = 64;

    /// Returns the accelerators of all members together.
    pub fn accelerators(&self) -> u64 {
        u64::from(self.members) * u64::from(self.member.accelerators)
    }
}
