//! Rate limiting of routine log events.
//!
//! Invariant: at most `rate` events are admitted in each one-second window, and each admitted
//! event comes with the number of events suppressed since the previous one.

use std::time::{Duration, Instant};

/// Limits the rate at which routine events are logged.
#[derive(Clone, Debug)]
pub struct Sampler {
    rate: u32,
    window_start: Option<Instant>,
    admitted: u32,
    suppressed: u64,
}

impl Sampler {
    /// Creates a sampler that admits `rate` events per second.
    pub fn new(rate: u32) -> Self {
        Self { rate, window_start: None, admitted: 0, suppressed: 0 }
    }

    /// Admits an event and returns the number suppressed before it, or returns `None` to suppress
    /// the event.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_new_window =
            self.window_start.is_none_or(|start| now >= start + Duration::from_secs(1));
        if is_new_window {
            self.window_start = Some(now);
            self.admitted = 0;
        }
        if self.admitted >= self.rate {
            self.suppressed += 1;
            return None;
        }
        self.admitted += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
