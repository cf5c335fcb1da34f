//! The concurrency limiter of one workspace.
//!
//! Invariant: requests are admitted only while `interactive + bulk < limit`, and bulk requests only
//! while `bulk < limit - reserved`, so that interactive requests never have to wait for bulk
//! requests to end in order to use the `reserved` slots. Lowering the limit doesn't affect requests
//! that were already admitted.

use std::fmt;
use std::time::Duration;

/// The percentage of the limit that is reserved for interactive requests.
const RESERVED_PERCENT: usize = 25;

/// The longest retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The divisor that gives the weight of a new sample in the moving average of service times.
const SMOOTHING: u32 = 8;

/// The admission class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A user is waiting for the answer.
    Interactive,
    /// Large scans.
    Bulk,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The delay after which to retry.
    pub retry_after: Duration,
}

/// Limits the concurrent requests of one workspace at one entry.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: usize,
    interactive: usize,
    bulk: usize,
    mean_service_time: Duration,
    refused: u64,
}

impl ConcurrencyLimiter {
    /// Creates a limiter that admits `limit` concurrent requests.
    pub fn new(limit: usize) -> Self {
        let mean_service_time = Duration::from_millis(20);
        Self { limit, interactive: 0, bulk: 0, mean_service_time, refused: 0 }
    }

    /// Changes the limit; requests that were already admitted are not affected.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Admits a request or refuses it immediately.
    pub fn try_acquire(&mut self, class: Class) -> Result<(), Refusal> {
        let running = self.interactive + self.bulk;
        let reserved = (self.limit * RESERVED_PERCENT).div_ceil(100).min(self.limit - 1);
        let has_slot = match class {
            Class::Interactive => running < self.limit,
            Class::Bulk => running < self.limit && self.bulk < self.limit - reserved,
        };
        if !has_slot {
            self.refused += 1;
            return Err(Refusal { retry_after: self.estimate_wait() });
        }
        *self.count(class) += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, class: Class, took: Duration) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
        self.mean_service_time = (self.mean_service_time * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// Estimates when the next slot becomes free, assuming that running requests end evenly spaced.
    fn estimate_wait(&self) -> Duration {
        let running = (self.interactive + self.bulk).max(1) as u32;
        (self.mean_service_time / running).clamp(Duration::from_millis(1), MAX_RETRY_AFTER)
    }

    fn count(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Bulk => &mut self.bulk,
        }
    }
}

impl fmt::Display for ConcurrencyLimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bound {} interactive {} bulk {} refused {}",
            self.limit, self.interactive, self.bulk, self.refused
        )
    }
}
