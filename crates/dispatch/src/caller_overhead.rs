//! Estimates how much of a caller's latency is spent outside this member.
//!
//! Callers measure latency from their first attempt: resolving an address and opening a connection
//! take round trips that this member doesn't observe. But each request carries the remaining
//! deadline of its caller, and most requests arrive on kept connections with the full deadline: the
//! difference of another request from the full deadline is the time that its caller has spent. The
//! smallest common shortfall is one round trip, which is also the network latency of the request
//! and its answer. Invariant: no estimate is made unless many requests share the largest deadline.

use std::collections::VecDeque;
use std::time::Duration;

use bergamot_policy::Arrival;

/// The number of recent requests whose deadlines are kept.
const WINDOW: usize = 256;

/// The number of requests that an estimate needs, and after which it is updated.
const MIN_REQUESTS: usize = 16;

/// The number of shortfalls that an estimate of the round trip needs.
const MIN_SHORTFALLS: usize = 4;

/// Shortfalls below this are not round trips, but the caller's time to send and rounding errors.
const MIN_ROUND_TRIP: Duration = Duration::from_millis(2);

/// The percentile of the shortfalls that is taken as a single round trip: some requests fall short
/// by two or more, hardly any by less.
const ROUND_TRIP_PERCENTILE: usize = 10;

/// The deadlines of a route's recent requests.
#[derive(Clone, Debug, Default)]
pub struct CallerOverhead {
    deadlines: VecDeque<Duration>,
    round_trip: Option<Duration>,
    since_update: usize,
}

impl CallerOverhead {
    /// Records the remaining deadline of a request.
    pub fn record(&mut self, deadline: Duration) {
        if self.deadlines.len() == WINDOW {
            self.deadlines.pop_front();
        }
        self.deadlines.push_back(deadline);
        self.since_update += 1;
        if self.since_update >= MIN_REQUESTS {
            self.since_update = 0;
            self.round_trip = self.estimate_round_trip();
        }
    }

    /// Returns how much of the target latency passes before a request is read and after its
    /// answer is written, if that can be estimated.
    ///
    /// Returns nothing for a caller that has already spent the target latency: it was refused or
    /// has waited elsewhere, and measures latency anew from this attempt.
    pub fn estimate(
        &self,
        deadline: Duration,
        target: Duration,
        policy: &Arrival,
    ) -> Option<Duration> {
        if !policy.on || self.deadlines.len() < MIN_REQUESTS {
            return None;
        }
        let full = self.full_deadline()?;
        let is_full = |seen: &&Duration| full.saturating_sub(**seen) < MIN_ROUND_TRIP;
        let full_count = self.deadlines.iter().filter(is_full).count();
        if (full_count as f64) < self.deadlines.len() as f64 * policy.common {
            return None;
        }
        let spent = full.saturating_sub(deadline);
        (spent < target).then(|| spent + self.round_trip.unwrap_or(policy.trip) + policy.slack)
    }

    fn full_deadline(&self) -> Option<Duration> {
        self.deadlines.iter().max().copied()
    }

    fn estimate_round_trip(&self) -> Option<Duration> {
        /// Longer shortfalls include other delays than round trips.
        const MAX_SHORTFALL: Duration = Duration::from_millis(200);
        let full = self.full_deadline()?;
        let shortfall = |seen: &Duration| full.saturating_sub(*seen);
        let is_round_trips = |short: &Duration| (MIN_ROUND_TRIP..MAX_SHORTFALL).contains(short);
        let mut shortfalls: Vec<Duration> =
            self.deadlines.iter().map(shortfall).filter(is_round_trips).collect();
        if shortfalls.len() < MIN_SHORTFALLS {
            return None;
        }
        let rank = shortfalls.len() * ROUND_TRIP_PERCENTILE / 100;
        Some(*shortfalls.select_nth_unstable(rank).1)
    }
}
