//! Shards of a gathered request that are left out because they can't answer in time.
//!
//! They are missing from the answer, but not lost to the request: if its coverage can't be reached
//! with the other shards, or is not reached for long, this member asks for them, the fastest first.
//! Invariant: a request doesn't fail before the shards that it needs have been asked for.

use std::time::{Duration, Instant};

use bergamot_dispatch::leave_out;
use rand::RngExt;

use crate::gather::GatherState;
use crate::message::Job;
use crate::race::RacePlan;
use crate::relay::Relay;

/// A shard that is left out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeftOut {
    pub(crate) shard: usize,
    /// Its expected latency, in milliseconds.
    pub(crate) expected_ms: f64,
}

/// Returns the shards to leave out, the slowest first. Routes without a declared target latency
/// wait for all their shards.
pub(crate) fn select_left_out(
    relay: &Relay,
    job: &Job,
    delays: &[Option<f64>],
    fewest: usize,
    target: Duration,
) -> Vec<usize> {
    if job.target_latency.is_none() {
        return Vec::new();
    }
    let mut rng = rand::rng();
    leave_out(delays, fewest, target, &relay.settings.policy.leave_out, || rng.random())
}

impl GatherState<'_> {
    /// Leaves out some shards, the slowest first, and credits the retry budgets of the others.
    pub(crate) fn leave_out(&mut self, left_out: Vec<LeftOut>) {
        for LeftOut { shard, .. } in &left_out {
            self.progress.leave_out(*shard);
            self.job.tally().leave_out();
        }
        let asked = self.progress.pending().map(|shard| self.name(shard));
        self.relay.credit_retry_budgets(asked);
        self.left_out = left_out;
    }

    /// Returns when shards that were left out are asked for if the coverage is not reached.
    pub(crate) fn recall_at(&self) -> Instant {
        let rest = self.plan.deadline.saturating_duration_since(self.plan.target);
        self.plan.target + rest.mul_f64(self.relay.settings.policy.leave_out.recall)
    }

    /// Asks for some of the shards that were left out, unless the deadline has passed.
    pub(crate) fn recall(&mut self, shards: usize) {
        for _ in 0..shards {
            if Instant::now() >= self.plan.deadline {
                return;
            }
            let Some(LeftOut { shard, .. }) = self.left_out.pop() else { return };
            self.progress.recall(shard);
            self.job.tally().recall();
            self.relay.credit_retry_budgets([self.name(shard)]);
            self.start_race(shard, RacePlan { hedge_at: None, ..self.plan.clone() });
        }
    }

    /// Records for the log and the metrics which shards of the answer were not asked for.
    pub(crate) fn log_left_out(&self) {
        for LeftOut { shard, expected_ms } in &self.left_out {
            self.job.failure_log.record_too_slow(self.name(*shard), *expected_ms);
        }
        let (route, shards) = (&self.job.route, self.left_out.len());
        self.relay.meter().count_left_out(route, self.job.priority, shards);
    }
}
