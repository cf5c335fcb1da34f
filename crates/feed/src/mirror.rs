//! A copy of the store's records, with the changes of late for those who follow.
//!
//! Of large values the copy holds their manifests alone; [`crate::Chunks`] holds their bytes.
//! Invariants: the position never falls; an item older than the one that is held changes
//! nothing, so two sources may be mixed; a version that a writer has numbered never gives way to a
//! lower one, whatever a restored store says; a change is kept until so many others follow it
//! that its followers are told everything instead.
//!
//! Changes have gaps: a listing tells what differs from the state before it and not what came and
//! went meanwhile, and one of a later era tells what the store was restored to. Followers are told
//! the changes if this member has had the very state that they have; whoever knows what fell into a
//! gap is told everything. See `docs/design/0016-restored-stores.md`.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_wire::{Item, News, NewsQuery, Value};

/// How many changes are kept for followers: several seconds of a storm of changes.
const KEPT: usize = 2048;

/// Over how many gaps the changes are told: whoever is further behind is told everything.
const SPANS: usize = 8;

/// What has changed at this member, to be taken in by its relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The items that are new, deletions among them.
    pub items: Vec<Item>,
    /// The position that was known before, if the store has been restored since.
    pub restored: Option<Position>,
}

/// A copy of the store's records.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    records: BTreeMap<Name, Item>,
    recent: VecDeque<Item>,
    /// Changes after this position are all in `recent`.
    complete_after: Position,
    /// Where the changes began that are known without a gap.
    entered: Position,
    /// The first and the last position of earlier changes without a gap, the latest last.
    spans: VecDeque<(Position, Position)>,
    /// The position of the last listing. Its changes are known all or none: what it lacks has been
    /// deleted at some earlier position.
    listed: Position,
    at: Position,
    fresh: Option<Instant>,
}

impl Mirror {
    /// Returns the position up to which everything is known.
    pub fn at(&self) -> Position {
        self.at
    }

    /// Returns how long ago it was certain that nothing newer exists, if it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|fresh| now.saturating_duration_since(fresh))
    }

    /// Notes at which moment everything up to the position was known.
    pub fn refresh(&mut self, moment: Instant) {
        self.fresh = Some(self.fresh.map_or(moment, |fresh| fresh.max(moment)));
    }

    /// Takes in changes, in the order of their positions.
    pub fn update(&mut self, items: Vec<Item>, at: Position) -> Change {
        let known = self.at;
        let mut change = Change { restored: self.advance(at), ..Change::default() };
        for item in items {
            if self.hold(&item) {
                self.keep(item.clone());
                change.items.push(item);
            } else if item.value == Value::Deleted && item.position > known {
                // Whoever follows may know what came and went unseen here.
                self.keep(item);
            }
        }
        change
    }

    /// Moves the position, and returns the former one if it was of an earlier era.
    fn advance(&mut self, at: Position) -> Option<Position> {
        let former = self.at;
        self.at = former.max(at);
        if former.is_start() {
            self.entered = self.at;
            return None;
        }
        if former.era == self.at.era {
            return None;
        }
        self.note_gap(former);
        Some(former)
    }

    /// Notes that the changes up to here have not all been told since a position.
    fn note_gap(&mut self, former: Position) {
        self.spans.push_back((self.entered, former));
        if self.spans.len() > SPANS {
            self.spans.pop_front();
        }
        self.entered = self.at;
    }

    /// Takes in the changes that another member tells, the last of whose listings it had at
    /// `listed`: what fell into the gap before is unknown here as well.
    pub fn follow(&mut self, items: Vec<Item>, at: Position, listed: Position) -> Change {
        let former = self.at;
        let change = self.update(items, at);
        if listed > former && !former.is_start() && former.era == at.era {
            self.note_gap(former);
        }
        self.listed = self.listed.max(listed);
        change
    }

    /// Takes in a listing of everything: what it doesn't name has been deleted.
    ///
    /// A listing of several pages may name a record twice; the newer holds.
    pub fn replace(&mut self, items: Vec<Item>, at: Position) -> Change {
        if at < self.at {
            // A stale listing says nothing about what came after it.
            return Change::default();
        }
        let listed: HashSet<Name> = items.iter().map(|item| Name::clone(&item.key)).collect();
        let deleted: Vec<Item> = self
            .records
            .values()
            .filter(|known| !listed.contains(&known.key) && !self.outlives(known, at))
            .map(|known| Item { value: Value::Deleted, position: at, ..known.clone() })
            .collect();
        // What differs from an earlier state tells those who share it all that they need.
        if self.at.is_start() {
            self.complete_after = at;
        }
        self.listed = self.listed.max(at);
        let (former, changed) = (self.at, self.changed(items, at));
        let change = self.update(changed.into_iter().chain(deleted).collect(), at);
        if !former.is_start() && former.era == at.era {
            self.note_gap(former);
        }
        change
    }

    /// Keeps what a listing changes.
    ///
    /// The listing is right wherever it differs from what was known up to an earlier position.
    /// Members that were told alone what a restore has changed know the rest under positions of
    /// before, so a change that seems to be old has come with the listing.
    fn changed(&self, items: Vec<Item>, at: Position) -> Vec<Item> {
        let restored = at.era > self.at.era;
        let changed = newest(items).into_iter().filter_map(|item| {
            let known = self.records.get(&item.key);
            let same = known.is_some_and(|known| known.value == item.value);
            if item.position > self.at && !(same && restored) {
                return Some(item);
            }
            let beyond = known.is_some_and(|known| known.position > at);
            let outranked = known.is_some_and(|known| known.version > item.version);
            if outranked {
                return None;
            }
            (!same && !beyond).then_some(Item { position: at, ..item })
        });
        changed.collect()
    }

    /// Tells whether a record that a listing lacks stays all the same: its writer numbers its
    /// versions and will go on from there, and a copy from before the first is no removal.
    fn outlives(&self, known: &Item, at: Position) -> bool {
        at.era > self.at.era && known.version.is_some()
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.records.get(key)
    }

    /// Takes in one record apart from all others, if it is newer than what is held.
    pub fn adopt(&mut self, item: Item) -> Change {
        let items = if self.hold(&item) { vec![item] } else { Vec::new() };
        Change { items, ..Change::default() }
    }

    /// Tells a follower what has changed after a position, or everything, in pages of about
    /// `limit` bytes.
    ///
    /// The items of a listing come in the order of their positions, so the position of the
    /// last one is all that the next question must say, whoever answers it: what changed
    /// meanwhile is in a later page, and what was deleted since the listing began as well.
    pub fn news(&self, query: &NewsQuery, limit: usize, now: Instant) -> News {
        let age = self.age(now);
        if query.listing.is_some_and(|since| since > self.at) {
            // What was deleted before the listing began may still be held here.
            return News { listing: query.listing, ..self.page((&[], false), age) };
        }
        let goes_on = |since: &Position| {
            self.tells_after(*since) && self.tells_after(query.known.max(*since))
        };
        if let Some(since) = query.listing.filter(goes_on) {
            return self.listing(query.after, since, limit, age);
        }
        if query.listing.is_none() && self.tells_after(query.after) {
            let newer = |item: &&Item| item.position > query.after;
            let items = sorted(self.recent.iter().filter(newer));
            let length = page(&items, limit);
            let more = length < items.len();
            // The changes of a listing are told all at once.
            if !more || query.after >= self.listed {
                let news = self.page((&items[..length], more), age);
                return News { items: newest(news.items), ..news };
            }
        }
        self.listing(Position::default(), self.at, limit, age)
    }

    /// Tells a page of everything after a position, of a listing that began at another one.
    fn listing(
        &self,
        after: Position,
        since: Position,
        limit: usize,
        age: Option<Duration>,
    ) -> News {
        let newer = |item: &&Item| item.position > after;
        let deleted = |item: &&Item| item.value == Value::Deleted && item.position > since;
        let deletions = self.recent.iter().filter(newer).filter(deleted);
        let items = sorted(self.records.values().filter(newer).chain(deletions));
        let length = page(&items, limit);
        let news = self.page((&items[..length], length < items.len()), age);
        News { listing: Some(since), ..news }
    }

    /// Makes an answer of items, and of whether there are more after them.
    fn page(&self, (items, more): (&[&Item], bool), age: Option<Duration>) -> News {
        let last = items.last().filter(|_| more);
        News {
            items: items.iter().copied().cloned().collect(),
            listing: None,
            at: last.map_or(self.at, |last| last.position),
            known: self.at,
            more,
            listed: self.listed,
            own_order: !self.spans.is_empty(),
            age,
            arriving: false,
        }
    }

    /// Tells whether a follower would be told anything.
    pub fn has_news(&self, after: Position) -> bool {
        self.at > after || !self.tells_after(after)
    }

    /// Tells whether all that changed after a position is kept, for one who knows everything up
    /// to there.
    fn tells_after(&self, after: Position) -> bool {
        if after.era > self.at.era {
            // Nothing is known here that the other one lacks.
            return true;
        }
        let span = |(first, last): &(Position, Position)| *first <= after && after <= *last;
        let shared = self.entered <= after || self.spans.iter().any(span);
        shared && after >= self.complete_after
    }

    fn hold(&mut self, item: &Item) -> bool {
        let known = self.records.get(&item.key);
        let older = |known: &Item| match item.value {
            Value::Deleted => known.position >= item.position,
            Value::Inline(_) | Value::Chunked(_) => known.rank() >= item.rank(),
        };
        if known.is_some_and(older) {
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
            self.complete_after = self.complete_after.max(dropped.position);
        }
    }
}

/// Keeps the newest item of each key, in the order of their positions.
fn newest(items: Vec<Item>) -> Vec<Item> {
    let mut newest = BTreeMap::<Name, Item>::new();
    for item in items {
        let known = newest.get(&item.key);
        if known.is_none_or(|known| known.rank() <= item.rank()) {
            newest.insert(Name::clone(&item.key), item);
        }
    }
    let mut items: Vec<Item> = newest.into_values().collect();
    items.sort_by_key(|item| item.position);
    items
}

fn sorted<'a>(items: impl Iterator<Item = &'a Item>) -> Vec<&'a Item> {
    let mut items: Vec<&Item> = items.collect();
    items.sort_by_key(|item| item.position);
    items
}

/// Returns how many items, sorted by position, make a page of about `limit` bytes: one at
/// least, and never a part of those that share a position.
fn page(items: &[&Item], limit: usize) -> usize {
    let mut size = 0;
    let full = items.iter().position(|item| {
        size += item.size();
        size > limit
    });
    let Some(full) = full else { return items.len() };
    let last = items[full.saturating_sub(1)].position;
    items.partition_point(|item| item.position <= last)
}
