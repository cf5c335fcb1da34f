//! Deadlines on the local monotonic clock.
//!
//! Instances do not share a clock, so a deadline is sent over the network as the remaining
//! time. Invariant: each hop can only shorten it.

use std::time::{Duration, Instant};

/// The time after which a response is of no use to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates a deadline that is `remaining` after `now`.
    pub fn after(now: Instant, remaining: Duration) -> Self {
        Self(now + remaining)
    }

    /// Returns the time remaining at `now`, or zero if the deadline has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns whether the deadline has passed at `now`.
    pub fn has_passed(self, now: Instant) -> bool {
        self.0 <= now
    }

    /// Returns a deadline that is earlier by `margin`, which is reserved for later steps.
    #[must_use]
    pub fn with_margin(self, margin: Duration) -> Self {
        Self(self.0.checked_sub(margin).unwrap_or(self.0))
    }

    /// Returns the earlier of two deadlines.
    #[must_use]
    pub fn earlier(self, other: Self) -> Self {
        self.min(other)
    }

    /// Returns the deadline as an instant, for timers.
    pub fn instant(self) -> Instant {
        self.0
    }
}
