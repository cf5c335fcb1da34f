//! The moments in the life of a request: when to hedge, when to answer, when to give up.
//!
//! All of them are counted from the moment at which the request was read, and derive from
//! what the route declares and what the caller will wait. Invariant: each moment is at or
//! before the end of the caller's patience.

use std::time::Duration;

use bergamot_declaration::Route;
use bergamot_policy::Policy;

/// What the way back to the caller is given before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

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
    /// `usual` is the time within which nearly all searchers of the route answer, and `away` what
    /// passes before the request is read and after its answer is written, where that is known.
    pub fn new(
        route: &Route,
        deadline: Option<Duration>,
        usual: Option<Duration>,
        away: Option<Duration>,
        policy: &Policy,
    ) -> Self {
        let wait = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let end = wait.saturating_sub(DEADLINE_MARGIN).max(wait / 2);
        let target = route.target_latency.unwrap_or(route.timeout.mul_f64(ASSUMED_TARGET));
        let hedge = policy.hedge;
        let usual = usual.map_or(Duration::ZERO, |usual| usual.mul_f64(hedge.factor));
        let (earliest, latest) = (target.mul_f64(hedge.earliest), target.mul_f64(hedge.latest));
        let away = away.unwrap_or(policy.partial.margin);
        let in_time = target.saturating_sub(away).max(target / 2).min(end);
        Self {
            hedge: usual.clamp(earliest, latest).min(end),
            target: if policy.partial.on { in_time } else { end },
            end,
            offer: target.mul_f64(OFFER_PART).min(end),
        }
    }
}
