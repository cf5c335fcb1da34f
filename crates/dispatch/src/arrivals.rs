//! How much of a caller's time passes outside this member.
//!
//! A caller counts from their first attempt: asking for an address and opening a connection
//! take round trips that this member doesn't see. But callers say how long they will still
//! wait, and most requests come on kept connections with the whole of it: what another
//! request falls short of that, its caller has spent. The smallest common shortfall is one
//! round trip, which the way here and back takes too. Invariant: without such a common
//! whole, nothing is concluded.

use std::collections::VecDeque;
use std::time::Duration;

use bergamot_policy::Arrival;

/// How many requests are remembered.
const WINDOW: usize = 256;

/// How many requests must have been seen before anything is concluded.
const FEWEST: usize = 16;

/// How many shortfalls must have been seen before a round trip is concluded.
const FEWEST_TRIPS: usize = 4;

/// The shortfall that is no round trip: the caller's own time to send, and roundings.
const NOTHING: Duration = Duration::from_millis(2);

/// The percentile of the shortfalls that is a single round trip: some requests fall short by two
/// or more, hardly any by less.
const SINGLE: usize = 10;

/// The deadlines of a route's recent requests.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    deadlines: VecDeque<Duration>,
    trip: Option<Duration>,
    fresh: usize,
}

impl Arrivals {
    /// Takes in how long the caller of a request will still wait.
    pub fn see(&mut self, deadline: Duration) {
        if self.deadlines.len() == WINDOW {
            self.deadlines.pop_front();
        }
        self.deadlines.push_back(deadline);
        self.fresh += 1;
        if self.fresh >= FEWEST {
            self.fresh = 0;
            self.trip = self.find_trip();
        }
    }

    /// Returns how much of the target latency passes before a request is read and after its
    /// answer is written, if that can be told.
    ///
    /// Nothing is told of a caller who has already spent the target latency: they have been
    /// refused or have waited elsewhere, and count anew from this attempt.
    pub fn away(&self, deadline: Duration, target: Duration, policy: &Arrival) -> Option<Duration> {
        if !policy.on || self.deadlines.len() < FEWEST {
            return None;
        }
        let whole = self.whole()?;
        let is_whole = |seen: &&Duration| whole.saturating_sub(**seen) < NOTHING;
        let wholes = self.deadlines.iter().filter(is_whole).count();
        if (wholes as f64) < self.deadlines.len() as f64 * policy.common {
            return None;
        }
        let spent = whole.saturating_sub(deadline);
        (spent < target).then(|| spent + self.trip.unwrap_or(policy.trip) + policy.slack)
    }

    fn whole(&self) -> Option<Duration> {
        self.deadlines.iter().max().copied()
    }

    fn find_trip(&self) -> Option<Duration> {
        /// Above this time, a shortfall holds other things than round trips.
        const LONGEST: Duration = Duration::from_millis(200);
        let whole = self.whole()?;
        let shortfall = |seen: &Duration| whole.saturating_sub(*seen);
        let is_trips = |short: &Duration| (NOTHING..LONGEST).contains(short);
        let mut trips: Vec<Duration> =
            self.deadlines.iter().map(shortfall).filter(is_trips).collect();
        if trips.len() < FEWEST_TRIPS {
            return None;
        }
        let rank = trips.len() * SINGLE / 100;
        Some(*trips.select_nth_unstable(rank).1)
    }
}
