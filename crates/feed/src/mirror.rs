//! A copy of the store's records, with the changes of late for those who follow.
//!
//! Invariants: the revision never falls; an item older than the one that is held changes
//! nothing, so two sources may be mixed; a change is kept until so many others follow it
//! that its followers are told everything instead.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_wire::{Item, News};

/// How many changes are kept for followers: several seconds of a storm of changes.
const KEPT: usize = 2048;

/// What has changed at this member, to be taken in by its relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The items that are new, deletions among them.
    pub items: Vec<Item>,
}

/// A copy of the store's records.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    records: BTreeMap<Name, Item>,
    recent: VecDeque<Item>,
    /// Changes after this revision are all in `recent`.
    complete_after: u64,
    at: u64,
    fresh: Option<Instant>,
}

impl Mirror {
    /// Returns the revision up to which everything is known, zero for nothing.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Returns how long ago it was certain that nothing newer exists, if it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|fresh| now.saturating_duration_since(fresh))
    }

    /// Notes at which moment everything up to the revision was known.
    pub fn refresh(&mut self, moment: Instant) {
        self.fresh = Some(self.fresh.map_or(moment, |fresh| fresh.max(moment)));
    }

    /// Takes in changes, in the order of their revisions.
    pub fn update(&mut self, items: Vec<Item>, at: u64) -> Change {
        let mut change = Change::default();
        for item in items {
            if self.hold(&item) {
                self.keep(item.clone());
                change.items.push(item);
            }
        }
        self.at = self.at.max(at);
        change
    }

    /// Takes in a listing of everything: what it doesn't name has been deleted.
    pub fn replace(&mut self, items: Vec<Item>, at: u64) -> Change {
        if at < self.at {
            // A stale listing says nothing about what came after it.
            return Change::default();
        }
        let listed: HashSet<Name> = items.iter().map(|item| Name::clone(&item.key)).collect();
        let deleted: Vec<Item> = self
            .records
            .values()
            .filter(|item| !listed.contains(&item.key))
            .map(|item| Item { deleted: true, value: Vec::new(), revision: at, ..item.clone() })
            .collect();
        // What differs from an earlier state tells those who share it all that they need.
        if self.at == 0 {
            self.complete_after = at;
        }
        self.update(items.into_iter().chain(deleted).collect(), at)
    }

    /// Tells a follower what has changed after a revision, or everything.
    pub fn news(&self, after: u64, now: Instant) -> News {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let whole = after < self.complete_after;
        let items = if whole {
            self.records.values().cloned().collect()
        } else {
            self.recent.iter().filter(|item| item.revision > after).cloned().collect()
        };
        News { items, whole, at: self.at, age }
    }

    /// Tells whether a follower would be told anything.
    pub fn has_news(&self, after: u64) -> bool {
        self.at > after || after < self.complete_after
    }

    fn hold(&mut self, item: &Item) -> bool {
        let known = self.records.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return false;
        }
        if item.deleted {
            return self.records.remove(&item.key).is_some();
        }
        self.records.insert(Name::clone(&item.key), item.clone());
        true
    }

    fn keep(&mut self, item: Item) {
        self.recent.push_back(item);
        if self.recent.len() > KEPT
            && let Some(dropped) = self.recent.pop_front()
        {
            self.complete_after = self.complete_after.max(dropped.revision);
        }
    }
}
