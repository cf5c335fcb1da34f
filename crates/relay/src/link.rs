//! This member's connections to one incarnation of a searcher, and its latency estimates.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Name, hash_bytes};
use bergamot_dispatch::{Candidate, Distance, Estimate, LatencyEstimator, LoadReport, StallPeriod};
use bergamot_policy::Policy;
use bergamot_quarantine::{CheckStep, CrashCheck};
use bergamot_registry::Upstream;
use bergamot_upstream::{Pool, PoolSettings, Reuse};

use crate::monitor::Monitor;
use crate::settings::Settings;

/// Added to the expected latency of a searcher with no free connection, that has just sent an answer
/// beyond a bound, or that is avoided once, in milliseconds: more than any request takes, so that it is
/// chosen last.
const LAST_CHOICE_PENALTY_MS: f64 = 10_000.0;

/// How long the listener of an ended process may remain open after its connections.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(10);

/// The link to one incarnation of a searcher.
#[derive(Debug)]
pub(crate) struct SearcherLink {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) distance: Distance,
    policy: Arc<Policy>,
    /// A hash that identifies the incarnation within its shard, in messages to other members.
    short_hash: u32,
    estimator: Mutex<LatencyEstimator>,
    load_report: Mutex<LoadReport>,
    /// When a connection was last opened in advance.
    last_prewarm: Mutex<Option<Instant>>,
    /// Whether the searcher's address was found not to be listening.
    ended: AtomicBool,
    /// Whether the next request goes to another searcher of the service, if there is one.
    is_avoided_once: AtomicBool,
}

impl SearcherLink {
    /// Creates a link to a searcher that has not been used yet.
    pub(crate) fn new(
        upstream: Arc<Upstream>,
        pool: PoolSettings,
        monitor: &Arc<Monitor>,
        stall_period: StallPeriod,
        settings: &Settings,
    ) -> Arc<Self> {
        let region = |zone: &str| settings.regions.get(zone).map(|region| &**region);
        let here = (&*settings.zone, region(&settings.zone));
        let there = (&*upstream.zone, region(&upstream.zone));
        let distance = Distance::between(here, there);
        let observer = monitor.observe(&upstream);
        let pool = Pool::new(pool, observer);
        let policy = Arc::clone(&settings.policy);
        let estimator = Mutex::new(LatencyEstimator::new(
            distance.initial_latency(monitor.round_trip(&upstream.zone)),
            Arc::clone(&policy),
            stall_period,
        ));
        let (load_report, last_prewarm) = (Mutex::default(), Mutex::default());
        let (ended, is_avoided_once) = (AtomicBool::new(false), AtomicBool::new(false));
        let short_hash = hash_bytes(upstream.incarnation.to_string().as_bytes()) as u32;
        Arc::new(Self {
            upstream,
            pool,
            distance,
            policy,
            short_hash,
            estimator,
            load_report,
            last_prewarm,
            ended,
            is_avoided_once,
        })
    }

    /// Lets another searcher of the service have the next request, if there is one.
    pub(crate) fn avoid_once(&self) {
        self.is_avoided_once.store(true, Ordering::Relaxed);
    }

    /// Returns a hash that identifies the incarnation within its shard.
    pub(crate) fn short_hash(&self) -> u32 {
        self.short_hash
    }

    /// Returns whether the searcher was found to have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Checks whether the searcher has ended by connecting to its address, again if the connection
    /// doesn't last.
    pub(crate) async fn probe_ended(&self) -> bool {
        let mut check = CrashCheck::default();
        let ended = loop {
            match check.next_step() {
                CheckStep::Dial => check.record_dial(self.pool.searcher_exited().await),
                CheckStep::RequestStatus => check.record_status(self.keeps_connections().await),
                CheckStep::Complete { crashed } => break crashed,
            }
        };
        self.ended.fetch_or(ended, Ordering::Relaxed);
        ended
    }

    /// Returns whether an idle connection lasts for longer than an ended process takes to close its
    /// listener, which also ends the connections that the kernel accepted for it.
    async fn keeps_connections(&self) -> bool {
        tokio::time::sleep(LISTENER_CLOSE_TIME).await;
        let Some(lease) = self.pool.lease_idle(Reuse::Usual) else { return false };
        lease.release().await;
        true
    }

    /// Returns whether the address and service of a searcher are unchanged.
    pub(crate) fn is_same_endpoint(&self, upstream: &Upstream) -> bool {
        let endpoint = |upstream: &Upstream| (upstream.address, Name::clone(&upstream.service));
        endpoint(&self.upstream) == endpoint(upstream)
    }

    /// Locks the latency estimator of the searcher.
    pub(crate) fn estimator(&self) -> MutexGuard<'_, LatencyEstimator> {
        self.estimator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when a connection was last opened in advance.
    pub(crate) fn last_prewarm(&self) -> Option<Instant> {
        *self.lock_last_prewarm()
    }

    /// Records that a connection is opened in advance.
    pub(crate) fn record_prewarm(&self, now: Instant) {
        *self.lock_last_prewarm() = Some(now);
    }

    fn lock_last_prewarm(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_prewarm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many requests of this member are at the searcher or about to be sent there: those
    /// whose connection is still being opened have not been recorded as sent.
    pub(crate) fn occupied(&self) -> usize {
        let usage = self.pool.usage();
        usage.open.saturating_sub(usage.idle).max(self.estimator().in_flight())
    }

    /// Estimates the latency of one more request.
    pub(crate) fn estimate(&self, cold: bool, now: Instant) -> Estimate {
        self.estimator().estimate(now, self.upstream.slots, cold)
    }

    /// Returns the latency to report in a reply to another member, in milliseconds, if any.
    pub(crate) fn delay_to_report(&self, now: Instant) -> Option<f64> {
        let measured = self.estimator().measured(now)?;
        let mut report = self.load_report.lock().unwrap_or_else(PoisonError::into_inner);
        report.delay(now, measured, &self.policy.report)
    }

    /// Returns the searcher as a candidate for the choice within its service, given its expected
    /// latency in milliseconds.
    pub(crate) fn candidate(
        self: &Arc<Self>,
        missing: bool,
        expected: f64,
    ) -> Candidate<&Arc<Self>> {
        let mut expected = expected;
        if self.distance == Distance::Far && self.policy.near.on {
            expected *= self.policy.near.factor;
        }
        let is_avoided_once = self.is_avoided_once.load(Ordering::Relaxed)
            && self.is_avoided_once.swap(false, Ordering::Relaxed);
        if self.pool.is_saturated() || self.pool.is_avoided() || is_avoided_once {
            expected += LAST_CHOICE_PENALTY_MS;
        }
        Candidate { searcher: self, missing, expected }
    }
}
