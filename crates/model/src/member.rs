//! A member: what it has seen, and the deciders that it asks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::Route;
use bergamot_dispatch::{
    AttemptPriority, Candidate, Distance, LatencyEstimator, RequestTimeouts, RetryBudget,
    RetryBudgetLimits, StallPeriod, admit, rank,
};
use bergamot_policy::Policy;
use bergamot_upstream::LatencyPercentile;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::load::Load;
use crate::world::Shards;

/// The users' bound on additional attempts.
const TERMS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

/// A member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) region: usize,
    policy: Arc<Policy>,
    members: usize,
    slots: usize,
    outlooks: Vec<LatencyEstimator>,
    allowances: Vec<RetryBudget>,
    paces: Vec<LatencyPercentile>,
    rng: StdRng,
}

impl Member {
    /// Makes a member that knows nothing yet.
    pub(crate) fn new(
        load: &Load,
        shards: &Shards,
        region: usize,
        now: Instant,
        rng: StdRng,
    ) -> Self {
        let policy = Arc::new(load.policy);
        let distance = |searcher: usize| distance(shards.region(searcher), region);
        let rhythm = StallPeriod::default();
        let outlook = |searcher| {
            let guess = distance(searcher).initial_latency(None);
            LatencyEstimator::new(guess, Arc::clone(&policy), rhythm.clone())
        };
        Self {
            region,
            members: load.members,
            slots: load.slots,
            outlooks: (0..shards.searchers()).map(outlook).collect(),
            allowances: vec![RetryBudget::new(now); load.shards],
            paces: vec![LatencyPercentile::new(policy.hedge.percentile); load.streams.len()],
            policy,
            rng,
        }
    }

    /// Sets the moments of a request.
    pub(crate) fn patience(&self, route: &Route, stream: usize) -> RequestTimeouts {
        let usual = self.paces[stream].estimate();
        RequestTimeouts::new(route, Some(route.timeout), usual, None, &self.policy)
    }

    /// Decides whether a request is taken up.
    pub(crate) fn admits(
        &mut self,
        shards: &Shards,
        patience: RequestTimeouts,
        fewest: usize,
        now: Instant,
    ) -> bool {
        let delay = |searcher: usize| self.outlooks[searcher].delay(now, self.slots);
        let fastest =
            |shard: &[usize]| shard.iter().map(|searcher| delay(*searcher)).min_by(f64::total_cmp);
        let mut delays: Vec<f64> = shards.0.iter().filter_map(|shard| fastest(shard)).collect();
        admit(&mut delays, fewest, patience.target, &self.policy.admit, self.rng.random()).is_ok()
    }

    /// Chooses the searcher of a shard for the next attempt.
    pub(crate) fn choose(
        &mut self,
        shards: &Shards,
        shard: usize,
        tried: &[usize],
        now: Instant,
    ) -> Option<usize> {
        let candidate = |searcher: &usize| {
            let mut expected = self.outlooks[*searcher].expected(now, self.slots, false);
            let far = distance(shards.region(*searcher), self.region) == Distance::Far;
            if far && self.policy.near.on {
                expected *= self.policy.near.factor;
            }
            Candidate { searcher: *searcher, missing: false, expected }
        };
        let untried = shards.0[shard].iter().filter(|searcher| !tried.contains(searcher));
        let candidates = untried.map(candidate).collect();
        let rng = &mut self.rng;
        rank(candidates, &self.policy.spread, || rng.random()).into_iter().next()
    }

    pub(crate) fn earn(&mut self, shard: usize, now: Instant) {
        self.allowances[shard].record_request(now, &TERMS);
    }

    /// Spends an additional attempt at a shard, if the bound has room for it.
    pub(crate) fn spend(&mut self, shard: usize, need: AttemptPriority, now: Instant) -> bool {
        self.allowances[shard].try_spend(now, &TERMS, &self.policy, self.members, need)
    }

    /// Notes that an attempt was sent.
    pub(crate) fn sent(&mut self, searcher: usize, now: Instant) {
        self.outlooks[searcher].record_send(now);
    }

    /// Notes an answer to an attempt that was sent at a moment.
    pub(crate) fn answered(&mut self, searcher: usize, stream: usize, sent: Instant, now: Instant) {
        self.outlooks[searcher].record_answer(sent, now);
        self.paces[stream].record(now.saturating_duration_since(sent));
    }

    /// Notes that nobody waits for an attempt any more.
    pub(crate) fn abandoned(&mut self, searcher: usize, sent: Instant, now: Instant) {
        self.outlooks[searcher].record_abandon(sent, now);
    }

    /// Notes that an attempt failed.
    pub(crate) fn failed(&mut self, searcher: usize, sent: Instant, now: Instant) {
        self.outlooks[searcher].record_end(sent);
        self.outlooks[searcher].record_failure(now);
    }

    /// Tells whether mechanisms of a name are on.
    pub(crate) fn policy(&self) -> &Policy {
        &self.policy
    }
}

/// Measures how far a searcher's region is from a member's.
pub(crate) fn distance(there: usize, here: usize) -> Distance {
    if there == here { Distance::Zone } else { Distance::Far }
}
