//! Which requests a member still accepts during its planned stop.
//!
//! A stop has a fixed end, so a request that is accepted shortly before it may still be running when
//! the process ends. Its caller then doesn't learn whether it ran. A refusal costs the caller only
//! the way to another member. Invariant: a request is accepted only if its own time limit ends
//! before the stop does, or if it is expected to be answered by then.

use std::time::{Duration, Instant};

/// A planned stop of this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// When each request gets its final answer, whatever has arrived.
    pub answer_by: Instant,
}

/// How long a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedDuration {
    /// The time limit of the request.
    pub limit: Duration,
    /// The time within which nearly all such requests are answered by an idle searcher.
    pub usual: Duration,
    /// The number of requests in progress at its searcher, as far as this member knows.
    pub in_flight: usize,
    /// The number of requests on which the searcher works at the same time.
    pub slots: usize,
}

impl ExpectedDuration {
    /// Returns the expected time until the answer. Requests that find no free slot wait until those
    /// ahead of them have been answered.
    fn expected(&self) -> Duration {
        let rounds_ahead = u32::try_from(self.in_flight / self.slots.max(1)).unwrap_or(u32::MAX);
        self.usual.saturating_mul(rounds_ahead.saturating_add(1))
    }
}

impl PlannedStop {
    /// Returns whether a request that arrives now is accepted.
    pub fn accepts(&self, now: Instant, duration: ExpectedDuration) -> bool {
        let left = self.answer_by.saturating_duration_since(now);
        duration.limit.min(duration.expected()) <= left
    }
}
