//! Which shards of a gathered request are left out before any is queried.
//!
//! A shard whose expected latency exceeds the target by far can't be part of an answer in time, and
//! the work for it takes slots from requests that could be served. If more shards have a searcher than
//! the answer needs, the slowest of these shards are left out. Invariants: a shard that is expected
//! to answer in time is never left out; the remaining shards suffice for the required coverage; a
//! fraction of the shards that would be left out is queried, so that recovery is detected.

use std::time::Duration;

use bergamot_policy::LeaveOut;

/// Returns the shards to leave out, the slowest first. `delays` are the expected latencies of all
/// shards in milliseconds, `None` for a shard without a searcher, and `fewest` of the shards are
/// required for a success; `draw` returns random numbers from 0 to 1.
pub fn leave_out(
    delays: &[Option<f64>],
    fewest: usize,
    target: Duration,
    policy: &LeaveOut,
    mut draw: impl FnMut() -> f64,
) -> Vec<usize> {
    let spare = delays.iter().flatten().count().saturating_sub(fewest);
    // Once the target has passed, every shard is too late, which says nothing about the slow ones.
    if !policy.on || spare == 0 || target.is_zero() {
        return Vec::new();
    }
    let limit_ms = target.as_secs_f64() * 1e3 * policy.beyond;
    let mut slow = Vec::new();
    for (shard, delay) in delays.iter().enumerate() {
        if let Some(delay) = delay.filter(|delay| *delay > limit_ms) {
            slow.push((delay * (1.0 + policy.similar * draw()), shard));
        }
    }
    slow.sort_unstable_by(|(a, _), (b, _)| b.total_cmp(a));
    slow.truncate(spare);
    slow.retain(|_| draw() >= policy.least);
    slow.into_iter().map(|(_, shard)| shard).collect()
}
