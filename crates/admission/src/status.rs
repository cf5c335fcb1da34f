//! The state of the pools that a member coordinates, for operators.

use std::time::Duration;

use crate::pool::Pool;

/// The requests of one priority that were decided about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that were granted, at once or after a wait.
    pub granted: u64,
    /// Those that were refused, at once or after a wait.
    pub refused: u64,
}

impl Counts {
    /// Adds the requests of another pool.
    pub(crate) fn add(&mut self, other: Self) {
        self.granted += other.granted;
        self.refused += other.refused;
    }
}

/// The state of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The pool.
    pub pool: Pool,
    /// The number of requests that hold a grant.
    pub running: usize,
    /// The numbers of waiting requests by priority, where it isn't zero.
    pub waiting: Vec<(u32, usize)>,
    /// The number of requests that may run at once.
    pub limit: usize,
    /// The mean time for which a request holds its grant, if one was observed.
    pub holding: Option<Duration>,
    /// The number of retry times that were given to refused callers and lie ahead.
    pub bookings: usize,
    /// The requests that were decided about by priority, since the pool was first used.
    pub counts: Vec<(u32, Counts)>,
}
