//! The values that wait for their chunks, and the one that is being fetched.
//!
//! Of each key the newest value waits. Invariants: a fetch goes on whatever newer values come
//! meanwhile, until it has ended or one of them is whole, so that values which come faster than
//! they can be fetched are still taken in one after the other; nothing waits that is as old as
//! what was handed on.

use std::collections::BTreeMap;

use bergamot_base::Name;
use bergamot_wire::{Item, Rank};

/// The values that wait for their chunks.
#[derive(Debug, Default)]
pub(crate) struct Awaited {
    /// The newest of each key.
    newest: BTreeMap<Name, Item>,
    fetched: Option<Item>,
}

impl Awaited {
    /// Notes that an item waits, and tells whether it is the newest of its key that does.
    pub(crate) fn add(&mut self, item: Item) -> bool {
        let known = self.newest.get(&item.key);
        let newer = known.is_none_or(|known| known.rank() < item.rank());
        if newer {
            self.newest.insert(Name::clone(&item.key), item);
        }
        newer
    }

    /// Chooses the next item to fetch, if any waits.
    pub(crate) fn begin(&mut self) -> Option<Item> {
        self.fetched = self.newest.values().next().cloned();
        self.fetched.clone()
    }

    /// Ends the fetch; what was fetched waits on unless it was handed on.
    pub(crate) fn end(&mut self) {
        self.fetched = None;
    }

    /// Tells whether an item is still to be fetched.
    pub(crate) fn is_fetched(&self, item: &Item) -> bool {
        let same = |fetched: &Item| (&fetched.key, fetched.rank()) == (&item.key, item.rank());
        self.fetched.as_ref().is_some_and(same)
    }

    /// Returns the item of a key that waits, if one does.
    pub(crate) fn get(&self, key: &Name) -> Option<&Item> {
        self.newest.get(key)
    }

    /// Notes that an item of a key was handed on: nothing as old is of use any more.
    pub(crate) fn settle(&mut self, key: &Name, rank: Rank) {
        let settled = |item: &Item| item.key == *key && item.rank() <= rank;
        if self.newest.get(key).is_some_and(settled) {
            self.newest.remove(key);
        }
        if self.fetched.as_ref().is_some_and(settled) {
            self.fetched = None;
        }
    }
}
