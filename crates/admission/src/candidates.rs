//! Which coordinators of a pool are asked for admission, and for how long.
//!
//! Invariant: one request waits for at most two coordinators that don't answer, and a coordinator
//! that didn't answer is not asked for a while.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_policy::Queue;

use crate::pool::{Pool, rank_coordinators};

/// The number of coordinators that are asked for one request. Each that doesn't answer takes a
/// tenth of the target latency, and after a quarter of it a refused caller can't retry in time.
const MAX_ASKED: usize = 2;

/// The members that may coordinate pools, and when those that didn't answer may be asked again.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    skipped_until: HashMap<Ipv4Addr, Instant>,
}

impl Candidates {
    /// Returns the coordinators of a pool among `members` that are asked for a request, in order.
    pub fn select(&self, now: Instant, pool: Pool, members: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let mut ranked = rank_coordinators(pool, members);
        ranked.retain(|ip| self.skipped_until.get(ip).is_none_or(|until| *until <= now));
        ranked.truncate(MAX_ASKED);
        ranked
    }

    /// Records that a coordinator did not answer.
    pub fn record_silence(&mut self, now: Instant, member: Ipv4Addr, policy: &Queue) {
        self.skipped_until.retain(|_, until| *until > now);
        self.skipped_until.insert(member, now + policy.skip);
    }
}

/// Returns how long a coordinator may take to answer for a request whose target latency is `target`
/// away.
pub fn answer_timeout(target: Duration, policy: &Queue) -> Duration {
    policy.answer.max(target.mul_f64(policy.answer_part))
}
