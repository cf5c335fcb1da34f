//! The published searchers and which of them may get new work.
//!
//! Of each searcher the registry holds one incarnation, the one of the latest start that it
//! knows of. An entry that disappears, or is overwritten with something that names no
//! searcher, is held for a short time before the searcher counts as gone: entries expire while
//! the store is away although their searchers live, and a living searcher writes its entry
//! again. Such a searcher is doubtful meanwhile, to be asked only where no other can be.
//!
//! An entry of an earlier start than the known one is left over, or the searcher's clock was
//! set back before it started again. It counts once it has stood for so long that a living
//! later start would have written over it.
//!
//! A store that was restored from a copy names searchers again that were gone: their entries
//! count once they have stood for so long that a dead searcher's would have expired.
//!
//! Invariants: within an incarnation, draining is final; an incarnation that is known to have
//! ended never returns; a searcher is listed under the service of its incarnation alone.
//! See `docs/design/0011-incarnations.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_policy::Doubt;

use crate::gone::Gone;
use crate::upstream::{Incarnation, State, Upstream};

/// How many searchers are remembered whose last incarnation has ended, against stale reads that
/// still list it.
const MOST_ENDED: usize = 4096;

/// Why the entry of a searcher is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// It was removed, or has expired.
    Removed,
    /// Something else stands in its place.
    Overwritten,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    missing: Option<(Absence, Instant)>,
}

/// An entry of an earlier start than the known one.
#[derive(Clone, Debug)]
struct Earlier {
    upstream: Upstream,
    since: Instant,
}

/// The published searchers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: Doubt,
    entries: BTreeMap<Name, Entry>,
    by_service: BTreeMap<Name, BTreeSet<Name>>,
    /// The last incarnation that has ended, of each searcher without an entry.
    ended: HashMap<Name, Option<u64>>,
    ended_order: VecDeque<Name>,
    /// Those whose entries have gone without an end that was known.
    gone: Gone,
    earlier: BTreeMap<Name, Earlier>,
    /// How often a searcher came, went or changed.
    changes: u64,
    /// How many of the known searchers say when they started.
    born: usize,
    regained: Option<Instant>,
}

impl Registry {
    /// Starts empty.
    pub fn new(policy: Doubt) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Takes in the entry of a searcher and tells whether it changed anything.
    pub fn publish(&mut self, upstream: Upstream, now: Instant) -> bool {
        let Incarnation { id, born } = upstream.incarnation.clone();
        if born.is_none() && self.states_births() {
            // Searchers here say when they started: this is no searcher's entry.
            return self.overwrite(&id, now);
        }
        let known = self.entries.get(&id).map(|entry| entry.upstream.incarnation.born);
        let ended = self.ended.get(&id).copied();
        match known.or(ended) {
            Some(latest) if born < latest => self.note_earlier(upstream, now),
            Some(latest) if born == latest && known.is_none() => false,
            Some(latest) if born == latest => self.renew(upstream, now),
            None if self.gone.holds_back(&upstream, now) => false,
            Some(_) | None => {
                self.insert(upstream, now);
                true
            }
        }
    }

    /// Notes that the entry of a searcher disappeared; it may return.
    pub fn disappear(&mut self, id: &str, now: Instant) -> bool {
        self.earlier.remove(id);
        self.gone.disappear(id);
        self.lose(id, (Absence::Removed, now))
    }

    /// Notes that something which names no searcher stands where the entry of one may have
    /// been; a living searcher writes it again.
    pub fn overwrite(&mut self, id: &str, now: Instant) -> bool {
        self.earlier.remove(id);
        self.gone.disappear(id);
        self.lose(id, (Absence::Overwritten, now))
    }

    /// Takes in a whole listing: what it doesn't name has disappeared.
    pub fn replace(&mut self, listing: Vec<Upstream>, now: Instant) {
        let listed: BTreeSet<Name> =
            listing.iter().map(|upstream| Name::clone(&upstream.incarnation.id)).collect();
        for upstream in listing {
            self.publish(upstream, now);
        }
        self.earlier.retain(|id, _| listed.contains(id));
        self.gone.retain(&listed);
        let missing: Vec<Name> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.disappear(&id, now);
        }
    }

    /// Notes that the store can be read again after it could not be for so long that entries
    /// of living searchers have expired.
    pub fn regained(&mut self, now: Instant) {
        self.regained = Some(now);
    }

    /// Notes that the store was restored from a copy, in which the entry of a dead searcher
    /// stands for `expiry`.
    ///
    /// Searchers that have written since the copy are missing until they write again. Those whose
    /// entries were removed before are gone at once, or the copy would bring them back.
    pub fn restored(&mut self, now: Instant, expiry: Duration) {
        let removed = |entry: &&Entry| matches!(entry.missing, Some((Absence::Removed, _)));
        let removed: Vec<Name> = self
            .entries
            .values()
            .filter(removed)
            .map(|entry| Name::clone(&entry.upstream.incarnation.id))
            .collect();
        for id in removed {
            self.remove(&id, false);
        }
        self.gone.restored(now + expiry);
        self.regained(now);
    }

    /// Notes that an incarnation has ended for good, and tells whether it was known.
    pub fn end(&mut self, incarnation: &Incarnation) -> bool {
        self.contains(incarnation) && self.remove(&incarnation.id, true)
    }

    /// Removes the searchers whose entries did not return in time and names them, and takes in
    /// the earlier starts whose entries still stand.
    ///
    /// While the store is away nothing changes, since nothing could return.
    pub fn expire(&mut self, now: Instant, store_is_away: bool) -> Vec<Incarnation> {
        if store_is_away {
            return Vec::new();
        }
        let proven = |earlier: &Earlier| now >= self.until(Absence::Overwritten, earlier.since);
        let proven: Vec<Name> = self
            .earlier
            .iter()
            .filter(|(_, earlier)| proven(earlier))
            .map(|(id, _)| Name::clone(id))
            .collect();
        let mut gone = Vec::new();
        for id in proven {
            gone.extend(self.entries.get(&id).map(|entry| entry.upstream.incarnation.clone()));
            if let Some(earlier) = self.earlier.remove(&id) {
                self.insert(earlier.upstream, now);
            }
        }
        for upstream in self.gone.proven(now) {
            self.insert(upstream, now);
        }
        let late = |entry: &Entry| {
            entry.missing.is_some_and(|(absence, since)| now >= self.until(absence, since))
        };
        let late: Vec<Arc<Upstream>> = self
            .entries
            .values()
            .filter(|entry| late(entry))
            .map(|entry| Arc::clone(&entry.upstream))
            .collect();
        for upstream in late {
            // It may come back as the same incarnation, if only its entry was away.
            let for_good = upstream.state == State::Draining;
            self.remove(&upstream.incarnation.id, for_good);
            gone.push(upstream.incarnation.clone());
        }
        gone
    }

    /// Iterates over the searchers of a service that may get new work, with whether their
    /// entry is missing at the moment.
    pub fn usable(&self, service: &str) -> impl Iterator<Item = (&Arc<Upstream>, bool)> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.entries.get(id))
            .filter(|entry| entry.upstream.state == State::Ready)
            .map(|entry| (&entry.upstream, entry.missing.is_some()))
    }

    /// Tells whether new work may be sent to an incarnation.
    pub fn takes_work(&self, incarnation: &Incarnation) -> bool {
        self.known(incarnation).is_some_and(|entry| entry.upstream.state == State::Ready)
    }

    /// Tells whether an incarnation is known.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.known(incarnation).is_some()
    }

    /// Iterates over all known searchers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns how often a searcher came, went or changed so far; without a change who may get
    /// work is the same.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns how many searchers are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no searcher is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn known(&self, incarnation: &Incarnation) -> Option<&Entry> {
        let entry = self.entries.get(&incarnation.id)?;
        (entry.upstream.incarnation.born == incarnation.born).then_some(entry)
    }

    /// Takes in what the known incarnation says of itself now.
    fn renew(&mut self, mut upstream: Upstream, now: Instant) -> bool {
        let id = Name::clone(&upstream.incarnation.id);
        let earlier = self.earlier.remove(&id).is_some();
        let Some(known) = self.entries.get(&id) else { return false };
        if known.upstream.state == State::Draining {
            upstream.state = State::Draining;
        }
        // Read later, the same entry seems to be slow until later.
        upstream.warm_at = upstream.warm_at.min(known.upstream.warm_at);
        if known.missing.is_none() && !earlier && *known.upstream == upstream {
            return false;
        }
        self.insert(upstream, now);
        true
    }

    /// Puts an incarnation in the place of whatever is known of its searcher.
    fn insert(&mut self, upstream: Upstream, now: Instant) {
        let id = Name::clone(&upstream.incarnation.id);
        let stated = self.states_births();
        self.changes += 1;
        self.earlier.remove(&id);
        self.gone.forget(&id);
        if let Some(before) = self.entries.remove(&id) {
            self.unlist(&before.upstream);
        }
        self.born += usize::from(upstream.incarnation.born.is_some());
        if self.ended.remove(&id).is_some() {
            self.ended_order.retain(|ended| *ended != id);
        }
        let service = Name::clone(&upstream.service);
        self.by_service.entry(service).or_default().insert(Name::clone(&id));
        self.entries.insert(id, Entry { upstream: Arc::new(upstream), missing: None });
        if !stated && self.states_births() {
            self.doubt_unborn(now);
        }
    }

    /// Tells whether searchers here say when they started: most of them do. A single entry of
    /// another writer must not put all others in doubt.
    fn states_births(&self) -> bool {
        self.born * 2 > self.entries.len()
    }

    /// Notes an entry of an earlier start; the known one has lost its own.
    fn note_earlier(&mut self, upstream: Upstream, now: Instant) -> bool {
        let id = Name::clone(&upstream.incarnation.id);
        let noted = self
            .earlier
            .get(&id)
            .filter(|noted| noted.upstream.incarnation == upstream.incarnation);
        let since = noted.map_or(now, |noted| noted.since);
        self.earlier.insert(Name::clone(&id), Earlier { upstream, since });
        self.lose(&id, (Absence::Overwritten, now))
    }

    /// Notes that a known searcher has no entry any more, and tells whether it had one.
    fn lose(&mut self, id: &str, missing: (Absence, Instant)) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let draining = entry.upstream.state == State::Draining;
        if missing.0 == Absence::Removed && (draining || !self.policy.on) {
            return self.remove(id, true);
        }
        let before = entry.missing.map(|(absence, _)| absence);
        // A removal is the more certain news.
        if before.is_none() || (before, missing.0) == (Some(Absence::Overwritten), Absence::Removed)
        {
            entry.missing = Some(missing);
        }
        before.is_none()
    }

    fn remove(&mut self, id: &str, for_good: bool) -> bool {
        let Some((id, entry)) = self.entries.remove_entry(id) else {
            return false;
        };
        self.changes += 1;
        self.unlist(&entry.upstream);
        if !for_good {
            self.gone.note(&entry.upstream.incarnation);
            return true;
        }
        self.ended.insert(Name::clone(&id), entry.upstream.incarnation.born);
        self.ended_order.push_back(id);
        if self.ended_order.len() > MOST_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        true
    }

    /// Takes a searcher whose entry was removed out of what is kept beside the entries.
    fn unlist(&mut self, upstream: &Upstream) {
        self.born -= usize::from(upstream.incarnation.born.is_some());
        if let Some(ids) = self.by_service.get_mut(&upstream.service) {
            ids.remove(&upstream.incarnation.id);
            if ids.is_empty() {
                self.by_service.remove(&upstream.service);
            }
        }
    }

    /// Puts the searchers in doubt that did not say when they started: most here do.
    fn doubt_unborn(&mut self, now: Instant) {
        let unborn: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| entry.upstream.incarnation.born.is_none())
            .map(|entry| Name::clone(&entry.upstream.incarnation.id))
            .collect();
        for id in unborn {
            self.overwrite(&id, now);
        }
    }

    /// Returns until when an entry that is not there may return.
    fn until(&self, absence: Absence, since: Instant) -> Instant {
        let usual = match absence {
            Absence::Removed => self.policy.usual,
            Absence::Overwritten => self.policy.overwritten,
        };
        let doubted = since + usual;
        self.regained.map_or(doubted, |back| doubted.max(back + self.policy.outage))
    }
}
