//! How long the requests of a pool hold their grants.
//!
//! The mean is a moving average over recent grants. Invariant: a sample after a long time without
//! any has nearly all the weight, and one within a busy second has an eighth.

use std::time::{Duration, Instant};

use bergamot_policy::Queue;

/// The minimum weight of a new sample.
const MIN_WEIGHT: f64 = 0.125;

/// The time after which the weight of the previous mean has dropped to 1/e, in seconds.
const TIME_CONSTANT: f64 = 1.0;

/// The mean holding time of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldingTime {
    mean: Option<f64>,
    updated: Option<Instant>,
}

impl HoldingTime {
    /// Returns the mean, if there was a sample.
    pub(crate) fn mean(&self) -> Option<Duration> {
        self.mean.map(Duration::from_secs_f64)
    }

    /// Returns the mean, or a part of the target of a request if there was no sample.
    pub(crate) fn expected(&self, target: Duration, policy: &Queue) -> Duration {
        self.mean().unwrap_or_else(|| target.mul_f64(policy.unknown))
    }

    /// Records the time for which a request held its grant.
    pub(crate) fn record(&mut self, now: Instant, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.mean.unwrap_or(took);
        self.mean = Some(mean + (took - mean) * self.weight(now));
        self.updated = Some(now);
    }

    /// Records that a request ended without an answer: it would have held its grant for at least
    /// this time.
    pub(crate) fn record_at_least(&mut self, now: Instant, took: Duration) {
        if self.mean().is_none_or(|mean| took > mean) {
            self.record(now, took);
        }
    }

    fn weight(&self, now: Instant) -> f64 {
        let age = self.updated.map(|updated| now.saturating_duration_since(updated));
        age.map_or(1.0, |age| 1.0 - (-age.as_secs_f64() / TIME_CONSTANT).exp()).max(MIN_WEIGHT)
    }
}
