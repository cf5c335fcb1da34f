//! Admission control for gathered requests.
//!
//! While the offered load exceeds the capacity of the searchers, queues grow until every answer is
//! late and the work for it is wasted. The expected latency is that of the shards which an answer
//! needs. If it exceeds the target latency, the request is admitted with the probability at which
//! the admitted load fits the capacity, and otherwise refused before anything has run: a refused
//! caller may retry in time, one that is left waiting can't be served in time. Invariant: a request
//! that is expected to meet its target is always admitted, and a small fraction of the others is,
//! so that recovery is detected.

use std::time::Duration;

use bergamot_policy::Admit;

/// Returns the shard whose expected latency decides whether a request can be answered in time: the
/// slowest of the `fewest` fastest shards. `delays` are in milliseconds, `None` for a shard that is
/// not queried.
pub fn binding_shard(delays: &[Option<f64>], fewest: usize) -> Option<usize> {
    let indexed = delays.iter().enumerate();
    let mut known: Vec<_> = indexed.filter_map(|(shard, delay)| Some(((*delay)?, shard))).collect();
    let last = fewest.checked_sub(1).filter(|last| *last < known.len())?;
    let (_, (_, shard), _) = known.select_nth_unstable_by(last, |(a, _), (b, _)| a.total_cmp(b));
    Some(*shard)
}

/// Decides whether a request is admitted; if not, returns by how much the expected latency exceeds
/// the target. `delays` are the expected latencies of its shards in milliseconds, of which `fewest`
/// are required for a success; `draw` is a random number from 0 to 1.
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
