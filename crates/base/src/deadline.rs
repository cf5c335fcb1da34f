//! Deadlines on the local monotonic clock.
//!
//! Instances don't share a clock, so a deadline crosses the network as the time
//! that is left. Invariant: each hop only ever shortens it.

use std::time::{Duration, Instant};

/// The moment after which an answer is of no use to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Sets a deadline some time after `now`.
    pub fn after(now: Instant, left: Duration) -> Self {
        Self(now + left)
    }

    /// Returns the time left at `now`, zero once the deadline has passed.
    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Tells whether the deadline has passed at `now`.
    pub fn passed(self, now: Instant) -> bool {
        self.0 <= now
    }

    /// Returns an earlier deadline that leaves `margin` for what follows.
    #[must_use]
    pub fn less(self, margin: Duration) -> Self {
        Self(self.0.checked_sub(margin).unwrap_or(self.0))
    }

    /// Returns the earlier of two deadlines.
    #[must_use]
    pub fn earlier(self, other: Self) -> Self {
        self.min(other)
    }

    /// Returns the instant itself, for timers.
    pub fn instant(self) -> Instant {
        self.0
    }
}
