//! Replica selection.
//!
//! Replicas are ordered by expected latency: the mean latency, which includes the
//! network distance between zones and regions, scaled by the queue ahead of the
//! request. With two replicas per shard, the power-of-two-choices rule amounts to comparing
//! both. Searchers that are shutting down are left out.
//! Ejected ones are tried last instead of being left out, so that ejections can't
//! remove more capacity than the service can spare.

use std::time::{Duration, Instant};

use bergamot_base::{Searcher, Version};

use crate::health::Health;

/// Factor applied to the expected latency of a searcher that restarted recently.
const COLD_FACTOR: u32 = 3;

/// A replica that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The searcher.
    pub searcher: Searcher,
    /// Observed health of the searcher.
    pub health: &'a Health,
    /// Number of requests from this process that are running or queued there.
    pub load: usize,
    /// Number of slots available to this process.
    pub slots: usize,
}

impl Candidate<'_> {
    fn expected_latency(&self, now: Instant) -> Duration {
        let batches = 1 + self.load / self.slots.max(1);
        let cold_factor = if self.health.is_cold(now) { COLD_FACTOR } else { 1 };
        self.health.mean() * batches as u32 * cold_factor
    }

    fn lacks_version(&self, version: Option<Version>) -> bool {
        let held = self.health.versions();
        version.is_some_and(|version| !held.is_empty() && !held.contains(&version))
    }
}

/// Orders the replicas of a shard for a request that reads `version`, the best first.
///
/// Replicas whose last known versions don't include `version` come after the others.
/// They are kept because that information may be outdated.
pub fn rank(now: Instant, version: Option<Version>, candidates: &[Candidate<'_>]) -> Vec<Searcher> {
    let mut order: Vec<_> = candidates
        .iter()
        .filter(|candidate| !candidate.health.is_leaving())
        .map(|candidate| {
            let ejected = candidate.health.is_ejected(now);
            let key = (candidate.lacks_version(version), ejected, candidate.expected_latency(now));
            (key, candidate.searcher)
        })
        .collect();
    order.sort();
    order.into_iter().map(|(_, searcher)| searcher).collect()
}
