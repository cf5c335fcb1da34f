//! Detection of pauses of the process.
//!
//! A process that is stopped and continued is not notified of it; its timers only fire
//! late. [`PauseDetector::tick`] is called at a fixed period. A gap well above that period
//! means that the process was paused and that its view of other members may be outdated.

use std::time::{Duration, Instant};

/// Detects pauses of the process from the gaps between periodic ticks.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    last: Instant,
    threshold: Duration,
}

impl PauseDetector {
    /// Creates a detector that treats gaps above `threshold` as pauses.
    pub fn new(now: Instant, threshold: Duration) -> Self {
        Self { last: now, threshold }
    }

    /// Records a tick; returns the gap before it if the process was paused.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        (gap > self.threshold).then_some(gap)
    }

    /// Returns whether the process has been paused since the last tick, without recording one.
    pub fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) > self.threshold
    }
}
