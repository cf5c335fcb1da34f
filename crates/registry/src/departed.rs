//! Searchers that had departed before the store was restored from a copy that still lists them.
//!
//! Such an entry is held until it would have expired had no searcher renewed it: a live searcher
//! renews its entry whatever its state is believed to be. Invariant: an entry is held only after a
//! restore, only for that time, and only if it belongs to an incarnation that is known to have
//! departed or to an earlier one of the same searcher.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use bergamot_base::Name;

use crate::upstream::{Incarnation, Upstream};

/// How many departed searchers are remembered.
const MAX_DEPARTED: usize = 4096;

/// The departed searchers, and those of their entries that are held.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departed {
    /// The start time of the last known incarnation of each.
    start_times: HashMap<Name, Option<u64>>,
    /// The departed searchers, the oldest first.
    order: VecDeque<Name>,
    /// Until when entries are held.
    hold_until: Option<Instant>,
    held: BTreeMap<Name, Upstream>,
}

impl Departed {
    /// Records that a searcher has departed, permanently or not.
    pub(crate) fn insert(&mut self, incarnation: &Incarnation) {
        let id = Name::clone(&incarnation.id);
        if self.start_times.insert(Name::clone(&id), incarnation.start_time_ms).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_DEPARTED
            && let Some(oldest) = self.order.pop_front()
        {
            self.start_times.remove(&oldest);
        }
    }

    /// Records that a searcher is present.
    pub(crate) fn remove(&mut self, id: &Name) {
        self.held.remove(id);
        if self.start_times.remove(id).is_some() {
            self.order.retain(|departed| departed != id);
        }
    }

    /// Holds the entries of departed searchers until the given time, after the store was restored.
    pub(crate) fn hold_until(&mut self, until: Instant) {
        self.hold_until = Some(until);
    }

    /// Holds an entry if it may be left over from a departed searcher, and returns whether it does.
    pub(crate) fn try_hold(&mut self, upstream: &Upstream, now: Instant) -> bool {
        let Incarnation { id, start_time_ms } = &upstream.incarnation;
        let has_departed =
            self.start_times.get(id).is_some_and(|departed| start_time_ms <= departed);
        let is_early = self.hold_until.is_some_and(|until| now < until);
        // An entry that has changed since the restore was written by a live searcher.
        let is_unchanged = self.held.get(id).is_none_or(|held| {
            let written = |upstream: &Upstream| (upstream.address, upstream.state, upstream.slots);
            written(held) == written(upstream)
        });
        let holds = has_departed && is_early && is_unchanged;
        if holds {
            self.held.insert(Name::clone(id), upstream.clone());
        }
        holds
    }

    /// Drops the held entry of a searcher whose entry was removed from the store.
    pub(crate) fn drop_held(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Drops the held entries of searchers that are not in a full listing of the store.
    pub(crate) fn retain_held(&mut self, listed: &BTreeSet<Name>) {
        self.held.retain(|id, _| listed.contains(id));
    }

    /// Takes the held entries once the time to hold them is over.
    pub(crate) fn take_released(&mut self, now: Instant) -> Vec<Upstream> {
        if self.hold_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        std::mem::take(&mut self.held).into_values().collect()
    }
}
