//! The recent latency of a service's sub-queries, for the time of a hedge.

use std::fmt;
use std::time::Duration;

/// How many samples the estimate looks back.
const WINDOW: usize = 512;

/// How often the estimate is made anew, in samples.
const REFRESH: usize = 64;

/// How many samples are needed before there is an estimate.
const FEWEST: usize = 32;

/// A sliding window of latencies with its 95th percentile.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    samples: Vec<Duration>,
    next: usize,
    fresh: usize,
    estimate: Option<Duration>,
    scratch: Vec<Duration>,
}

impl Pace {
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

    /// Returns the 95th percentile of the window, once there are enough samples.
    pub fn p95(&self) -> Option<Duration> {
        self.estimate
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        self.scratch.clear();
        self.scratch.extend_from_slice(&self.samples);
        let rank = (self.scratch.len() * 95 / 100).min(self.scratch.len() - 1);
        self.estimate = Some(*self.scratch.select_nth_unstable(rank).1);
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.estimate {
            Some(p95) => write!(f, "p95 {:.1} ms", p95.as_secs_f64() * 1e3),
            None => f.write_str("p95 unknown"),
        }
    }
}
