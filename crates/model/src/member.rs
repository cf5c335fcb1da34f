//! Simulated members: their latency estimates, retry budgets and use of the dispatch logic.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::Route;
use bergamot_dispatch::{
    AttemptPriority, Candidate, Distance, LatencyEstimator, RequestTimeouts, RetryBudget,
    RetryBudgetLimits, StallPeriod, admit, best,
};
use bergamot_policy::Policy;
use bergamot_upstream::LatencyPercentile;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::load::Load;
use crate::simulation::Shards;

/// The limits on additional attempts that the users require.
const BUDGET_LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

/// A simulated member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) region: usize,
    policy: Arc<Policy>,
    members: usize,
    slots: usize,
    latency_estimators: Vec<LatencyEstimator>,
    retry_budgets: Vec<RetryBudget>,
    latency_percentiles: Vec<LatencyPercentile>,
    rng: StdRng,
}

impl Member {
    /// Creates a member without any observations.
    pub(crate) fn new(
        load: &Load,
        shards: &Shards,
        region: usize,
        now: Instant,
        rng: StdRng,
    ) -> Self {
        let policy = Arc::new(load.policy);
        let distance = |searcher: usize| distance(shards.region(searcher), region);
        let stall_period = StallPeriod::default();
        let estimator = |searcher| {
            let initial = distance(searcher).initial_latency(None);
            LatencyEstimator::new(initial, Arc::clone(&policy), stall_period.clone())
        };
        Self {
            region,
            members: load.members,
            slots: load.slots,
            latency_estimators: (0..shards.searcher_count()).map(estimator).collect(),
            retry_budgets: vec![RetryBudget::new(now); load.shards],
            latency_percentiles: vec![
                LatencyPercentile::new(policy.hedge.percentile);
                load.streams.len()
            ],
            policy,
            rng,
        }
    }

    /// Computes the hedge delay, target latency and deadline of a request.
    pub(crate) fn timeouts(&self, route: &Route, stream: usize) -> RequestTimeouts {
        let typical = self.latency_percentiles[stream].estimate();
        RequestTimeouts::new(route, Some(route.timeout), typical, None, &self.policy)
    }

    /// Returns whether admission control accepts a request.
    pub(crate) fn admit(
        &mut self,
        shards: &Shards,
        timeouts: RequestTimeouts,
        required: usize,
        now: Instant,
    ) -> bool {
        let delay = |searcher: usize| self.latency_estimators[searcher].delay(now, self.slots);
        let fastest =
            |shard: &[usize]| shard.iter().map(|searcher| delay(*searcher)).min_by(f64::total_cmp);
        let mut delays: Vec<f64> =
            shards.replicas.iter().filter_map(|shard| fastest(shard)).collect();
        admit(&mut delays, required, timeouts.target, &self.policy.admit, self.rng.random()).is_ok()
    }

    /// Selects the searcher of a shard for the next attempt, or `None` if all were tried.
    pub(crate) fn select_searcher(
        &mut self,
        shards: &Shards,
        shard: usize,
        tried: &[usize],
        now: Instant,
    ) -> Option<usize> {
        let candidate = |searcher: &usize| {
            let mut expected = self.latency_estimators[*searcher].expected(now, self.slots, false);
            let far = distance(shards.region(*searcher), self.region) == Distance::Far;
            if far && self.policy.near.on {
                expected *= self.policy.near.factor;
            }
            Candidate { searcher: *searcher, missing: false, expected }
        };
        let untried = shards.replicas[shard].iter().filter(|searcher| !tried.contains(searcher));
        let candidates: Vec<_> = untried.map(candidate).collect();
        let rng = &mut self.rng;
        best(candidates, &self.policy.spread, || rng.random())
    }

    /// Adds the budget that a request earns for additional attempts at a shard.
    pub(crate) fn record_request(&mut self, shard: usize, now: Instant) {
        self.retry_budgets[shard].record_request(now, &BUDGET_LIMITS);
    }

    /// Takes an additional attempt from the retry budget of a shard, if the budget allows it.
    pub(crate) fn try_spend(
        &mut self,
        shard: usize,
        priority: AttemptPriority,
        now: Instant,
    ) -> bool {
        self.retry_budgets[shard].try_spend(
            now,
            &BUDGET_LIMITS,
            &self.policy,
            self.members,
            priority,
        )
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_send(&mut self, searcher: usize, now: Instant) {
        self.latency_estimators[searcher].record_send(now);
    }

    /// Records a successful response to an attempt.
    pub(crate) fn record_answer(
        &mut self,
        searcher: usize,
        stream: usize,
        sent: Instant,
        now: Instant,
    ) {
        self.latency_estimators[searcher].record_answer(sent, now);
        self.latency_percentiles[stream].record(now.saturating_duration_since(sent));
    }

    /// Records that an attempt was cancelled.
    pub(crate) fn record_abandon(&mut self, searcher: usize, sent: Instant, now: Instant) {
        self.latency_estimators[searcher].record_abandon(sent, now);
    }

    /// Records that an attempt failed.
    pub(crate) fn record_failure(&mut self, searcher: usize, sent: Instant, now: Instant) {
        self.latency_estimators[searcher].record_end(sent);
        self.latency_estimators[searcher].record_failure(now);
    }

    pub(crate) fn policy(&self) -> &Policy {
        &self.policy
    }
}

/// Returns the distance between two regions.
pub(crate) fn distance(a: usize, b: usize) -> Distance {
    if a == b { Distance::Zone } else { Distance::Far }
}
