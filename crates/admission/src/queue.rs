//! The requests that wait for a grant, and their order.
//!
//! The order is by priority; within a priority, the origin with the fewest running requests comes
//! first; then the earliest target. Invariant: a less urgent request is granted before a more urgent
//! one only in each `starvation`th grant that had several priorities to choose from, and this grant
//! goes to the longest-waiting request that isn't of the most urgent priority.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bergamot_base::Name;

use crate::decision::Grant;
use crate::running::Running;

/// A request that waits for a grant.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) grant: Grant,
    pub(crate) priority: u32,
    pub(crate) origin: Name,
    /// When it was received.
    pub(crate) since: Instant,
    /// The time that was left until its target latency when it was received.
    pub(crate) target: Duration,
    /// The time that was left until the caller's deadline when it was received.
    pub(crate) deadline: Duration,
}

impl Waiting {
    /// Returns whether it meets its target latency if it takes this time from now on.
    pub(crate) fn meets_target(&self, now: Instant, time: Duration) -> bool {
        now + time <= self.since + self.target
    }

    fn key(&self) -> (u32, Instant, Grant) {
        (self.priority, self.since + self.target, self.grant)
    }
}

/// The requests that wait for a grant.
#[derive(Clone, Debug)]
pub(crate) struct WaitQueue {
    starvation: usize,
    /// In order of priority, then of target.
    waiting: Vec<Waiting>,
    /// The grants that had several priorities to choose from, since the last one against starvation.
    contested: usize,
}

impl WaitQueue {
    /// Creates an empty queue in which one of `starvation` grants goes to a less urgent request.
    pub(crate) fn new(starvation: usize) -> Self {
        Self { starvation: starvation.max(1), waiting: Vec::new(), contested: 0 }
    }

    /// Returns whether no request is waiting.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests by priority.
    pub(crate) fn by_priority(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for one in &self.waiting {
            *counts.entry(one.priority).or_default() += 1;
        }
        counts
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, waiting: Waiting) {
        let at = self.waiting.partition_point(|other| other.key() < waiting.key());
        self.waiting.insert(at, waiting);
    }

    /// Removes a request; returns whether it was waiting.
    pub(crate) fn remove(&mut self, grant: Grant) -> bool {
        let at = self.waiting.iter().position(|other| other.grant == grant);
        at.map(|at| self.waiting.remove(at)).is_some()
    }

    /// Returns the number of grants that come before that of a waiting request.
    pub(crate) fn ahead(&self, grant: Grant, running: &Running) -> Option<usize> {
        let order = self.order(running);
        let ahead = order.iter().position(|at| self.waiting[*at].grant == grant)?;
        let starving = self.ahead_by_starvation()[order[ahead]];
        Some(starving.map_or(ahead, |starving| ahead.min(starving)))
    }

    /// Removes and returns the requests that `is_late` selects; it is given each request with the
    /// number of grants that come before its own.
    pub(crate) fn remove_late(
        &mut self,
        running: &Running,
        is_late: impl Fn(&Waiting, usize) -> bool,
    ) -> Vec<(Waiting, usize)> {
        let starving = self.ahead_by_starvation();
        let (mut ahead, mut late) = (0, BTreeMap::new());
        for at in self.order(running) {
            let own = starving[at].map_or(ahead, |starving| ahead.min(starving));
            if is_late(&self.waiting[at], own) {
                late.insert(at, own);
            } else {
                ahead += 1;
            }
        }
        let mut removed: Vec<_> =
            late.iter().rev().map(|(at, ahead)| (self.waiting.remove(*at), *ahead)).collect();
        removed.reverse();
        removed
    }

    /// Returns the indices of all requests in the order of their grants, without those against
    /// starvation. Within a priority, the request that finds the fewest from its origin running
    /// comes first, where those from its origin that come before it count as running.
    fn order(&self, running: &Running) -> Vec<usize> {
        let mut counts = HashMap::<(u32, &Name), usize>::new();
        let mut keys = Vec::with_capacity(self.waiting.len());
        for (at, one) in self.waiting.iter().enumerate() {
            let origin = (one.priority, &one.origin);
            let count = counts.entry(origin).or_insert_with(|| running.of(&one.origin));
            keys.push((one.priority, *count, at));
            *count += 1;
        }
        keys.sort_unstable();
        keys.into_iter().map(|(_, _, at)| at).collect()
    }

    /// Returns, for each request that isn't of the most urgent priority, the number of grants that
    /// come before the one against starvation that it gets.
    fn ahead_by_starvation(&self) -> Vec<Option<usize>> {
        let mut ahead = vec![None; self.waiting.len()];
        let mut less_urgent: Vec<_> = (self.urgent()..self.waiting.len()).collect();
        less_urgent.sort_unstable_by_key(|at| self.seniority(*at));
        for (rank, at) in less_urgent.into_iter().enumerate() {
            ahead[at] = Some((rank + 1) * self.starvation - 1);
        }
        ahead
    }

    /// Removes and returns the request that is granted next. Those that would have come before it but
    /// can't finish in time are moved to `late`.
    pub(crate) fn pop(
        &mut self,
        running: &Running,
        can_finish: impl Fn(&Waiting) -> bool,
        late: &mut Vec<Waiting>,
    ) -> Option<Waiting> {
        loop {
            let is_contested = self.urgent() < self.waiting.len();
            let next = self.waiting.remove(self.next(running)?);
            if !can_finish(&next) {
                late.push(next);
                continue;
            }
            if is_contested {
                self.contested = (self.contested + 1) % self.starvation;
            }
            return Some(next);
        }
    }

    /// Returns the index of the request that comes next.
    fn next(&self, running: &Running) -> Option<usize> {
        let urgent = self.urgent();
        let longest = (urgent..self.waiting.len()).min_by_key(|at| self.seniority(*at));
        let fewest = (0..urgent).min_by_key(|at| (running.of(&self.waiting[*at].origin), *at));
        let is_turn_of_starving = self.contested + 1 == self.starvation;
        longest.filter(|_| is_turn_of_starving).or(fewest)
    }

    /// Returns the number of requests of the most urgent priority.
    fn urgent(&self) -> usize {
        let top = self.waiting.first().map(|one| one.priority);
        self.waiting.partition_point(|one| Some(one.priority) == top)
    }

    fn seniority(&self, at: usize) -> (Instant, Grant) {
        (self.waiting[at].since, self.waiting[at].grant)
    }
}
