//! Fence numbers that tell the incarnations of the backend server on an instance apart.
//!
//! A call carries only the name of a backend server, and may be carried out long after it was sent. One for an
//! earlier incarnation may therefore reach a later one with its name. A backend server does nothing for a call with a
//! lower fence number than it has seen, so the numbers also grow with each incarnation that is announced on an
//! instance: once the later one has seen a call of its own, it ignores those for the earlier ones.

use std::collections::BTreeMap;

use roseridge_model::{
    FastSet,
    InstanceName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The part of the fence numbers that grows with each incarnation on an instance. The leader adds its term.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IncarnationFences {
    /// The log index of the newest incarnation that was announced on each instance.
    by_instance: BTreeMap<InstanceName, u64>,
    /// The highest index that was removed. It holds for instances without an entry, since a backend server whose
    /// record was removed may return and has seen the former number.
    floor: u64,
}

impl IncarnationFences {
    /// Returns whether no incarnation was announced yet.
    pub fn is_untouched(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the part of the fence numbers of an instance that tells its incarnations apart.
    pub fn of_instance(&self, instance: &InstanceName) -> u64 {
        let index = self.by_instance.get(instance).copied();
        index.unwrap_or(self.floor)
    }

    /// Records that a new incarnation is announced on an instance at a log index.
    pub(crate) fn raise(&mut self, instance: &InstanceName, index: u64) {
        self.by_instance.insert(instance.clone(), index);
    }

    /// Removes the entries of all instances but the given ones.
    pub(crate) fn keep(&mut self, instances: &FastSet<&InstanceName>) {
        let removed = self
            .by_instance
            .extract_if(.., |instance, _| !instances.contains(instance));
        let highest = removed.map(|(_, index)| index).max();
        self.floor = self.floor.max(highest.unwrap_or(0));
    }
}
