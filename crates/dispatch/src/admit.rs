//! Whether a gathered request is taken up at all.
//!
//! While callers ask for more than the searchers can do, queues grow until every answer is
//! late, and the work for it is lost. The shards that an answer needs say how long it will
//! take; beyond the target latency, the request is taken up with the probability at which
//! the work would fit, and refused at once otherwise, before anything has run. A caller who
//! is refused may come back in time; one who waits can't be served in time. Invariant: a
//! request that is expected to meet its target is always taken up, and some are always, so
//! that recovery is noticed.

use std::time::Duration;

use bergamot_policy::Admit;

/// Decides whether a request is taken up, and says by how much the expected time exceeds the
/// target if it is not. `delays` are the expected times of its shards in milliseconds, of
/// which `fewest` make a success; `draw` is a random number from 0 to 1.
pub fn admit(
    delays: &mut [f64],
    fewest: usize,
    target: Duration,
    policy: &Admit,
    draw: f64,
) -> Result<(), Duration> {
    if !policy.on {
        return Ok(());
    }
    let Some(last) = fewest.checked_sub(1).filter(|last| *last < delays.len()) else {
        return Ok(());
    };
    let (_, needed, _) = delays.select_nth_unstable_by(last, f64::total_cmp);
    let limit = target.as_secs_f64() * 1e3 * policy.early;
    if draw < (limit / *needed).powi(policy.steepness).max(policy.least) {
        return Ok(());
    }
    Err(Duration::from_secs_f64((*needed - limit).max(0.0) / 1e3))
}
