//! The order in which a shard's replicas are tried.
//!
//! With two replicas, "two choices" means both: the one with the lower expected
//! time goes first. The expected time is the mean latency, which holds the distance
//! between zones and regions, times the work ahead. A searcher that leaves is never
//! in the order. An ejected one goes last rather than never, so that ejection can't
//! take more away than the service can bear.

use std::time::{Duration, Instant};

use bergamot_base::{Searcher, Version};

use crate::health::Health;

/// How much longer a cold searcher is taken to need.
const COLD_FACTOR: u32 = 3;

/// A replica that could be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The searcher.
    pub searcher: Searcher,
    /// What is known of it.
    pub health: &'a Health,
    /// How much of our work it has or will get.
    pub load: usize,
    /// How many slots it has for us.
    pub slots: usize,
}

impl Candidate<'_> {
    fn expected(&self, now: Instant) -> Duration {
        let rounds = 1 + self.load / self.slots.max(1);
        let cold = if self.health.is_cold(now) { COLD_FACTOR } else { 1 };
        self.health.mean() * rounds as u32 * cold
    }

    fn lacks(&self, version: Option<Version>) -> bool {
        let held = self.health.versions();
        version.is_some_and(|version| !held.is_empty() && !held.contains(&version))
    }
}

/// Ranks the replicas of a shard for a version, the best first.
///
/// A replica that is believed to lack the version goes behind those that may hold
/// it; the belief may be old, so it stays in the order.
pub fn rank(now: Instant, version: Option<Version>, candidates: &[Candidate<'_>]) -> Vec<Searcher> {
    let mut order: Vec<_> = candidates
        .iter()
        .filter(|candidate| !candidate.health.is_leaving())
        .map(|candidate| {
            let ejected = candidate.health.is_ejected(now);
            let key = (candidate.lacks(version), ejected, candidate.expected(now));
            (key, candidate.searcher)
        })
        .collect();
    order.sort();
    order.into_iter().map(|(_, searcher)| searcher).collect()
}
