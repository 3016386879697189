//! The resources of a task, and the number and adjacency of a gang's members.

use serde::{
    Deserialize,
    Serialize, //
};

/// An amount of processor cores, memory and accelerators, such as the needs of one task.
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
    /// Returns whether `other` fits into this shape in every resource.
    pub fn can_hold(&self, other: &Self) -> bool {
        self.cores >= other.cores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Returns the sum of both shapes, saturating at the maximum value of each resource.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_add(other.cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns this shape minus `other`, saturating at zero in each resource.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// The required adjacency of the members of a gang.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum AdjacencyRule {
    /// All members run on one worker.
    Worker,
    /// All members run in one rack.
    Rack,
    /// All members run in one failure domain.
    Domain,
    /// Members may run anywhere.
    #[default]
    Any,
}

/// The shape of a gang, whose members run all at the same time or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangShape {
    /// The number of members, from one to [`GangShape::MAX_MEMBERS`].
    pub members: u16,
    /// The resources that each member needs.
    pub member: ResourceShape,
    /// The required adjacency of the members.
    #[serde(default)]
    pub adjacency: AdjacencyRule,
}

impl GangShape {
    /// The maximum number of members of a gang.
    pub const MAX_MEMBERS: u16 = 64;

    /// Returns the total number of accelerators of all members.
    pub fn accelerators(&self) -> u64 {
        u64::from(self.members) * u64::from(self.member.accelerators)
    }
}
