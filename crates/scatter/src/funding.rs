//! Which shards of a group get an additional attempt.
//!
//! Additional attempts are limited for each shard separately. If a whole group needs them, the
//! limits of some shards may be used up. An answer that lacks too many of them fails although the
//! others were asked twice, and what these attempts have used is missing to requests that could be
//! completed.

/// Decides which shards get an additional attempt, given for each whether its limit allows one and
/// how many of them the request needs. Returns whether each gets one.
pub fn fund_attempts(allowed: &[bool], needed: usize) -> Vec<bool> {
    let available = allowed.iter().filter(|allowed| **allowed).count();
    if available < needed { vec![false; allowed.len()] } else { allowed.to_vec() }
}
