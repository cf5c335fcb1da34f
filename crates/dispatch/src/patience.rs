//! The moments in the life of a request: when to hedge, when to answer, when to give up.
//!
//! All of them are counted from the moment at which the request was read, and derive from
//! what the route declares and what the caller will wait. Invariant: each moment is at or
//! before the end of the caller's patience.

use std::time::Duration;

use bergamot_declaration::Route;

/// What the way back to the caller and the merge are given before the target latency.
///
/// A caller's network adds 1 to 3 ms each way, a connection of its own as much again.
const TARGET_MARGIN: Duration = Duration::from_millis(12);

/// What the way back to the caller is given before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// The part of the target latency after which a silent searcher is hedged.
///
/// Searchers pause for 150 to 250 ms, and a far one answers some 30 ms after it is asked,
/// so that a hedge at a third still meets a target of 80 ms.
const HEDGE_PART: f64 = 0.33;

/// The part of the target latency within which the first attempt must find a connection.
///
/// A caller who is refused within a quarter of it can still be served in time elsewhere.
const OFFER_PART: f64 = 0.25;

/// The part of the target latency after which a member in another region has answered.
///
/// Its answer takes two crossings and the slowest of several searchers there; what is
/// missing then can still be asked of another region in time.
const DELEGATE_PART: f64 = 0.45;

/// The target latency that is assumed where none is declared, as a part of the timeout.
const ASSUMED_TARGET: f64 = 0.25;

/// The moments of one request, counted from its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// When a silent searcher is hedged.
    pub hedge: Duration,
    /// When a member in another region that was asked has answered.
    pub delegate: Duration,
    /// When an answer with the declared coverage goes out.
    pub target: Duration,
    /// When the request gets its final answer, whatever there is.
    pub end: Duration,
    /// By when a first attempt must have found a connection.
    pub offer: Duration,
}

impl Patience {
    /// Sets the moments for a request of a route whose caller waits for `deadline`.
    pub fn new(route: &Route, deadline: Option<Duration>) -> Self {
        let wait = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let end = wait.saturating_sub(DEADLINE_MARGIN).max(wait / 2);
        let target = route.target_latency.unwrap_or(route.timeout.mul_f64(ASSUMED_TARGET));
        Self {
            hedge: target.mul_f64(HEDGE_PART).min(end),
            delegate: target.mul_f64(DELEGATE_PART).min(end),
            target: target.saturating_sub(TARGET_MARGIN).max(target / 2).min(end),
            end,
            offer: target.mul_f64(OFFER_PART).min(end),
        }
    }
}
