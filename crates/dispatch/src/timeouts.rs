//! The timeouts of a request: when to hedge, when to answer, when to give up.
//!
//! All of them are relative to the time at which the request was read, and derive from the
//! declaration of the route and the deadline of the caller. Invariant: no timeout exceeds the
//! caller's deadline.

use std::time::Duration;

use bergamot_declaration::Route;
use bergamot_policy::Policy;

/// The time before the caller's deadline that is left for the answer to reach the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// The fraction of the target latency within which the first attempt must get a connection.
///
/// A caller that is refused within a quarter of it can still be served in time elsewhere.
const CONNECT_FRACTION: f64 = 0.25;

/// The target latency where none is declared, as a fraction of the timeout.
const DEFAULT_TARGET_FRACTION: f64 = 0.25;

/// The timeouts of one request, relative to its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimeouts {
    /// When an attempt without an answer is hedged.
    pub hedge: Duration,
    /// When an answer with the required coverage is sent.
    pub target: Duration,
    /// When the final answer is sent, whatever has arrived.
    pub end: Duration,
    /// When a first attempt must have got a connection.
    pub connect: Duration,
}

impl RequestTimeouts {
    /// Computes the timeouts of a request whose caller gives `deadline`.
    ///
    /// `usual` is the time within which nearly all searchers of the route answer, and `away` the
    /// time before the request is read and after its answer is written, where they are known.
    pub fn new(
        route: &Route,
        deadline: Option<Duration>,
        usual: Option<Duration>,
        away: Option<Duration>,
        policy: &Policy,
    ) -> Self {
        let wait = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let end = wait.saturating_sub(DEADLINE_MARGIN).max(wait / 2);
        let target = route.target_latency.unwrap_or(route.timeout.mul_f64(DEFAULT_TARGET_FRACTION));
        let hedge = policy.hedge;
        let usual = usual.map_or(Duration::ZERO, |usual| usual.mul_f64(hedge.factor));
        let (earliest, latest) = (target.mul_f64(hedge.earliest), target.mul_f64(hedge.latest));
        let away = away.unwrap_or(policy.partial.margin);
        let in_time = target.saturating_sub(away).max(target / 2).min(end);
        Self {
            hedge: usual.clamp(earliest, latest).min(end),
            target: if policy.partial.on { in_time } else { end },
            end,
            connect: target.mul_f64(CONNECT_FRACTION).min(end),
        }
    }
}
