//! Estimates how much of a caller's latency is spent outside this member.
//!
//! Callers measure latency from their first attempt: resolving an address and opening a connection
//! take round trips that this member doesn't observe. But each request carries the remaining
//! deadline of its caller, and requests on kept connections carry the full one: what another
//! request lacks of it is the time that its caller has spent. The full deadline is that of the
//! declared timeout if the deadlines agree with it, and otherwise the largest one, if many requests
//! share it. The smallest common amount that callers of any route have spent is one round trip,
//! which is also the network latency of the request and its answer. Invariant: no estimate is made
//! from deadlines that neither the declaration nor many requests confirm as full.

use std::collections::VecDeque;
use std::time::Duration;

use bergamot_policy::Arrival;

/// The number of recent requests whose deadlines, and spent times, are kept.
const WINDOW: usize = 256;

/// The number of requests from which the full deadline is learnt, and after which the round trip is
/// updated.
const MIN_REQUESTS: usize = 16;

/// The number of spent times that an estimate of the round trip needs.
const MIN_SAMPLES: usize = 4;

/// Less than this is not a round trip, but the caller's time to send and rounding errors.
const MIN_ROUND_TRIP: Duration = Duration::from_millis(2);

/// More than this includes other delays than round trips.
const MAX_SPENT: Duration = Duration::from_millis(200);

/// The percentile of the spent times that is taken as a single round trip: most callers that have
/// spent any time have looked up an address as well, which takes two or three.
const ROUND_TRIP_PERCENTILE: usize = 2;

/// The deadlines of a route's recent requests.
#[derive(Clone, Debug, Default)]
pub struct CallerDeadlines {
    recent: VecDeque<Duration>,
}

impl CallerDeadlines {
    /// Records the remaining deadline of a request, and returns how much of the full one its caller
    /// had spent, if that can be told. `timeout` is the declared timeout of the route.
    pub fn record(
        &mut self,
        deadline: Duration,
        timeout: Duration,
        policy: &Arrival,
    ) -> Option<Spent> {
        if !policy.on {
            return None;
        }
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(deadline);
        let largest = self.recent.iter().max().copied()?;
        let lacking = timeout.checked_sub(largest);
        let agrees = |tolerance| lacking.is_some_and(|lacking| lacking < tolerance);
        let spent = |full: Duration, is_confirmed: bool| Spent {
            time: full.saturating_sub(deadline),
            is_confirmed,
        };
        if agrees(MIN_ROUND_TRIP) {
            return Some(spent(timeout, true));
        }
        if self.recent.len() < MIN_REQUESTS {
            // The first callers all have to look up an address and to open a connection.
            return agrees(MAX_SPENT).then(|| spent(timeout, false));
        }
        self.is_common(largest, policy).then(|| spent(largest, true))
    }

    /// Returns whether many requests had the largest deadline.
    fn is_common(&self, largest: Duration, policy: &Arrival) -> bool {
        let is_full = |seen: &&Duration| largest.saturating_sub(**seen) < MIN_ROUND_TRIP;
        let full = self.recent.iter().filter(is_full).count();
        full as f64 >= self.recent.len() as f64 * policy.common
    }
}

/// How much of its deadline a caller had spent when its request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent {
    /// The time.
    pub time: Duration,
    /// Whether requests have confirmed the full deadline.
    pub is_confirmed: bool,
}

/// The round trip to the callers of all routes.
#[derive(Clone, Debug, Default)]
pub struct CallerRoundTrip {
    spent: VecDeque<Duration>,
    estimate: Option<Duration>,
    since_update: usize,
}

impl CallerRoundTrip {
    /// Records how much of its deadline a caller had spent.
    pub fn record(&mut self, spent: Spent) {
        if !spent.is_confirmed || !(MIN_ROUND_TRIP..MAX_SPENT).contains(&spent.time) {
            return;
        }
        if self.spent.len() == WINDOW {
            self.spent.pop_front();
        }
        self.spent.push_back(spent.time);
        self.since_update += 1;
        if self.since_update >= MIN_REQUESTS || self.spent.len() == MIN_SAMPLES {
            self.since_update = 0;
            self.estimate = self.percentile();
        }
    }

    /// Returns how much of the target latency passes before a request is read and after its answer
    /// is written, for a caller that has spent some of its deadline.
    ///
    /// Returns nothing for a caller that has already spent the target latency: it was refused or
    /// has waited elsewhere, and measures latency anew from this attempt.
    pub fn overhead(&self, spent: Spent, target: Duration, policy: &Arrival) -> Option<Duration> {
        let round_trip = self.estimate.unwrap_or(policy.trip);
        (spent.time < target).then(|| spent.time + round_trip + policy.slack)
    }

    fn percentile(&self) -> Option<Duration> {
        if self.spent.len() < MIN_SAMPLES {
            return None;
        }
        let mut spent: Vec<Duration> = self.spent.iter().copied().collect();
        let rank = spent.len() * ROUND_TRIP_PERCENTILE / 100;
        Some(*spent.select_nth_unstable(rank).1)
    }
}
