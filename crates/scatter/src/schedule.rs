//! When a member that is queried for a group of shards replies, and when others are asked.
//!
//! A member that waits for every shard of a large group nearly always waits for one that is late,
//! so nearly every reply leaves at the last moment that was agreed. The reply then takes as long as
//! the network and the processors of both members need, which grows with the group: a sender that
//! gives up a fixed time later loses the whole group to a delay that says nothing about the
//! searchers. A query is therefore never given up while its reply can be of use. Others are asked
//! for the shards of a member whose reply is later than replies usually are, as
//! [`Lateness`](crate::Lateness) tells.

use std::time::{Duration, Instant};

/// How long the reply of a member takes in addition to the searchers' time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyDelay {
    /// The additional wait for the member, compared with a nearby searcher.
    pub expected: Duration,
    /// How much later replies may be before they are overdue.
    pub allowance: Duration,
}

/// When the reply to a query is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How long the member may wait for its shards.
    pub answer_within: Duration,
    /// When the reply arrives at the latest if nothing delays it.
    pub expected_reply: Instant,
    /// When others are asked for the shards of a member that has not replied.
    pub overdue_at: Instant,
}

impl Schedule {
    /// Creates the schedule of a query that is sent at `now`. Nearly all searchers have answered at
    /// `expected_response` if they were asked at the start of the request; the member waits for them
    /// until then, but for `least` at least.
    pub fn new(
        expected_response: Instant,
        delay: ReplyDelay,
        least: Duration,
        now: Instant,
    ) -> Self {
        let answer_within = expected_response.saturating_duration_since(now).max(least);
        let expected_reply = now + answer_within + delay.expected;
        Self { answer_within, expected_reply, overdue_at: expected_reply + delay.allowance }
    }
}
