//! The gate of one workspace.
//!
//! Invariant: `interactive + bulk <= bound`, and bulk work never holds more than
//! `bound - floor`, so that `floor` slots can always be had by interactive work
//! without waiting for bulk work to end.

use std::fmt;
use std::time::Duration;

/// The share of the bound that only interactive work may use, in percent.
const FLOOR_PERCENT: usize = 25;

/// The longest wait that a refusal proposes.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// The weight of a new sample in the running mean of service times, as a divisor.
const SMOOTHING: u32 = 8;

/// What kind of work asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A person is waiting.
    Interactive,
    /// Large scans.
    Bulk,
}

/// A refusal with the time after which to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When to come back.
    pub retry_after: Duration,
}

/// The gate of one workspace at one entry.
#[derive(Clone, Debug)]
pub struct Gate {
    bound: usize,
    interactive: usize,
    bulk: usize,
    mean: Duration,
    refused: u64,
}

impl Gate {
    /// Makes a gate that admits `bound` requests at once.
    pub fn new(bound: usize) -> Self {
        Self { bound, interactive: 0, bulk: 0, mean: Duration::from_millis(20), refused: 0 }
    }

    /// Changes the bound; work already admitted stays.
    pub fn resize(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Admits a request or refuses it at once.
    pub fn enter(&mut self, class: Class) -> Result<(), Refusal> {
        let running = self.interactive + self.bulk;
        let floor = (self.bound * FLOOR_PERCENT).div_ceil(100).min(self.bound - 1);
        let free = match class {
            Class::Interactive => running < self.bound,
            Class::Bulk => running < self.bound && self.bulk < self.bound - floor,
        };
        if !free {
            self.refused += 1;
            return Err(Refusal { retry_after: self.wait() });
        }
        *self.count(class) += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn leave(&mut self, class: Class, took: Duration) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
        self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// Estimates when the next slot frees up: slots end one after the other.
    fn wait(&self) -> Duration {
        let running = (self.interactive + self.bulk).max(1) as u32;
        (self.mean / running).clamp(Duration::from_millis(1), LONGEST_WAIT)
    }

    fn count(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Bulk => &mut self.bulk,
        }
    }
}

impl fmt::Display for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bound {} interactive {} bulk {} refused {}",
            self.bound, self.interactive, self.bulk, self.refused
        )
    }
}
