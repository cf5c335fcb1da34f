//! Large values whose chunks are missing, and the one that is being fetched.
//!
//! Only the newest pending value of each key is kept. Invariants: a fetch in progress continues
//! when newer values arrive, until it finishes or a newer value is complete, so values that are
//! published faster than they can be fetched are still delivered one after another; no pending
//! value is as old as one that was already delivered.

use std::collections::BTreeMap;

use bergamot_base::Name;
use bergamot_wire::{Item, Rank};

/// Large values that wait for their chunks.
#[derive(Debug, Default)]
pub(crate) struct PendingFetches {
    /// The newest pending item of each key.
    newest: BTreeMap<Name, Item>,
    in_progress: Option<Item>,
}

impl PendingFetches {
    /// Adds a pending item, and returns whether it is newer than any pending item of its key.
    pub(crate) fn insert(&mut self, item: Item) -> bool {
        let known = self.newest.get(&item.key);
        let newer = known.is_none_or(|known| known.rank() < item.rank());
        if newer {
            self.newest.insert(Name::clone(&item.key), item);
        }
        newer
    }

    /// Selects the next item to fetch, if any is pending.
    pub(crate) fn start_next(&mut self) -> Option<Item> {
        self.in_progress = self.newest.values().next().cloned();
        self.in_progress.clone()
    }

    /// Ends the fetch in progress. Its item stays pending unless it was delivered.
    pub(crate) fn finish(&mut self) {
        self.in_progress = None;
    }

    /// Returns whether the fetch in progress is for this item.
    pub(crate) fn is_in_progress(&self, item: &Item) -> bool {
        let same =
            |in_progress: &Item| (&in_progress.key, in_progress.rank()) == (&item.key, item.rank());
        self.in_progress.as_ref().is_some_and(same)
    }

    /// Returns the pending item of a key, if any.
    pub(crate) fn get(&self, key: &Name) -> Option<&Item> {
        self.newest.get(key)
    }

    /// Drops pending items of a key up to the rank of the value that was delivered.
    pub(crate) fn remove_up_to(&mut self, key: &Name, rank: Rank) {
        let superseded = |item: &Item| item.key == *key && item.rank() <= rank;
        if self.newest.get(key).is_some_and(superseded) {
            self.newest.remove(key);
        }
        if self.in_progress.as_ref().is_some_and(superseded) {
            self.in_progress = None;
        }
    }
}
