//! Detection of a process that slept.
//!
//! A process that is stopped and continued can't tell by itself: its timers just
//! fire late. [`Pulse`] is beaten at a steady period, and a gap well above that
//! period means that everything believed before the gap is suspect.

use std::time::{Duration, Instant};

/// A steady beat that notices when the process was paused.
#[derive(Clone, Debug)]
pub struct Pulse {
    last: Instant,
    longest: Duration,
}

impl Pulse {
    /// Starts a pulse that takes gaps above `longest` for a pause.
    pub fn new(now: Instant, longest: Duration) -> Self {
        Self { last: now, longest }
    }

    /// Records a beat and returns the gap where the process slept before it.
    pub fn beat(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        (gap > self.longest).then_some(gap)
    }

    /// Tells whether the process has slept since the last beat, without beating.
    pub fn slept(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) > self.longest
    }
}
