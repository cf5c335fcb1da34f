//! The recent latency of a service's sub-queries, for the time of a hedge.

use std::fmt;
use std::time::Duration;

/// The percentile after which a hedge is made, unless another is asked for.
///
/// It leaves some of a five percent budget for the slow: at the 95th percentile, ordinary
/// answers alone spend all of it, and stragglers find the bucket empty.
const PERCENT: usize = 98;

/// How many samples the estimate looks back.
const WINDOW: usize = 512;

/// How often the estimate is made anew, in samples.
const REFRESH: usize = 64;

/// How many samples are needed before there is an estimate.
const FEWEST: usize = 32;

/// A sliding window of latencies with the percentile after which a hedge is made.
#[derive(Clone, Debug)]
pub struct Pace {
    percent: usize,
    samples: Vec<Duration>,
    next: usize,
    fresh: usize,
    estimate: Option<Duration>,
    scratch: Vec<Duration>,
}

impl Default for Pace {
    fn default() -> Self {
        Self::new(PERCENT)
    }
}

impl Pace {
    /// Makes an empty window for a percentile.
    pub fn new(percent: usize) -> Self {
        Self {
            percent,
            samples: Vec::new(),
            next: 0,
            fresh: 0,
            estimate: None,
            scratch: Vec::new(),
        }
    }

    /// Records a latency.
    pub fn record(&mut self, took: Duration) {
        if self.samples.len() < WINDOW {
            self.samples.push(took);
        } else {
            self.samples[self.next] = took;
        }
        self.next = (self.next + 1) % WINDOW;
        self.fresh += 1;
        let first = self.estimate.is_none() && self.samples.len() >= FEWEST;
        if first || self.fresh >= REFRESH {
            self.refresh();
        }
    }

    /// Returns the percentile of the window, once there are enough samples.
    pub fn slow(&self) -> Option<Duration> {
        self.estimate
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        self.scratch.clear();
        self.scratch.extend_from_slice(&self.samples);
        let rank = (self.scratch.len() * self.percent / 100).min(self.scratch.len() - 1);
        self.estimate = Some(*self.scratch.select_nth_unstable(rank).1);
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.estimate {
            Some(slow) => write!(f, "p{} {:.1} ms", self.percent, slow.as_secs_f64() * 1e3),
            None => f.write_str("pace unknown"),
        }
    }
}
