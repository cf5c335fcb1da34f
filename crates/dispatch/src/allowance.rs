//! How many additional attempts a member may make at a service.
//!
//! The users bound the attempts beyond the first of each request over the whole fleet and
//! any window of some seconds. No message about it travels on a request's path: a member
//! earns from the requests that it has seen itself in the window, and takes its part of
//! the slack by the number of members. Invariant: the members' spending adds up to at
//! most `ratio * requests + slack`, as long as each counts every member that spends.

use std::time::{Duration, Instant};

use bergamot_policy::Policy;

/// How many buckets a window is counted in.
const BUCKETS: usize = 20;

/// What an additional attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Without it the request fails.
    Required,
    /// With it the answer is more complete or comes sooner.
    Useful,
}

/// The bound on additional attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Additional attempts for each request.
    pub ratio: f64,
    /// Additional attempts of the whole fleet in a window, whatever the requests.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Default for Terms {
    /// A tenth of the requests in ten seconds, and one: a service is never doubled.
    fn default() -> Self {
        Self { ratio: 0.1, slack: 1.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    extra: u32,
}

/// What one member has seen and spent at one service.
#[derive(Clone, Debug)]
pub struct Allowance {
    start: Instant,
    buckets: [Bucket; BUCKETS],
}

impl Allowance {
    /// Starts with nothing seen and nothing spent.
    pub fn new(now: Instant) -> Self {
        Self { start: now, buckets: [Bucket::default(); BUCKETS] }
    }

    /// Counts a request for the service.
    pub fn earn(&mut self, now: Instant, terms: &Terms) {
        self.bucket(now, terms).requests += 1;
    }

    /// Spends one additional attempt if the bound has room for it.
    pub fn spend(
        &mut self,
        now: Instant,
        terms: &Terms,
        policy: &Policy,
        members: usize,
        need: Need,
    ) -> bool {
        let newest = self.number(now, terms);
        let recent = |bucket: &&Bucket| bucket.number + BUCKETS as u64 > newest;
        let (requests, extra) = self
            .buckets
            .iter()
            .filter(recent)
            .fold((0, 0), |(requests, extra), b| (requests + b.requests, extra + b.extra));
        let margin = policy.margin;
        let (earned, slack) = if margin.on { (margin.earned, margin.slack) } else { (1.0, 1.0) };
        let earned = terms.ratio * earned * f64::from(requests);
        let slack = terms.slack * slack / members.max(1) as f64;
        let keeps = policy.reserve.on && need == Need::Useful;
        let part = if keeps { 1.0 - policy.reserve.part } else { 1.0 };
        let granted = f64::from(extra) + 1.0 <= (earned + slack) * part;
        if granted {
            self.bucket(now, terms).extra += 1;
        }
        granted
    }

    fn number(&self, now: Instant, terms: &Terms) -> u64 {
        let length = (terms.window / BUCKETS as u32).max(Duration::from_millis(1));
        let since = now.saturating_duration_since(self.start);
        // Numbers start at one, so that untouched buckets are never recent.
        BUCKETS as u64 + (since.as_nanos() / length.as_nanos()) as u64
    }

    fn bucket(&mut self, now: Instant, terms: &Terms) -> &mut Bucket {
        let number = self.number(now, terms);
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }
}
