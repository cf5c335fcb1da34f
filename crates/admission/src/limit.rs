//! The number of requests of a pool that may run at once.
//!
//! The limit is adjusted by additive increase and multiplicative decrease: an early answer raises
//! it by one for each `limit` answers, a late one lowers it by a fixed part. Invariant: it stays
//! between one and `most` times the slots of the searchers, and late answers to requests that were
//! granted before a decrease don't lower it again.

use std::time::{Duration, Instant};

use bergamot_policy::Queue;

/// The adaptive concurrency limit of a pool.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    policy: Queue,
    slots: usize,
    /// The limit as a multiple of the slots, so that it follows their number.
    per_slot: f64,
    lowered: Option<Instant>,
}

impl Limit {
    /// Creates the limit of a pool without observations.
    pub(crate) fn new(policy: Queue, slots: usize) -> Self {
        Self { policy, slots: slots.max(1), per_slot: policy.start, lowered: None }
    }

    /// Sets the number of slots; the limit changes in proportion.
    pub(crate) fn set_slots(&mut self, slots: usize) {
        self.slots = slots.max(1);
    }

    /// Returns how many requests may run at once.
    pub(crate) fn get(&self) -> usize {
        self.exact() as usize
    }

    /// Records a request that ended `took` after its grant, which left it `target`.
    pub(crate) fn record(&mut self, now: Instant, took: Duration, target: Duration) {
        if took <= target.mul_f64(self.policy.early) {
            self.set(self.exact() + 1.0 / self.exact());
        } else {
            self.record_unanswered(now, took, target);
        }
    }

    /// Records a request that ended without an answer `took` after its grant.
    pub(crate) fn record_unanswered(&mut self, now: Instant, took: Duration, target: Duration) {
        if took > target.mul_f64(self.policy.early) && self.may_lower(now, took) {
            self.lowered = Some(now);
            self.set(self.exact() * (1.0 - self.policy.decrease));
        }
    }

    /// Returns whether a late request was granted after the last decrease.
    fn may_lower(&self, now: Instant, took: Duration) -> bool {
        self.lowered.is_none_or(|lowered| now.saturating_duration_since(lowered) >= took)
    }

    fn exact(&self) -> f64 {
        self.per_slot * self.slots as f64
    }

    fn set(&mut self, limit: f64) {
        self.per_slot = (limit / self.slots as f64).clamp(1.0, self.policy.most);
    }
}
