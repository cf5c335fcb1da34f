//! A latency percentile over recent requests, used as the hedge delay.

use std::fmt;
use std::time::Duration;

/// Default percentile after which a request is hedged.
///
/// At the 95th percentile, requests with ordinary latency would use up a 5 % hedge budget,
/// leaving no tokens for stragglers.
const DEFAULT_PERCENT: usize = 98;

/// Number of most recent samples that the estimate is based on.
const WINDOW: usize = 512;

/// Number of samples after which the estimate is recomputed.
const REFRESH_INTERVAL: usize = 64;

/// Minimum number of samples for the first estimate.
const MIN_SAMPLES: usize = 32;

/// Estimates a latency percentile over a sliding window of samples.
#[derive(Clone, Debug)]
pub struct LatencyPercentile {
    percent: usize,
    samples: Vec<Duration>,
    next: usize,
    since_refresh: usize,
    estimate: Option<Duration>,
    scratch: Vec<Duration>,
}

impl Default for LatencyPercentile {
    fn default() -> Self {
        Self::new(DEFAULT_PERCENT)
    }
}

impl LatencyPercentile {
    /// Creates an estimator of the given percentile, without samples.
    pub fn new(percent: usize) -> Self {
        Self {
            percent,
            samples: Vec::new(),
            next: 0,
            since_refresh: 0,
            estimate: None,
            scratch: Vec::new(),
        }
    }

    /// Adds a latency sample.
    pub fn record(&mut self, took: Duration) {
        if self.samples.len() < WINDOW {
            self.samples.push(took);
        } else {
            self.samples[self.next] = took;
        }
        self.next = (self.next + 1) % WINDOW;
        self.since_refresh += 1;
        let is_first = self.estimate.is_none() && self.samples.len() >= MIN_SAMPLES;
        if is_first || self.since_refresh >= REFRESH_INTERVAL {
            self.refresh();
        }
    }

    /// Returns the current estimate, or `None` if there are too few samples.
    pub fn estimate(&self) -> Option<Duration> {
        self.estimate
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.scratch.clear();
        self.scratch.extend_from_slice(&self.samples);
        let rank = (self.scratch.len() * self.percent / 100).min(self.scratch.len() - 1);
        self.estimate = Some(*self.scratch.select_nth_unstable(rank).1);
    }
}

impl fmt::Display for LatencyPercentile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.estimate {
            Some(latency) => write!(f, "p{} {:.1} ms", self.percent, latency.as_secs_f64() * 1e3),
            None => f.write_str("pace unknown"),
        }
    }
}
