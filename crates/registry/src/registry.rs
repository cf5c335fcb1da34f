//! The published searchers, and which of them may receive new requests.
//!
//! The registry holds one incarnation of each searcher, the one with the latest known start time.
//! If an entry is removed from the store, or is overwritten with something that is not a
//! searcher's entry, the searcher is kept for a grace period before it counts as departed: while
//! the store is unavailable, entries of live searchers expire, and a live searcher writes its
//! entry again. During the grace period the searcher is missing, and is used only if there is no
//! alternative.
//!
//! An entry with an earlier start time than the known one is either stale, or the clock of the
//! searcher was set back before it restarted. It is adopted if it is still there after a time in
//! which a live later incarnation would have overwritten it.
//!
//! A store that was restored from a copy lists departed searchers again. Their entries are adopted
//! if they are still there after a time in which the entry of a dead searcher would have expired.
//!
//! Invariants: draining is final for an incarnation; an incarnation that is known to have ended
//! never returns; a searcher is listed only under the service of its current incarnation.
//! See `docs/design/0011-incarnations.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_policy::Doubt;

use crate::departed::Departed;
use crate::upstream::{Incarnation, State, Upstream};

/// For how many searchers the last ended incarnation is remembered, since stale reads may still
/// list it.
const MAX_ENDED: usize = 4096;

/// Why the entry of a searcher is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// It was removed from the store or has expired.
    Removed,
    /// It was overwritten with something that is not an entry of the known incarnation.
    Overwritten,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    /// Why and since when the entry is missing in the store, if it is.
    missing: Option<(Absence, Instant)>,
}

/// An entry with an earlier start time than the known incarnation.
#[derive(Clone, Debug)]
struct EarlierEntry {
    upstream: Upstream,
    /// When it was first seen.
    since: Instant,
}

/// The searchers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceIndex {
    ids: BTreeSet<Name>,
    /// The value of [`Registry::revision`] at the last change of any of them.
    revision: u64,
}

/// The published searchers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: Doubt,
    entries: BTreeMap<Name, Entry>,
    /// The searchers whose entry is missing.
    missing: BTreeSet<Name>,
    /// The incarnations that were added, removed or changed since
    /// [`Registry::take_changed`] was last called.
    changed: BTreeSet<Incarnation>,
    by_service: HashMap<Name, ServiceIndex>,
    /// The start time of the last ended incarnation, of each searcher without a live one.
    ended: HashMap<Name, Option<u64>>,
    ended_order: VecDeque<Name>,
    /// The searchers whose entries were lost without their end being observed.
    departed: Departed,
    earlier: BTreeMap<Name, EarlierEntry>,
    /// How often a searcher was added, removed or changed.
    changes: u64,
    /// How often anything was changed that [`Registry::usable`] returns.
    revision: u64,
    /// How many of the known searchers publish a start time.
    with_start_time: usize,
    /// When the store last became available again.
    store_back_at: Option<Instant>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(policy: Doubt) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Processes the entry of a searcher, and returns whether anything changed.
    pub fn publish(&mut self, upstream: Upstream, now: Instant) -> bool {
        let Incarnation { id, start_time_ms } = upstream.incarnation.clone();
        if start_time_ms.is_none() && self.expects_start_times() {
            // Searchers publish start times here, so this entry was written by something else.
            return self.overwrite_entry(&id, now);
        }
        let known = self.entries.get(&id).map(|entry| entry.upstream.incarnation.start_time_ms);
        let ended = self.ended.get(&id).copied();
        match known.or(ended) {
            Some(latest) if start_time_ms < latest => self.insert_earlier(upstream, now),
            Some(latest) if start_time_ms == latest && known.is_none() => false,
            Some(latest) if start_time_ms == latest => self.renew(upstream, now),
            None if self.departed.try_hold(&upstream, now) => false,
            Some(_) | None => {
                self.insert(upstream, now);
                true
            }
        }
    }

    /// Records that the entry of a searcher was removed from the store; it may return. Returns
    /// whether anything changed.
    pub fn remove_entry(&mut self, id: &str, now: Instant) -> bool {
        self.earlier.remove(id);
        self.departed.drop_held(id);
        self.mark_missing(id, (Absence::Removed, now))
    }

    /// Records that the entry of a searcher, if there was one, was overwritten with something that
    /// is not a searcher's entry; a live searcher writes it again. Returns whether anything
    /// changed.
    pub fn overwrite_entry(&mut self, id: &str, now: Instant) -> bool {
        self.earlier.remove(id);
        self.departed.drop_held(id);
        self.mark_missing(id, (Absence::Overwritten, now))
    }

    /// Processes a full listing of the store: entries that are not in it were removed.
    pub fn replace(&mut self, listing: Vec<Upstream>, now: Instant) {
        let listed: BTreeSet<Name> =
            listing.iter().map(|upstream| Name::clone(&upstream.incarnation.id)).collect();
        for upstream in listing {
            self.publish(upstream, now);
        }
        self.earlier.retain(|id, _| listed.contains(id));
        self.departed.retain_held(&listed);
        let missing: Vec<Name> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.remove_entry(&id, now);
        }
    }

    /// Records that the store is available again, after it was unavailable for so long that
    /// entries of live searchers may have expired.
    pub fn store_recovered(&mut self, now: Instant) {
        self.store_back_at = Some(now);
    }

    /// Records that the store was restored from a copy, in which the entry of a dead searcher
    /// expires after `expiry`.
    ///
    /// Searchers whose latest entry is not in the copy are missing until they write again.
    /// Searchers whose entries had been removed depart at once, since the copy would otherwise
    /// bring them back.
    pub fn store_restored(&mut self, now: Instant, expiry: Duration) {
        let is_removed = |id: &&Name| {
            let entry = self.entries.get(*id);
            matches!(entry.and_then(|entry| entry.missing), Some((Absence::Removed, _)))
        };
        let removed: Vec<Name> = self.missing.iter().filter(is_removed).cloned().collect();
        for id in removed {
            self.remove(&id, false);
        }
        self.departed.hold_until(now + expiry);
        self.store_recovered(now);
    }

    /// Records that an incarnation has ended permanently, and returns whether it was known.
    pub fn end_incarnation(&mut self, incarnation: &Incarnation) -> bool {
        self.contains(incarnation) && self.remove(&incarnation.id, true)
    }

    /// Removes the searchers whose grace period is over, and adopts earlier incarnations whose
    /// entries are still there. Returns the incarnations that were removed or replaced.
    ///
    /// Nothing changes while the store is unavailable, since no entry could return.
    pub fn expire(&mut self, now: Instant, store_is_unavailable: bool) -> Vec<Incarnation> {
        if store_is_unavailable {
            return Vec::new();
        }
        let is_confirmed = |earlier: &EarlierEntry| {
            now >= self.grace_period_end(Absence::Overwritten, earlier.since)
        };
        let confirmed: Vec<Name> = self
            .earlier
            .iter()
            .filter(|(_, earlier)| is_confirmed(earlier))
            .map(|(id, _)| Name::clone(id))
            .collect();
        let mut removed = Vec::new();
        for id in confirmed {
            removed.extend(self.entries.get(&id).map(|entry| entry.upstream.incarnation.clone()));
            if let Some(earlier) = self.earlier.remove(&id) {
                self.insert(earlier.upstream, now);
            }
        }
        for upstream in self.departed.take_released(now) {
            self.insert(upstream, now);
        }
        let is_overdue = |entry: &Entry| {
            entry
                .missing
                .is_some_and(|(absence, since)| now >= self.grace_period_end(absence, since))
        };
        let missing = self.missing.iter().filter_map(|id| self.entries.get(id));
        let overdue: Vec<Arc<Upstream>> = missing
            .filter(|entry| is_overdue(entry))
            .map(|entry| Arc::clone(&entry.upstream))
            .collect();
        for upstream in overdue {
            // The same incarnation may return if only its entry was lost.
            let has_ended = upstream.state == State::Draining;
            self.remove(&upstream.incarnation.id, has_ended);
            removed.push(upstream.incarnation.clone());
        }
        removed
    }

    /// Iterates over the searchers of a service that may receive new requests, each with whether
    /// its entry is missing at the moment.
    pub fn usable(&self, service: &str) -> impl Iterator<Item = (&Arc<Upstream>, bool)> {
        self.by_service
            .get(service)
            .into_iter()
            .flat_map(|index| &index.ids)
            .filter_map(|id| self.entries.get(id))
            .filter(|entry| entry.upstream.state == State::Ready)
            .map(|entry| (&entry.upstream, entry.missing.is_some()))
    }

    /// Returns a number that changes whenever [`Registry::usable`] returns something else for a
    /// service; zero if the service has no searchers.
    pub fn service_revision(&self, service: &str) -> u64 {
        self.by_service.get(service).map_or(0, |index| index.revision)
    }

    /// Returns whether new requests may be sent to an incarnation.
    pub fn takes_work(&self, incarnation: &Incarnation) -> bool {
        self.known(incarnation).is_some_and(|entry| entry.upstream.state == State::Ready)
    }

    /// Returns the entry of an incarnation, if it is known.
    pub fn get(&self, incarnation: &Incarnation) -> Option<&Arc<Upstream>> {
        self.known(incarnation).map(|entry| &entry.upstream)
    }

    /// Returns whether an incarnation is known.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.known(incarnation).is_some()
    }

    /// Iterates over all known searchers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns how often a searcher was added, removed or changed so far. While it stays the same,
    /// so does the set of searchers that may receive requests.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the incarnations that were added, removed or changed since the last call, so that
    /// what is derived from them costs no more than what has changed.
    pub fn take_changed(&mut self) -> BTreeSet<Incarnation> {
        std::mem::take(&mut self.changed)
    }

    /// Returns how many searchers are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no searcher is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn known(&self, incarnation: &Incarnation) -> Option<&Entry> {
        let entry = self.entries.get(&incarnation.id)?;
        (entry.upstream.incarnation.start_time_ms == incarnation.start_time_ms).then_some(entry)
    }

    /// Processes a new entry of the known incarnation.
    fn renew(&mut self, mut upstream: Upstream, now: Instant) -> bool {
        let id = Name::clone(&upstream.incarnation.id);
        let earlier = self.earlier.remove(&id).is_some();
        let Some(known) = self.entries.get(&id) else { return false };
        if known.upstream.state == State::Draining {
            upstream.state = State::Draining;
        }
        if known.missing.is_none() && !earlier && known.upstream.is_same_but_warmth(&upstream) {
            return self.set_warmth(upstream, now);
        }
        self.insert(upstream, now);
        true
    }

    /// Replaces a searcher by one that differs at most in its warm-up, and returns whether it has
    /// become cold.
    ///
    /// A searcher may become cold at any time. Its last word counts: the warm-up that an earlier
    /// entry stated has been interrupted.
    fn set_warmth(&mut self, upstream: Upstream, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&upstream.incarnation.id) else { return false };
        let became_cold = upstream.is_cold(now) && !entry.upstream.is_cold(now);
        let service = Name::clone(&upstream.service);
        entry.upstream = Arc::new(upstream);
        self.touch_service(&service);
        became_cold
    }

    /// Records that the searchers of a service have changed.
    fn touch_service(&mut self, service: &str) {
        self.revision += 1;
        if let Some(index) = self.by_service.get_mut(service) {
            index.revision = self.revision;
        }
    }

    /// Inserts an incarnation in place of the known state of its searcher.
    fn insert(&mut self, upstream: Upstream, now: Instant) {
        let id = Name::clone(&upstream.incarnation.id);
        let expected_start_times = self.expects_start_times();
        self.changes += 1;
        self.earlier.remove(&id);
        self.departed.remove(&id);
        if let Some(before) = self.entries.remove(&id) {
            self.remove_from_indexes(&before.upstream);
        }
        self.changed.insert(upstream.incarnation.clone());
        self.with_start_time += usize::from(upstream.incarnation.start_time_ms.is_some());
        if self.ended.remove(&id).is_some() {
            self.ended_order.retain(|ended| *ended != id);
        }
        let service = Name::clone(&upstream.service);
        let index = self.by_service.entry(Name::clone(&service)).or_default();
        index.ids.insert(Name::clone(&id));
        self.touch_service(&service);
        self.entries.insert(id, Entry { upstream: Arc::new(upstream), missing: None });
        if !expected_start_times && self.expects_start_times() {
            self.mark_entries_without_start_time(now);
        }
    }

    /// Returns whether searchers are expected to publish start times, because most known ones do. A
    /// single entry of another writer must not invalidate all others.
    fn expects_start_times(&self) -> bool {
        self.with_start_time * 2 > self.entries.len()
    }

    /// Records an entry with an earlier start time, which overwrote that of the known incarnation.
    fn insert_earlier(&mut self, upstream: Upstream, now: Instant) -> bool {
        let id = Name::clone(&upstream.incarnation.id);
        let known = self
            .earlier
            .get(&id)
            .filter(|known| known.upstream.incarnation == upstream.incarnation);
        let since = known.map_or(now, |known| known.since);
        self.earlier.insert(Name::clone(&id), EarlierEntry { upstream, since });
        self.mark_missing(&id, (Absence::Overwritten, now))
    }

    /// Marks the entry of a known searcher as missing, and returns whether it was present before.
    fn mark_missing(&mut self, id: &str, missing: (Absence, Instant)) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let draining = entry.upstream.state == State::Draining;
        if missing.0 == Absence::Removed && (draining || !self.policy.on) {
            return self.remove(id, true);
        }
        let before = entry.missing.map(|(absence, _)| absence);
        // A removal is stronger evidence than an overwrite.
        if before.is_none() || (before, missing.0) == (Some(Absence::Overwritten), Absence::Removed)
        {
            entry.missing = Some(missing);
            let service = Name::clone(&entry.upstream.service);
            self.missing.insert(Name::from(id));
            self.touch_service(&service);
        }
        before.is_none()
    }

    /// Removes a known searcher, whose incarnation has ended permanently or may return.
    fn remove(&mut self, id: &str, has_ended: bool) -> bool {
        let Some((id, entry)) = self.entries.remove_entry(id) else {
            return false;
        };
        self.changes += 1;
        self.remove_from_indexes(&entry.upstream);
        if !has_ended {
            self.departed.insert(&entry.upstream.incarnation);
            return true;
        }
        self.ended.insert(Name::clone(&id), entry.upstream.incarnation.start_time_ms);
        self.ended_order.push_back(id);
        if self.ended_order.len() > MAX_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        true
    }

    /// Removes a searcher without an entry from the data derived from the entries.
    fn remove_from_indexes(&mut self, upstream: &Upstream) {
        self.changed.insert(upstream.incarnation.clone());
        self.missing.remove(&upstream.incarnation.id);
        self.with_start_time -= usize::from(upstream.incarnation.start_time_ms.is_some());
        self.touch_service(&upstream.service);
        if let Some(index) = self.by_service.get_mut(&upstream.service) {
            index.ids.remove(&upstream.incarnation.id);
            if index.ids.is_empty() {
                self.by_service.remove(&upstream.service);
            }
        }
    }

    /// Marks the entries without a start time as overwritten.
    fn mark_entries_without_start_time(&mut self, now: Instant) {
        let ids: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| entry.upstream.incarnation.start_time_ms.is_none())
            .map(|entry| Name::clone(&entry.upstream.incarnation.id))
            .collect();
        for id in ids {
            self.overwrite_entry(&id, now);
        }
    }

    /// Returns until when a missing entry may return.
    fn grace_period_end(&self, absence: Absence, since: Instant) -> Instant {
        let grace_period = match absence {
            Absence::Removed => self.policy.usual,
            Absence::Overwritten => self.policy.overwritten,
        };
        let end = since + grace_period;
        self.store_back_at.map_or(end, |back| end.max(back + self.policy.outage))
    }
}
