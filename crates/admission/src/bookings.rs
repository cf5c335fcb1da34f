//! The times at which refused callers are to retry.
//!
//! Each refused caller is given the next time at which the pool is likely to have room for it, so
//! that callers that were refused together return one after another. Invariant: a delay is at least
//! the shortest one of the policy, but never longer than a third of the caller's deadline, up to
//! which callers wait.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bergamot_policy::ComeBack;

/// The part of its remaining time for which a caller waits before it retries.
const MAX_DELAY_DIVISOR: u32 = 3;

/// The retry times that lie ahead, in ascending order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bookings {
    times: VecDeque<Instant>,
}

impl Bookings {
    /// Returns the number of bookings that lie ahead.
    pub(crate) fn len(&self) -> usize {
        self.times.len()
    }

    /// Discards past bookings.
    pub(crate) fn expire(&mut self, now: Instant) {
        while self.times.front().is_some_and(|time| *time <= now) {
            self.times.pop_front();
        }
    }

    /// Returns the delay after which a caller should retry, `interval` after the previous booking.
    /// A caller that can't wait for that long gets the longest delay without a booking.
    pub(crate) fn book(
        &mut self,
        now: Instant,
        interval: Duration,
        deadline: Duration,
        policy: &ComeBack,
    ) -> Duration {
        self.expire(now);
        let longest = deadline / MAX_DELAY_DIVISOR;
        let soonest = now + policy.soonest;
        let next = self.times.back().map_or(soonest, |last| (*last + interval).max(soonest));
        let delay = next.saturating_duration_since(now);
        if delay > longest {
            return longest;
        }
        if !policy.on {
            return policy.soonest;
        }
        self.times.push_back(next);
        delay
    }
}
