//! The moments in the life of a request: when to hedge, when to answer, when to give up.
//!
//! All of them are counted from the moment at which the request was read, and derive from
//! what the route declares and what the caller will wait. Invariant: each moment is at or
//! before the end of the caller's patience.

use std::time::Duration;

use bergamot_declaration::Route;

/// What the way back to the caller and the merge are given before the target latency.
///
/// A caller who is 3 ms away, whose address answer has expired and who opens a connection
/// needs four round trips of 6 ms; timers fire late.
const TARGET_MARGIN: Duration = Duration::from_millis(26);

/// What the way back to the caller is given before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// The part of the target latency before which no silent searcher is hedged.
///
/// Searchers pause for 150 to 250 ms, and a far one answers some 30 ms after it is asked, so
/// that a hedge at a third still meets a target of 80 ms. An earlier one buys nothing on a
/// calm day, and as queues begin to grow it does work twice just while there is no room for
/// it: see `tests/load.rs`.
const HEDGE_EARLIEST: f64 = 0.33;

/// The part of the target latency after which a silent searcher is hedged at the latest.
///
/// Under load the usual time passes a third of the target, and every attempt would be hedged
/// there until the allowance is spent. After 0.6 of 100 ms, one of the strictest targets, a
/// hedge just comes in in time.
const HEDGE_LATEST: f64 = 0.6;

/// How many times the usual time of an answer a searcher may be silent before it is hedged.
const USUAL_FACTOR: f64 = 1.2;

/// How much longer a member in another region is awaited than a searcher nearby: one
/// crossing of 8 ms each way, and the time that both members take to read and write.
pub const CROSSING: Duration = Duration::from_millis(18);

/// The part of the target latency within which the first attempt must find a connection.
///
/// A caller who is refused within a quarter of it can still be served in time elsewhere.
const OFFER_PART: f64 = 0.25;

/// The target latency that is assumed where none is declared, as a part of the timeout.
const ASSUMED_TARGET: f64 = 0.25;

/// The moments of one request, counted from its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// When a silent searcher is hedged.
    pub hedge: Duration,
    /// When an answer with the declared coverage goes out.
    pub target: Duration,
    /// When the request gets its final answer, whatever there is.
    pub end: Duration,
    /// By when a first attempt must have found a connection.
    pub offer: Duration,
}

impl Patience {
    /// Sets the moments for a request of a route whose caller waits for `deadline`.
    ///
    /// `usual` is the time within which nearly all searchers of the route answer, where that
    /// has been seen.
    pub fn new(route: &Route, deadline: Option<Duration>, usual: Option<Duration>) -> Self {
        let wait = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let end = wait.saturating_sub(DEADLINE_MARGIN).max(wait / 2);
        let target = route.target_latency.unwrap_or(route.timeout.mul_f64(ASSUMED_TARGET));
        let usual = usual.map_or(Duration::ZERO, |usual| usual.mul_f64(USUAL_FACTOR));
        let (earliest, latest) = (target.mul_f64(HEDGE_EARLIEST), target.mul_f64(HEDGE_LATEST));
        let hedge = usual.clamp(earliest, latest).min(end);
        Self {
            hedge,
            target: target.saturating_sub(TARGET_MARGIN).max(target / 2).min(end),
            end,
            offer: target.mul_f64(OFFER_PART).min(end),
        }
    }
}
