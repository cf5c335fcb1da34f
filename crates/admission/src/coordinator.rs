//! The pools that a member coordinates.

use std::time::Instant;

use crate::controller::{Changes, Decision, Demand, Grant, Outcome};
use crate::pool::Pool;

/// The controllers of all pools that a member coordinates.
#[derive(Debug, Default)]
pub struct Coordinator {
    next: u64,
}

impl Coordinator {
    /// Decides about a request to a pool.
    pub fn request(&mut self, _now: Instant, _pool: Pool, _demand: Demand) -> Decision {
        self.next += 1;
        Decision::Granted(Grant(self.next))
    }

    /// Records how a granted request ended, or that a waiting one is not needed any more.
    pub fn complete(&mut self, _now: Instant, _grant: Grant, _outcome: Outcome) -> Changes {
        Changes::default()
    }

    /// Ends leases, and refuses the waiting requests that can't finish in time any more.
    pub fn expire(&mut self, _now: Instant) -> Changes {
        Changes::default()
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        true
    }
}
