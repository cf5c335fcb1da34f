//! How the shards of one location are divided among the members that can ask for them.
//!
//! A member asks for all its shards at the same time, so a small machine spends the target latency
//! of a strict route on its own processor before the searchers answer. A group is therefore divided
//! among as many members as it takes for each to process its part within a fraction of the target
//! latency. Invariant: every shard is assigned once, and members share the shards in proportion to
//! what they can process.

use std::time::Duration;

use bergamot_policy::Fanout;

/// The capacity of a member that may process any number of shards: more than any request has.
const UNLIMITED: usize = 1 << 20;

/// Returns how many shards a member with the given processor time, in thousandths of a core, can
/// process within its part of the target latency.
pub fn capacity(target: Duration, weight: u32, policy: &Fanout) -> usize {
    if !policy.on || weight == 0 {
        return UNLIMITED;
    }
    let available_ms = target.as_secs_f64() * policy.part * f64::from(weight);
    ((available_ms / policy.shard) as usize).max(1)
}

/// A member that can ask for shards, and how many it can process in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worker<T> {
    /// The member.
    pub member: T,
    /// The number of shards that it can process in time.
    pub capacity: usize,
}

/// Divides some shards among the first workers that together can process them in time, or among all
/// if they can't. No more workers are used than can get `fewest` shards each.
pub fn divide<T: Copy>(
    shards: &[usize],
    workers: &[Worker<T>],
    fewest: usize,
) -> Vec<(T, Vec<usize>)> {
    let workers = &workers[..worker_count(shards.len(), workers, fewest)];
    let weight = |worker: &Worker<T>| worker.capacity.max(1);
    let total: usize = workers.iter().map(weight).sum();
    let (mut parts, mut first, mut covered) = (Vec::with_capacity(workers.len()), 0, 0);
    for worker in workers {
        covered += weight(worker);
        let end = shards.len() * covered / total;
        if end > first {
            parts.push((worker.member, shards[first..end].to_vec()));
        }
        first = end;
    }
    parts
}

fn worker_count<T>(shards: usize, workers: &[Worker<T>], fewest: usize) -> usize {
    let mut capacity = 0;
    let is_sufficient = |worker: &Worker<T>| {
        capacity += worker.capacity;
        capacity >= shards
    };
    let last = workers.iter().position(is_sufficient);
    let sufficient = last.map_or(workers.len(), |last| last + 1);
    sufficient.min((shards / fewest.max(1)).max(1))
}
