//! A copy of the store's records, with the changes of late for those who follow.
//!
//! Of large values the copy holds their manifests alone; [`crate::Chunks`] holds their bytes.
//! Invariants: the revision never falls; an item older than the one that is held changes
//! nothing, so two sources may be mixed; a change is kept until so many others follow it
//! that its followers are told everything instead.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_wire::{Item, News, NewsQuery, Value};

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
    ///
    /// A listing of several pages may name a record twice; the newer holds.
    pub fn replace(&mut self, items: Vec<Item>, at: u64) -> Change {
        if at < self.at {
            // A stale listing says nothing about what came after it.
            return Change::default();
        }
        let listed: HashSet<Name> = items.iter().map(|item| Name::clone(&item.key)).collect();
        let deleted: Vec<Item> = self
            .records
            .keys()
            .filter(|key| !listed.contains(*key))
            .map(|key| Item { key: Name::clone(key), value: Value::Deleted, revision: at })
            .collect();
        // What differs from an earlier state tells those who share it all that they need.
        if self.at == 0 {
            self.complete_after = at;
        }
        self.update(items.into_iter().chain(deleted).collect(), at)
    }

    /// Tells a follower what has changed after a revision, or everything, in pages of about
    /// `limit` bytes.
    ///
    /// The items of a listing come in the order of their revisions, so the revision of the
    /// last one is all that the next question must say, whoever answers it: what changed
    /// meanwhile is in a later page, and what was deleted since the listing began as well.
    pub fn news(&self, query: &NewsQuery, limit: usize, now: Instant) -> News {
        let age = self.age(now);
        if query.listing.is_some_and(|since| since > self.at) {
            // What was deleted before the listing began may still be held here.
            let (items, listing, at) = (Vec::new(), query.listing, self.at);
            return News { items, listing, at, more: false, age, arriving: false };
        }
        let known = query.listing.filter(|since| *since >= self.complete_after);
        let starts =
            known.is_none() && (query.listing.is_some() || query.after < self.complete_after);
        let listing = if starts { Some(self.at) } else { known };
        let after = if starts { 0 } else { query.after };
        let mut items = self.told(after, listing);
        items.sort_by_key(|item| item.revision);
        let length = page(&items, limit);
        let more = length < items.len();
        let at = if more { items[length - 1].revision } else { self.at };
        let items = items[..length].iter().copied().cloned().collect();
        News { items, listing, at, more, age, arriving: false }
    }

    /// Lists what a follower is still to be told, in no order: of each key the newest alone.
    fn told(&self, after: u64, listing: Option<u64>) -> Vec<&Item> {
        let newer = |item: &&Item| item.revision > after;
        let Some(since) = listing else {
            let newest = |item: &&Item| self.is_newest(item);
            return self.recent.iter().filter(newer).filter(newest).collect();
        };
        let deleted = |item: &&Item| item.value == Value::Deleted && item.revision > since;
        let deletions = self.recent.iter().filter(newer).filter(deleted);
        self.records.values().filter(newer).chain(deletions).collect()
    }

    /// Tells whether nothing newer than an item is known of its key.
    fn is_newest(&self, item: &Item) -> bool {
        match self.records.get(&item.key) {
            Some(known) => known.revision == item.revision,
            None => item.value == Value::Deleted,
        }
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
        if item.value == Value::Deleted {
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

/// Returns how many items, sorted by revision, make a page of about `limit` bytes: one at
/// least, and never a part of those that share a revision.
fn page(items: &[&Item], limit: usize) -> usize {
    let mut size = 0;
    let full = items.iter().position(|item| {
        size += item.size();
        size > limit
    });
    let Some(full) = full else { return items.len() };
    let last = items[full.saturating_sub(1)].revision;
    items.partition_point(|item| item.revision <= last)
}
