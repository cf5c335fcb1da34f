//! Which pools of searchers are short at a member.
//!
//! A coordinator is asked for admission to a pool only while the pool is short: for some time after
//! an answer that was slow, a searcher that was full, or a refusal. Invariant: a pool without such a
//! sign costs no message and no memory.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bergamot_policy::Queue;

use crate::pool::Pool;

/// The latest sign of a shortage of each pool.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    latest: HashMap<Pool, Instant>,
}

impl Signs {
    /// Records a sign that a pool is short.
    pub fn record(&mut self, now: Instant, pool: Pool) {
        self.latest.insert(pool, now);
    }

    /// Records that a request had its required coverage `took` after it was received; that is a
    /// sign of a shortage if too little of the target latency was left.
    pub fn record_answer(
        &mut self,
        now: Instant,
        pool: Pool,
        took: Duration,
        target: Duration,
        policy: &Queue,
    ) {
        if took > target.mul_f64(policy.early) {
            self.record(now, pool);
        }
    }

    /// Returns whether a pool is short.
    pub fn is_short(&self, now: Instant, pool: Pool, policy: &Queue) -> bool {
        self.latest.get(&pool).is_some_and(|latest| is_recent(now, *latest, policy))
    }

    /// Removes the signs that no longer count.
    pub fn expire(&mut self, now: Instant, policy: &Queue) {
        self.latest.retain(|_, latest| is_recent(now, *latest, policy));
    }

    /// Returns whether no pool has a sign.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}

fn is_recent(now: Instant, latest: Instant, policy: &Queue) -> bool {
    now.saturating_duration_since(latest) < policy.recent
}
