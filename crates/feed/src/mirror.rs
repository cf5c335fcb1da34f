//! A copy of the store's records, with a log of recent changes for followers.
//!
//! For large values the copy holds only manifests; [`crate::Chunks`] holds the bytes. Invariants:
//! the position never decreases; an item older than the stored one has no effect, so updates from
//! two sources may be interleaved; a version numbered by its writer is never replaced by a lower
//! one, whatever a restored store reports; a change is kept until the log is full, after which
//! followers that are further behind receive a full listing.
//!
//! The change log has gaps. A listing shows how it differs from the previous state, but not what
//! was created and deleted in between; a listing of a later era shows the state that the store was
//! restored to. Followers receive incremental changes only if this member once had exactly their
//! state. A follower whose position falls into a gap receives a full listing. See
//! `docs/design/0016-restored-stores.md`.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};
use bergamot_wire::{Item, News, NewsQuery, Value};

/// How many changes are kept for followers: several seconds of a burst of changes.
const MAX_KEPT_CHANGES: usize = 2048;

/// How many gaps changes are sent across. A follower that is further behind receives a full
/// listing.
const MAX_SPANS: usize = 8;

/// The effect of an update on the mirror, for delivery to the sink.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// New and changed items, including deletions.
    pub items: Vec<Item>,
    /// The previous position, if the store has been restored since.
    pub restored: Option<Position>,
}

/// A copy of the store's records.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    records: BTreeMap<Name, Item>,
    /// The keys of the records in the order of their positions, so that a page of a listing costs
    /// no more than its items.
    by_position: BTreeSet<(Position, Name)>,
    /// Recent changes in the order of their positions, and of their arrival within one.
    change_log: BTreeMap<(Position, u64), Item>,
    /// How many changes were ever added to the log.
    logged: u64,
    /// All changes after this position are in `change_log`.
    complete_after: Position,
    /// The position from which changes are known without a gap.
    span_start: Position,
    /// The first and last positions of earlier gapless spans of changes, latest last.
    spans: VecDeque<(Position, Position)>,
    /// The position of the last listing. Its changes are sent all together or not at all: records
    /// that it lacks were deleted at some unknown earlier position.
    last_listing: Position,
    position: Position,
    current_as_of: Option<Instant>,
}

impl Mirror {
    /// Returns the position up to which the mirror is complete.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns how long ago the mirror was last known to be up to date, if it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_as_of.map(|moment| now.saturating_duration_since(moment))
    }

    /// Records that the mirror was up to date at `moment`.
    pub fn mark_current(&mut self, moment: Instant) {
        self.current_as_of = Some(self.current_as_of.map_or(moment, |known| known.max(moment)));
    }

    /// Applies changes, given in the order of their positions.
    pub fn update(&mut self, items: Vec<Item>, at: Position) -> Change {
        let known = self.position;
        let mut change = Change { restored: self.advance(at), ..Change::default() };
        for item in items {
            if self.apply(&item) {
                self.log_change(item.clone());
                change.items.push(item);
            } else if item.value == Value::Deleted && item.position > known {
                // A follower may know a record that was created and deleted unseen by this member.
                self.log_change(item);
            }
        }
        change
    }

    /// Advances the position, and returns the previous one if it belonged to an earlier era.
    fn advance(&mut self, at: Position) -> Option<Position> {
        let former = self.position;
        self.position = former.max(at);
        if former.is_start() {
            self.span_start = self.position;
            return None;
        }
        if former.era == self.position.era {
            return None;
        }
        self.record_gap(former);
        Some(former)
    }

    /// Records that changes between `former` and the current position are not fully known.
    fn record_gap(&mut self, former: Position) {
        self.spans.push_back((self.span_start, former));
        if self.spans.len() > MAX_SPANS {
            self.spans.pop_front();
        }
        self.span_start = self.position;
    }

    /// Applies changes received from another member. `listed` is the position of that member's last
    /// listing: changes that it missed before that position are unknown to this member as well.
    pub fn update_from_member(
        &mut self,
        items: Vec<Item>,
        at: Position,
        listed: Position,
    ) -> Change {
        let former = self.position;
        let change = self.update(items, at);
        if listed > former && !former.is_start() && former.era == at.era {
            self.record_gap(former);
        }
        self.last_listing = self.last_listing.max(listed);
        change
    }

    /// Applies a full listing; records that it does not contain have been deleted.
    ///
    /// A listing of several pages may contain a record twice, in which case the newer one is used.
    pub fn replace(&mut self, items: Vec<Item>, at: Position) -> Change {
        if at < self.position {
            // A stale listing says nothing about later changes.
            return Change::default();
        }
        let listed: HashSet<Name> = items.iter().map(|item| Name::clone(&item.key)).collect();
        let deleted: Vec<Item> = self
            .records
            .values()
            .filter(|known| !listed.contains(&known.key) && !self.survives_restore(known, at))
            .map(|known| Item { value: Value::Deleted, position: at, ..known.clone() })
            .collect();
        // After an earlier state, the difference from it is all that followers with that same state
        // need.
        if self.position.is_start() {
            self.complete_after = at;
        }
        self.last_listing = self.last_listing.max(at);
        let (former, changed) = (self.position, self.listing_changes(items, at));
        let change = self.update(changed.into_iter().chain(deleted).collect(), at);
        if !former.is_start() && former.era == at.era {
            self.record_gap(former);
        }
        change
    }

    /// Returns the items of a listing that differ from the mirror.
    ///
    /// The listing is authoritative where it differs from what was known at an earlier position.
    /// Members that received only the differences of a restore hold unchanged records under
    /// positions from before it. An item that differs but has an old position is therefore a change
    /// found by this listing, and gets the listing's position.
    fn listing_changes(&self, items: Vec<Item>, at: Position) -> Vec<Item> {
        let restored = at.era > self.position.era;
        let changed = newest(items).into_iter().filter_map(|item| {
            let known = self.records.get(&item.key);
            let same = known.is_some_and(|known| known.value == item.value);
            if item.position > self.position && !(same && restored) {
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

    /// Returns whether a record that is missing from a listing is kept. The writer of a numbered
    /// record continues its numbering after a restore, so a copy made before the first version does
    /// not mean that the record was removed.
    fn survives_restore(&self, known: &Item, at: Position) -> bool {
        at.era > self.position.era && known.version.is_some()
    }

    /// Iterates over the keys of all records.
    pub fn keys(&self) -> impl Iterator<Item = &Name> {
        self.records.keys()
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.records.get(key)
    }

    /// Applies a single record received outside of the regular updates, if it is newer than the
    /// stored one.
    pub fn insert_if_newer(&mut self, item: Item) -> Change {
        let items = if self.apply(&item) { vec![item] } else { Vec::new() };
        Change { items, ..Change::default() }
    }

    /// Answers a follower's query with the changes after its position or with a full listing, in
    /// pages of about `limit` bytes.
    ///
    /// The items of a listing are sent in the order of their positions, so the last position is
    /// enough to resume, whichever member answers. Changes made in the meantime appear on a later
    /// page, as do records deleted since the listing began.
    pub fn news(&self, query: &NewsQuery, limit: usize, now: Instant) -> News {
        let age = self.age(now);
        if query.listing.is_some_and(|since| since > self.position) {
            // This mirror may still hold records that were deleted before the listing began.
            return News { listing: query.listing, ..self.page((&[], false), age) };
        }
        let can_continue = |since: &Position| {
            self.has_changes_since(*since) && self.has_changes_since(query.known.max(*since))
        };
        if let Some(since) = query.listing.filter(can_continue) {
            return self.listing(query.after, since, limit, age);
        }
        if query.listing.is_none() && self.has_changes_since(query.after) {
            let (items, more) = page(self.changes_after(query.after), limit);
            // Changes found by a listing must fit into one reply.
            if !more || query.after >= self.last_listing {
                let news = self.page((&items, more), age);
                return News { items: newest(news.items), ..news };
            }
        }
        self.listing(Position::default(), self.position, limit, age)
    }

    /// Returns one page of a listing that began at `since`, with the items after `after`.
    fn listing(
        &self,
        after: Position,
        since: Position,
        limit: usize,
        age: Option<Duration>,
    ) -> News {
        let deleted = |item: &&Item| item.value == Value::Deleted && item.position > since;
        let deletions = self.changes_after(after).filter(deleted);
        let (items, more) = page(merge(self.records_after(after), deletions), limit);
        News { listing: Some(since), ..self.page((&items, more), age) }
    }

    /// Iterates over the records after a position, in the order of their positions.
    fn records_after(&self, after: Position) -> impl Iterator<Item = &Item> {
        let first = (after.next(), Name::from(""));
        self.by_position.range(first..).filter_map(|(_, key)| self.records.get(key))
    }

    /// Iterates over the kept changes after a position, in the order of their positions.
    fn changes_after(&self, after: Position) -> impl Iterator<Item = &Item> {
        self.change_log.range((after.next(), 0)..).map(|(_, item)| item)
    }

    /// Builds a reply from items; `more` says whether others follow them.
    fn page(&self, (items, more): (&[&Item], bool), age: Option<Duration>) -> News {
        let last = items.last().filter(|_| more);
        News {
            items: items.iter().copied().cloned().collect(),
            listing: None,
            at: last.map_or(self.position, |last| last.position),
            known: self.position,
            more,
            listed: self.last_listing,
            own_order: !self.spans.is_empty(),
            age,
            arriving: false,
        }
    }

    /// Returns whether a reply to a follower at this position would contain anything.
    pub fn has_news(&self, after: Position) -> bool {
        self.position > after || !self.has_changes_since(after)
    }

    /// Returns whether all changes after a position are kept, for a follower that is complete up to
    /// it.
    fn has_changes_since(&self, after: Position) -> bool {
        if after.era > self.position.era {
            // The follower already has everything that is known here.
            return true;
        }
        let span = |(first, last): &(Position, Position)| *first <= after && after <= *last;
        let shared = self.span_start <= after || self.spans.iter().any(span);
        shared && after >= self.complete_after
    }

    fn apply(&mut self, item: &Item) -> bool {
        let known = self.records.get(&item.key);
        let older = |known: &Item| match item.value {
            Value::Deleted => known.position >= item.position,
            Value::Inline(_) | Value::Chunked(_) => known.rank() >= item.rank(),
        };
        if known.is_some_and(older) {
            return false;
        }
        let known = self.records.remove(&item.key);
        if let Some(known) = &known {
            self.by_position.remove(&(known.position, Name::clone(&known.key)));
        }
        if item.value == Value::Deleted {
            return known.is_some();
        }
        self.by_position.insert((item.position, Name::clone(&item.key)));
        self.records.insert(Name::clone(&item.key), item.clone());
        true
    }

    fn log_change(&mut self, item: Item) {
        self.logged += 1;
        self.change_log.insert((item.position, self.logged), item);
        if self.change_log.len() > MAX_KEPT_CHANGES
            && let Some((_, dropped)) = self.change_log.pop_first()
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

/// Merges two sequences that are in the order of their positions.
fn merge<'a>(
    first: impl Iterator<Item = &'a Item>,
    second: impl Iterator<Item = &'a Item>,
) -> impl Iterator<Item = &'a Item> {
    let (mut first, mut second) = (first.peekable(), second.peekable());
    std::iter::from_fn(move || match (first.peek(), second.peek()) {
        (Some(a), Some(b)) if b.position < a.position => second.next(),
        (Some(_), _) => first.next(),
        (None, _) => second.next(),
    })
}

/// Takes a page of about `limit` bytes from items in the order of their positions, and returns
/// whether there are more. A page has at least one item and never splits items of the same position.
fn page<'a>(items: impl Iterator<Item = &'a Item>, limit: usize) -> (Vec<&'a Item>, bool) {
    let (mut page, mut size) = (Vec::<&Item>::new(), 0);
    for item in items {
        size += item.size();
        if size > limit && page.last().is_some_and(|last| last.position < item.position) {
            return (page, true);
        }
        page.push(item);
    }
    (page, false)
}
