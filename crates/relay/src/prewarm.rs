//! The order in which connections are opened ahead of need.
//!
//! Invariants: a searcher is queued at most once; those that become due at the same time are taken
//! in random order, so that members which start together do not all connect to the same searchers.

use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

use bergamot_registry::Incarnation;

/// The searchers without a connection, by the time at which one may be opened.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    by_due: BTreeMap<(Instant, u64), Incarnation>,
    queued: HashSet<Incarnation>,
}

impl Queue {
    /// Queues a searcher, unless it is queued already; `draw` is a random number.
    pub(crate) fn push(&mut self, searcher: Incarnation, due: Instant, draw: u64) {
        if self.queued.insert(searcher.clone()) {
            self.by_due.insert((due, draw), searcher);
        }
    }

    /// Takes the next searcher that is due.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Incarnation> {
        let entry = self.by_due.first_entry().filter(|entry| entry.key().0 <= now)?;
        let searcher = entry.remove();
        self.queued.remove(&searcher);
        Some(searcher)
    }

    /// Removes all searchers.
    pub(crate) fn clear(&mut self) {
        self.by_due.clear();
        self.queued.clear();
    }
}
