//! One incarnation of a searcher as this member sees it: connections and an outlook.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_dispatch::{Candidate, Distance, LatencyEstimator, StallPeriod};
use bergamot_policy::Policy;
use bergamot_registry::Upstream;
use bergamot_upstream::Pool;

use crate::settings::Settings;

/// What is added to the expected time of a searcher whose connections are all taken, in
/// milliseconds: more than any searcher takes, so that it is asked last.
const SATURATED: f64 = 10_000.0;

/// One incarnation of a searcher.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) distance: Distance,
    policy: Arc<Policy>,
    outlook: Mutex<LatencyEstimator>,
    /// When a connection was last opened ahead of need.
    warmed: Mutex<Option<Instant>>,
    /// Whether nobody listened at its address any more.
    ended: AtomicBool,
}

impl Link {
    /// Makes the link to a searcher of which nothing has been seen.
    pub(crate) fn new(
        upstream: Arc<Upstream>,
        share: usize,
        round_trip: Option<Duration>,
        rhythm: StallPeriod,
        settings: &Settings,
    ) -> Arc<Self> {
        let region = |zone: &str| settings.regions.get(zone).map(|region| &**region);
        let here = (&*settings.zone, region(&settings.zone));
        let there = (&*upstream.zone, region(&upstream.zone));
        let distance = Distance::between(here, there);
        let pool = Pool::new(settings.address, upstream.address, share, settings.dial);
        let policy = Arc::clone(&settings.policy);
        let outlook = Mutex::new(LatencyEstimator::new(
            distance.initial_latency(round_trip),
            Arc::clone(&policy),
            rhythm,
        ));
        let warmed = Mutex::default();
        let ended = AtomicBool::new(false);
        Arc::new(Self { upstream, pool, distance, policy, outlook, warmed, ended })
    }

    /// Tells whether the searcher was found to have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Finds out whether the searcher has ended.
    pub(crate) async fn find_ended(&self) -> bool {
        let ended = self.pool.searcher_exited().await;
        self.ended.fetch_or(ended, Ordering::Relaxed);
        ended
    }

    /// Tells whether a searcher is still where it said that it was, and serves the same service.
    pub(crate) fn leads_to(&self, upstream: &Upstream) -> bool {
        let of = |upstream: &Upstream| (upstream.address, Name::clone(&upstream.service));
        of(&self.upstream) == of(upstream)
    }

    /// Returns what this member has seen of the searcher.
    pub(crate) fn outlook(&self) -> MutexGuard<'_, LatencyEstimator> {
        self.outlook.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether a connection may be opened ahead of need, and notes that it is.
    pub(crate) fn may_warm(&self, now: Instant) -> bool {
        let mut warmed = self.warmed.lock().unwrap_or_else(PoisonError::into_inner);
        let due = warmed.is_none_or(|last| now >= last + self.policy.warm.again);
        if due {
            *warmed = Some(now);
        }
        due
    }

    /// Estimates how long one more request will take, in milliseconds.
    pub(crate) fn delay(&self, now: Instant) -> f64 {
        self.outlook().delay(now, self.upstream.slots)
    }

    /// Describes the searcher for the choice among those of its service.
    pub(crate) fn candidate(self: &Arc<Self>, missing: bool, now: Instant) -> Candidate<Arc<Self>> {
        let cold = now < self.upstream.warm_at;
        let mut expected = self.outlook().expected(now, self.upstream.slots, cold);
        if self.distance == Distance::Far && self.policy.near.on {
            expected *= self.policy.near.factor;
        }
        let usage = self.pool.usage();
        if usage.idle == 0 && usage.open >= usage.share {
            expected += SATURATED;
        }
        Candidate { searcher: Arc::clone(self), missing, expected }
    }
}
