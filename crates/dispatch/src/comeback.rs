//! When a caller who is refused may come back.
//!
//! A caller who comes back too early is refused again, and most try only once or twice: the
//! request is lost. One who comes back late has only waited longer. So the time follows from
//! what is known of the obstacle, and where its end is not known the longer wait is chosen.
//! Invariant: the times are spread, so that those who were refused together don't return
//! together, and no time is shorter than what any obstacle takes to pass.

use std::time::Duration;

use bergamot_policy::ComeBack;

/// What is in the way of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// Something that passes by itself: a pause of a searcher, a full queue, a start.
    Passing,
    /// The store can't be read, and nothing is known yet. Its return can't be foreseen.
    Outage,
    /// The entries of living searchers are on their way back after an outage of the store,
    /// and have returned after this time.
    Returning(Duration),
    /// The searchers have so much more work before them than fits the target latency.
    Backlog(Duration),
}

/// Decides when a caller may come back; `draw` is a random number from 0 to 1.
pub fn comeback(obstacle: Obstacle, policy: &ComeBack, draw: f64) -> Duration {
    let soon = policy.soonest + policy.spread.mul_f64(draw);
    if !policy.on {
        return soon;
    }
    match obstacle {
        Obstacle::Passing => soon,
        Obstacle::Outage => policy.outage.mul_f64(1.0 + 0.5 * draw),
        Obstacle::Returning(left) => left + soon,
        Obstacle::Backlog(excess) => excess.min(policy.outage) + soon,
    }
}
