//! The agents that are attached to one relay, as known to the leader.

use std::collections::BTreeMap;

use roseridge_wire::{
    AttachedAgent,
    AttachedChange, //
};

/// The agents of one relay.
///
/// The relay sends the whole set once, and then numbered changes to it.
#[derive(Debug, Default)]
pub struct RelaySession {
    /// The number of the last change that was applied.
    last_change: Option<u64>,
    agents: BTreeMap<u32, AttachedAgent>,
}

impl RelaySession {
    /// Applies a change.
    ///
    /// Returns `false` and changes nothing if the change contains only differences and is neither
    /// the next one nor a repetition of the last one. The relay must then send the whole set.
    pub fn apply(&mut self, change: &AttachedChange) -> bool {
        let follows = self.last_change.is_some_and(|last_change| {
            change.number == last_change || change.number == last_change.wrapping_add(1)
        });
        if !follows && !change.whole {
            return false;
        }
        if change.whole {
            self.agents.clear();
        }
        for slot in &change.detached {
            self.agents.remove(slot);
        }
        for agent in &change.attached {
            self.agents.insert(agent.slot, agent.clone());
        }
        self.last_change = Some(change.number);
        true
    }

    /// Returns the agent of a slot.
    pub fn agent(&self, slot: u32) -> Option<&AttachedAgent> {
        self.agents.get(&slot)
    }

    /// Returns the agents, ordered by slot.
    pub fn agents(&self) -> impl Iterator<Item = &AttachedAgent> {
        self.agents.values()
    }
}
