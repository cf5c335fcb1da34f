//! One coordinator that all members ask.

use std::collections::HashMap;
use std::time::Instant;

use bergamot_admission::{Changes, Coordinator, Decision, Demand, Grant, Outcome, Pool};

use super::Gate;

/// A coordinator that all members ask.
pub struct Coordinated {
    pub coordinator: Coordinator,
    ids: HashMap<Grant, usize>,
    grants: HashMap<usize, Grant>,
    /// The limit and the number of running requests at each tick.
    pub limits: Vec<(usize, usize)>,
}

impl Coordinated {
    pub fn new(coordinator: Coordinator) -> Self {
        Self { coordinator, ids: HashMap::new(), grants: HashMap::new(), limits: Vec::new() }
    }

    fn translate(&self, changes: &Changes) -> Vec<(usize, bool)> {
        let granted = changes.granted.iter().map(|grant| (self.ids[grant], true));
        let refused = changes.refused.iter().map(|(grant, _)| (self.ids[grant], false));
        granted.chain(refused).collect()
    }
}

impl Gate for Coordinated {
    fn request(&mut self, now: Instant, id: usize, demand: Demand) -> Vec<(usize, bool)> {
        let decision = self.coordinator.request(now, Pool::from_id(1), demand);
        if let Decision::Granted(grant) | Decision::Queued(grant) = decision {
            self.ids.insert(grant, id);
            self.grants.insert(id, grant);
        }
        match decision {
            Decision::Granted(_) => vec![(id, true)],
            Decision::Queued(_) => Vec::new(),
            Decision::Refused(_) => vec![(id, false)],
        }
    }

    fn answer(&mut self, _now: Instant, _id: usize, _shard: usize) {}

    fn complete(&mut self, now: Instant, id: usize, outcome: Outcome) -> Vec<(usize, bool)> {
        let changes = self.coordinator.complete(now, self.grants[&id], outcome);
        self.translate(&changes)
    }

    fn tick(&mut self, now: Instant) -> Vec<(usize, bool)> {
        let changes = self.coordinator.expire(now);
        self.limits.extend(self.coordinator.status().iter().map(|pool| (pool.limit, pool.running)));
        self.translate(&changes)
    }
}
