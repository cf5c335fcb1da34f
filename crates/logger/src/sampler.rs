//! A bound on how often ordinary events are logged.
//!
//! Invariant: in any whole second of the sampler's clock at most `rate` events are admitted,
//! and every admitted one says how many were left out since the one before.

use std::time::{Duration, Instant};

/// A bound on how often ordinary events are logged.
#[derive(Clone, Debug)]
pub struct Sampler {
    rate: u32,
    second: Option<Instant>,
    admitted: u32,
    left_out: u64,
}

impl Sampler {
    /// Makes a sampler that admits `rate` events a second.
    pub fn new(rate: u32) -> Self {
        Self { rate, second: None, admitted: 0, left_out: 0 }
    }

    /// Admits an event and says how many were left out before it, or leaves it out.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let fresh = self.second.is_none_or(|second| now >= second + Duration::from_secs(1));
        if fresh {
            self.second = Some(now);
            self.admitted = 0;
        }
        if self.admitted >= self.rate {
            self.left_out += 1;
            return None;
        }
        self.admitted += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
