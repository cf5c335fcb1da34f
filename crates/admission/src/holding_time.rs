//! How long the requests of a pool hold their grants.
//!
//! The mean and the mean deviation are moving averages over recent grants. Invariant: a sample after
//! a long time without any has nearly all the weight; at other times it has at least an eighth, or
//! more in a pool that runs fewer requests at once, so that the average covers about one holding
//! time. The best mean is the smallest one, which rises slowly towards the current mean, so that it
//! follows searchers that become slower for good.

use std::time::{Duration, Instant};

use bergamot_policy::Queue;

/// The minimum weight of a new sample.
const MIN_WEIGHT: f64 = 0.125;

/// The time after which the weight of the previous mean has dropped to 1/e, in seconds.
const TIME_CONSTANT: f64 = 1.0;

/// The time within which the best mean rises to the current one but for 1/e of the difference, in
/// seconds. It is longer than a shortage, in which it would otherwise adapt to the queues at the
/// searchers.
const BEST_TIME_CONSTANT: f64 = 600.0;

/// The number of samples before the mean is taken for the best one.
const SETTLED: usize = 5;

/// The mean holding time of a pool and its variation.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldingTime {
    mean: Option<f64>,
    /// The mean absolute deviation from the mean.
    deviation: f64,
    best: f64,
    samples: usize,
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

    /// Returns the holding time that few requests exceed.
    pub(crate) fn upper(&self, target: Duration, policy: &Queue) -> Duration {
        let margin = Duration::from_secs_f64(self.deviation * policy.deviations);
        self.expected(target, policy) + margin
    }

    /// Returns whether the mean is so close to the best one that fewer requests at once would hardly
    /// be faster.
    pub(crate) fn is_best(&self, policy: &Queue) -> bool {
        self.mean.is_some_and(|mean| mean <= self.best * policy.unloaded)
    }

    /// Records the time for which one of `limit` requests held its grant.
    pub(crate) fn record(&mut self, now: Instant, took: Duration, limit: usize) {
        let took = took.as_secs_f64();
        let age = self.updated.map(|updated| now.saturating_duration_since(updated).as_secs_f64());
        let weight = weight(age, limit);
        let before = self.mean.unwrap_or(took);
        let mean = before + (took - before) * weight;
        self.deviation += ((took - before).abs() - self.deviation) * weight;
        self.update_best(mean, age.unwrap_or(0.0));
        self.mean = Some(mean);
        self.updated = Some(now);
    }

    fn update_best(&mut self, mean: f64, age: f64) {
        self.samples = self.samples.saturating_add(1);
        self.best = if self.samples < SETTLED { mean } else { self.best.min(mean) };
        self.best += (mean - self.best) * (1.0 - (-age / BEST_TIME_CONSTANT).exp());
    }
}

/// Returns the weight of a sample that one of `limit` requests gives, `age` seconds after the last.
fn weight(age: Option<f64>, limit: usize) -> f64 {
    let by_age = age.map_or(1.0, |age| 1.0 - (-age / TIME_CONSTANT).exp());
    by_age.max(MIN_WEIGHT).max(1.0 / (limit as f64 + 1.0))
}
