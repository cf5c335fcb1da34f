//! When a refused caller should retry.
//!
//! A caller that retries too early is refused again, and most callers retry only once or twice, so
//! the request is lost. One that retries late has merely waited longer. The delay is therefore
//! derived from what is known about the cause of the refusal, and the longer delay is chosen where
//! the duration of the cause is unknown. Invariant: delays are randomized, so that callers that
//! were refused together don't retry together, and no delay is shorter than the time in which any
//! cause clears.

use std::time::Duration;

use bergamot_policy::ComeBack;

/// Why a request can't be served at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailability {
    /// A condition that clears by itself: a pause of a searcher, a full queue, a process start.
    Transient,
    /// The store can't be read and no state is available. When it returns can't be predicted.
    StoreOutage,
    /// The entries of live searchers are being restored after an outage of the store, which is
    /// complete after this time.
    RestoringEntries(Duration),
    /// The searchers are cold and take requests after this time.
    WarmingUp(Duration),
    /// The searchers are withheld by order of the operator, who can't be predicted.
    Withheld,
    /// The queued work of the searchers exceeds the target latency by this time.
    Backlog(Duration),
}

/// Returns the delay after which a caller should retry; `draw` is a random number from 0 to 1.
pub fn retry_delay(cause: Unavailability, policy: &ComeBack, draw: f64) -> Duration {
    let shortest = policy.soonest + policy.spread.mul_f64(draw);
    if !policy.on {
        return shortest;
    }
    match cause {
        Unavailability::Transient => shortest,
        Unavailability::StoreOutage | Unavailability::Withheld => {
            policy.outage.mul_f64(1.0 + 0.5 * draw)
        }
        Unavailability::RestoringEntries(left) | Unavailability::WarmingUp(left) => left + shortest,
        Unavailability::Backlog(excess) => excess.min(policy.outage) + shortest,
    }
}
