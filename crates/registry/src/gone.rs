//! Searchers that were gone before the store was restored from a copy, and stand in the copy.
//!
//! The entry of such a searcher proves nothing until it would have expired if nobody kept it up: a
//! living searcher keeps it up, whatever was believed of it. Invariant: an entry is held back only
//! after a restore, only for so long, and only if it is that of a start which was known to be gone
//! or of an earlier one.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use bergamot_base::Name;

use crate::upstream::{Incarnation, Upstream};

/// How many searchers are remembered that are gone.
const MOST_GONE: usize = 4096;

/// The searchers that are gone, and their entries that prove nothing yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gone {
    /// The last start that was known of each.
    born: HashMap<Name, Option<u64>>,
    order: VecDeque<Name>,
    /// Until when entries prove nothing.
    until: Option<Instant>,
    held: BTreeMap<Name, Upstream>,
}

impl Gone {
    /// Notes that a searcher is gone, whether or not for good.
    pub(crate) fn note(&mut self, incarnation: &Incarnation) {
        let id = Name::clone(&incarnation.id);
        if self.born.insert(Name::clone(&id), incarnation.born).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MOST_GONE
            && let Some(oldest) = self.order.pop_front()
        {
            self.born.remove(&oldest);
        }
    }

    /// Notes that a searcher is there.
    pub(crate) fn forget(&mut self, id: &Name) {
        self.held.remove(id);
        if self.born.remove(id).is_some() {
            self.order.retain(|gone| gone != id);
        }
    }

    /// Notes that the store was restored: entries of those that are gone prove nothing until a
    /// moment.
    pub(crate) fn restored(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// Tells whether an entry proves nothing, and holds it back if so.
    pub(crate) fn holds_back(&mut self, upstream: &Upstream, now: Instant) -> bool {
        let Incarnation { id, born } = &upstream.incarnation;
        let gone = self.born.get(id).is_some_and(|gone| born <= gone);
        let early = self.until.is_some_and(|until| now < until);
        // What has changed since was written by the searcher itself.
        let unchanged = self.held.get(id).is_none_or(|held| {
            let written = |upstream: &Upstream| (upstream.address, upstream.state, upstream.slots);
            written(held) == written(upstream)
        });
        let holds = gone && early && unchanged;
        if holds {
            self.held.insert(Name::clone(id), upstream.clone());
        }
        holds
    }

    /// Notes that an entry is not there any more.
    pub(crate) fn disappear(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Notes that no other entries are there than these.
    pub(crate) fn retain(&mut self, listed: &BTreeSet<Name>) {
        self.held.retain(|id, _| listed.contains(id));
    }

    /// Takes the entries that have stood for long enough.
    pub(crate) fn proven(&mut self, now: Instant) -> Vec<Upstream> {
        if self.until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        std::mem::take(&mut self.held).into_values().collect()
    }
}
