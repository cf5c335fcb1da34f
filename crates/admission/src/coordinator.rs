//! The pools that a member coordinates.
//!
//! Each pool has a controller of its own. Invariant: a grant belongs to exactly one pool from its
//! request to its end, and controllers that have been idle are removed.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bergamot_policy::{ComeBack, Queue};

use crate::controller::Controller;
use crate::decision::{Changes, Decision, Demand, Grant, Outcome};
use crate::pool::Pool;
use crate::status::{Counts, Status};

#[derive(Debug)]
struct Entry {
    controller: Controller,
    used: Instant,
}

impl Entry {
    fn is_unused(&self, now: Instant, kept: Duration) -> bool {
        self.controller.is_idle() && now.saturating_duration_since(self.used) >= kept
    }
}

/// The controllers of all pools that a member coordinates.
#[derive(Debug, Default)]
pub struct Coordinator {
    policy: Queue,
    comeback: ComeBack,
    next: u64,
    pools: BTreeMap<Pool, Entry>,
    grants: HashMap<Grant, Pool>,
    /// The requests of the pools that were removed, by priority.
    removed: BTreeMap<u32, Counts>,
}

impl Coordinator {
    /// Creates a coordinator without pools.
    pub fn new(policy: &Queue, comeback: &ComeBack) -> Self {
        Self { policy: *policy, comeback: *comeback, ..Self::default() }
    }

    /// Numbers the grants from `first`, which should be random: then a grant that an earlier run of
    /// the process gave is not taken for a new one.
    #[must_use]
    pub fn with_first_grant(self, first: u64) -> Self {
        Self { next: first, ..self }
    }

    /// Decides about a request to a pool.
    pub fn request(&mut self, now: Instant, pool: Pool, demand: Demand) -> Decision {
        if self.pools.get(&pool).is_none_or(|entry| entry.is_unused(now, self.policy.kept)) {
            self.remove_idle(now);
        }
        let grant = Grant(self.next);
        self.next = self.next.wrapping_add(1);
        let (policy, comeback) = (self.policy, self.comeback);
        let entry = self.pools.entry(pool).or_insert_with(|| Entry {
            controller: Controller::new(policy, comeback, demand.slots),
            used: now,
        });
        entry.used = now;
        let decision = entry.controller.request(now, grant, demand);
        if !matches!(decision, Decision::Refused(_)) {
            self.grants.insert(grant, pool);
        }
        decision
    }

    /// Records how a granted request ended, or that a waiting one is not needed any more.
    pub fn complete(&mut self, now: Instant, grant: Grant, outcome: Outcome) -> Changes {
        let entry = self.grants.remove(&grant).and_then(|pool| self.pools.get_mut(&pool));
        let Some(entry) = entry else {
            return Changes::default();
        };
        entry.used = now;
        let changes = entry.controller.complete(now, grant, outcome);
        self.forget(changes.refused.iter().map(|(grant, _)| *grant));
        changes
    }

    /// Ends leases, and refuses the waiting requests that can't finish in time any more.
    pub fn expire(&mut self, now: Instant) -> Changes {
        let mut changes = Changes::default();
        let mut ended = Vec::new();
        for entry in self.pools.values_mut() {
            let (of_pool, leases) = entry.controller.expire(now);
            changes.granted.extend(of_pool.granted);
            changes.refused.extend(of_pool.refused);
            ended.extend(leases);
        }
        self.forget(ended.into_iter().chain(changes.refused.iter().map(|(grant, _)| *grant)));
        self.remove_idle(now);
        changes
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty()
    }

    /// Returns the state of each pool.
    pub fn status(&self) -> Vec<Status> {
        self.pools.iter().map(|(pool, entry)| entry.controller.status(*pool)).collect()
    }

    /// Returns the requests that were decided about by priority, over all pools. The counts never
    /// decrease.
    pub fn counts(&self) -> Vec<(u32, Counts)> {
        let mut counts = self.removed.clone();
        let pools = self.pools.values().flat_map(|entry| entry.controller.counts());
        pools.for_each(|(priority, other)| counts.entry(priority).or_default().add(other));
        counts.into_iter().collect()
    }

    fn forget(&mut self, grants: impl IntoIterator<Item = Grant>) {
        for grant in grants {
            self.grants.remove(&grant);
        }
    }

    /// Removes the pools that have not been used for some time.
    fn remove_idle(&mut self, now: Instant) {
        let kept = self.policy.kept;
        for (_, entry) in self.pools.extract_if(.., |_, entry| entry.is_unused(now, kept)) {
            for (priority, counts) in entry.controller.counts() {
                self.removed.entry(priority).or_default().add(counts);
            }
        }
    }
}
