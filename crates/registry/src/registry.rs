//! The published searchers and which of them may get new work.
//!
//! An entry that disappears is held for a short time before the searcher counts as
//! gone: entries expire while the store is away although their searchers live, and
//! return within about two seconds once it is back. Such a searcher is doubtful
//! meanwhile, to be asked only where no other can be. Invariants: within an incarnation,
//! draining is final; an incarnation that is known to have ended never returns.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_policy::Doubt;

use crate::upstream::{State, Upstream};

/// How many ended incarnations are remembered, against stale reads that still list them.
const MOST_ENDED: usize = 4096;

#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    missing_since: Option<Instant>,
}

/// The published searchers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    policy: Doubt,
    entries: BTreeMap<Name, Entry>,
    by_service: BTreeMap<Name, Vec<Name>>,
    ended: HashSet<Name>,
    ended_order: VecDeque<Name>,
    regained: Option<Instant>,
}

impl Registry {
    /// Starts empty.
    pub fn new(policy: Doubt) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Takes in the entry of a searcher and tells whether it changed anything.
    pub fn publish(&mut self, mut upstream: Upstream) -> bool {
        if self.ended.contains(&upstream.id) {
            return false;
        }
        let id = Name::clone(&upstream.id);
        if let Some(known) = self.entries.get(&id) {
            if known.upstream.state == State::Draining {
                upstream.state = State::Draining;
            }
            // Read later, the same entry seems to be slow until later.
            upstream.warm_at = upstream.warm_at.min(known.upstream.warm_at);
            if known.missing_since.is_none() && *known.upstream == upstream {
                return false;
            }
        } else {
            let service = Name::clone(&upstream.service);
            self.by_service.entry(service).or_default().push(Name::clone(&id));
        }
        self.entries.insert(id, Entry { upstream: Arc::new(upstream), missing_since: None });
        true
    }

    /// Notes that the entry of a searcher disappeared; it may return.
    pub fn disappear(&mut self, id: &str, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.upstream.state == State::Draining || !self.policy.on {
            return self.end(id);
        }
        let first = entry.missing_since.is_none();
        entry.missing_since.get_or_insert(now);
        first
    }

    /// Takes in a whole listing: what it doesn't name has disappeared.
    pub fn replace(&mut self, listing: Vec<Upstream>, now: Instant) {
        let listed: HashSet<Name> =
            listing.iter().map(|upstream| Name::clone(&upstream.id)).collect();
        for upstream in listing {
            self.publish(upstream);
        }
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

    /// Notes that an incarnation has ended for good, and tells whether it was known.
    pub fn end(&mut self, id: &str) -> bool {
        let Some((id, entry)) = self.entries.remove_entry(id) else {
            return false;
        };
        if let Some(ids) = self.by_service.get_mut(&entry.upstream.service) {
            ids.retain(|other| *other != id);
        }
        self.ended.insert(Name::clone(&id));
        self.ended_order.push_back(id);
        if self.ended_order.len() > MOST_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        true
    }

    /// Removes the searchers whose entries did not return in time, and names them.
    ///
    /// While the store is away nothing is removed, since nothing could return.
    pub fn expire(&mut self, now: Instant, store_is_away: bool) -> Vec<Name> {
        if store_is_away {
            return Vec::new();
        }
        let until = |missing: Instant| {
            let doubted = missing + self.policy.usual;
            self.regained.map_or(doubted, |back| doubted.max(back + self.policy.outage))
        };
        let late = |entry: &Entry| entry.missing_since.is_some_and(|missing| now >= until(missing));
        let gone: Vec<Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| late(entry))
            .map(|(id, _)| Name::clone(id))
            .collect();
        for id in &gone {
            // It may come back under the same identifier, if only its entry was away.
            self.end(id);
            self.ended.remove(id);
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
            .map(|entry| (&entry.upstream, entry.missing_since.is_some()))
    }

    /// Tells whether new work may be sent to an incarnation.
    pub fn takes_work(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.upstream.state == State::Ready)
    }

    /// Tells whether an incarnation is known.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Iterates over all known searchers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns how many searchers are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no searcher is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
