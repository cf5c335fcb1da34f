//! A token bucket that gains a fraction of a token for each unit of regular work.
//!
//! Hedges and retries take tokens from such a bucket, so that they cannot double the load
//! of a service that is slow as a whole. Invariant: after any sequence of calls, at most
//! `reserve + fraction * work` tokens have been spent.

use std::fmt;

/// A budget for extra work such as hedges and retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    fraction: f64,
    reserve: f64,
    tokens: f64,
    spent: u64,
    denied: u64,
}

impl Budget {
    /// Creates a full bucket that gains `fraction` tokens per unit of work, up to `reserve`.
    pub fn new(fraction: f64, reserve: f64) -> Self {
        Self { fraction, reserve, tokens: reserve, spent: 0, denied: 0 }
    }

    /// Sets the number of tokens gained per unit of work.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction;
    }

    /// Records a unit of regular work.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.reserve);
    }

    /// Takes a token, and returns whether one was available.
    pub fn try_spend(&mut self) -> bool {
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
