//! The budget for additional attempts that a member makes at a service.
//!
//! The attempts beyond the first of each request are bounded over the whole fleet and any
//! window of a few seconds. Members enforce the bound without exchanging messages on the
//! request path: each earns budget from the requests that it has handled in the window itself,
//! and takes its [`Share`] of the slack. Invariant: the attempts of all members add up to at most
//! `ratio * requests + slack`, as long as their shares add up to at most one.

use std::time::{Duration, Instant};

use bergamot_policy::Policy;

use crate::share::Share;

/// The number of buckets that a window is divided into.
const BUCKETS: usize = 20;

/// Whether the outcome of a request depends on an additional attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPriority {
    /// The request fails without it.
    Required,
    /// The answer is more complete or earlier with it.
    Optional,
}

/// The bound on additional attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Additional attempts per request.
    pub ratio: f64,
    /// Additional attempts of the whole fleet per window, independent of the requests.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Default for RetryBudgetLimits {
    /// Allows a tenth of the requests plus one in ten seconds, so that retries never double the
    /// load of a service.
    fn default() -> Self {
        Self { ratio: 0.1, slack: 1.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    extra: u32,
}

/// The requests and additional attempts of one member at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    start: Instant,
    buckets: [Bucket; BUCKETS],
}

impl RetryBudget {
    /// Creates a budget without requests or attempts.
    pub fn new(now: Instant) -> Self {
        Self { start: now, buckets: [Bucket::default(); BUCKETS] }
    }

    /// Counts a request to the service.
    pub fn record_request(&mut self, now: Instant, limits: &RetryBudgetLimits) {
        self.bucket(now, limits).requests += 1;
    }

    /// Takes one additional attempt from the budget and returns whether it was available.
    pub fn try_spend(
        &mut self,
        now: Instant,
        limits: &RetryBudgetLimits,
        policy: &Policy,
        share: impl Into<Share>,
        priority: AttemptPriority,
    ) -> bool {
        let granted = self.can_spend(now, limits, policy, share, priority);
        if granted {
            self.bucket(now, limits).extra += 1;
        }
        granted
    }

    /// Returns whether an additional attempt is available.
    pub fn can_spend(
        &self,
        now: Instant,
        limits: &RetryBudgetLimits,
        policy: &Policy,
        share: impl Into<Share>,
        priority: AttemptPriority,
    ) -> bool {
        let newest = self.bucket_index(now, limits);
        let in_window = |bucket: &&Bucket| bucket.index + BUCKETS as u64 > newest;
        let (requests, extra) = self
            .buckets
            .iter()
            .filter(in_window)
            .fold((0, 0), |(requests, extra), b| (requests + b.requests, extra + b.extra));
        let margin = policy.margin;
        let (earned, slack) = if margin.on { (margin.earned, margin.slack) } else { (1.0, 1.0) };
        let earned = limits.ratio * earned * f64::from(requests);
        let slack = share.into().slack(limits.slack * slack);
        let reserved = policy.reserve.on && priority == AttemptPriority::Optional;
        let usable = if reserved { 1.0 - policy.reserve.part } else { 1.0 };
        f64::from(extra) + 1.0 <= (earned + slack) * usable
    }

    fn bucket_index(&self, now: Instant, limits: &RetryBudgetLimits) -> u64 {
        let length = (limits.window / BUCKETS as u32).max(Duration::from_millis(1));
        let since = now.saturating_duration_since(self.start);
        // The first index is `BUCKETS`, so that unused buckets, whose index is zero, are outside of
        // every window.
        BUCKETS as u64 + (since.as_nanos() / length.as_nanos()) as u64
    }

    fn bucket(&mut self, now: Instant, limits: &RetryBudgetLimits) -> &mut Bucket {
        let index = self.bucket_index(now, limits);
        let bucket = &mut self.buckets[(index % BUCKETS as u64) as usize];
        if bucket.index != index {
            *bucket = Bucket { index, ..Bucket::default() };
        }
        bucket
    }
}
