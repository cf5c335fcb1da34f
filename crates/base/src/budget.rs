//! A token bucket that earns a fraction of a token for each unit of normal work.
//!
//! Hedges and retries are paid from such a bucket, so that a service that is slow
//! as a whole can't double its own load. Invariant: over any run, spending is at
//! most `reserve + fraction * work`.

use std::fmt;

/// A budget for extra work.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    fraction: f64,
    reserve: f64,
    tokens: f64,
    spent: u64,
    denied: u64,
}

impl Budget {
    /// Makes a full bucket that earns `fraction` tokens a unit, up to `reserve`.
    pub fn new(fraction: f64, reserve: f64) -> Self {
        Self { fraction, reserve, tokens: reserve, spent: 0, denied: 0 }
    }

    /// Changes what a unit of work earns.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Records a unit of normal work.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.reserve);
    }

    /// Spends a token if there is one.
    pub fn spend(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
            self.spent += 1;
        } else {
            self.denied += 1;
        }
        granted
    }
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tokens {:.1} spent {} denied {}", self.tokens, self.spent, self.denied)
    }
}
