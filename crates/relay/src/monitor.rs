//! What the connections to all searchers report: how many are open, how long opening one took, and
//! which searchers have none left.
//!
//! With thousands of searchers, asking each pool at every tick costs more than serving requests.
//! The pools report their changes instead ([`Observer`]).

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bergamot_answer::Finding;
use bergamot_base::Name;
use bergamot_dispatch::ZoneRoundTrips;
use bergamot_logger::Sampler;
use bergamot_registry::{Incarnation, Upstream};
use bergamot_upstream::Observer;
use prometheus::IntCounterVec;

/// How many findings are logged a second; all are counted.
const MAX_FINDINGS_LOGGED: u32 = 10;

/// The state shared by the connection pools of a relay.
#[derive(Debug)]
pub(crate) struct Monitor {
    /// What searchers sent that is not the answer to its request, by kind.
    findings: IntCounterVec,
    log_sampler: Mutex<Sampler>,
    open: AtomicUsize,
    round_trips: Mutex<ZoneRoundTrips>,
    unconnected: Mutex<Vec<Incarnation>>,
}

impl Monitor {
    /// Creates the state without connections; `findings` counts what is not the answer to a request.
    pub(crate) fn new(findings: IntCounterVec) -> Arc<Self> {
        Arc::new(Self {
            findings,
            log_sampler: Mutex::new(Sampler::new(MAX_FINDINGS_LOGGED)),
            open: AtomicUsize::new(0),
            round_trips: Mutex::default(),
            unconnected: Mutex::default(),
        })
    }

    /// Creates the observer of the pool of one searcher, which has no connections yet.
    pub(crate) fn observe(self: &Arc<Self>, upstream: &Upstream) -> Observer {
        let (for_dials, for_opened) = (Arc::clone(self), Arc::clone(self));
        let (for_closed, zone) = (Arc::clone(self), Name::clone(&upstream.zone));
        let (for_found, searcher) = (Arc::clone(self), upstream.incarnation.clone());
        let incarnation = upstream.incarnation.clone();
        self.record_unconnected(upstream.incarnation.clone());
        Observer {
            dialled: Box::new(move |took| {
                for_dials.lock_round_trips().record(&zone, took, Instant::now());
            }),
            opened: Box::new(move || {
                for_opened.open.fetch_add(1, Ordering::Relaxed);
            }),
            closed: Box::new(move |left| {
                for_closed.open.fetch_sub(1, Ordering::Relaxed);
                if left == 0 {
                    for_closed.record_unconnected(incarnation.clone());
                }
            }),
            found: Box::new(move |finding| for_found.record_finding(&searcher, finding)),
        }
    }

    /// Counts and logs what a searcher sent that is not the answer to its request.
    fn record_finding(&self, searcher: &Incarnation, finding: &Finding) {
        let kind = finding.label();
        self.findings.with_label_values(&[kind]).inc();
        let mut sampler = self.log_sampler.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(left_out) = sampler.admit(Instant::now()) {
            log::warn!(
                "relay: event=answer_not_own searcher={searcher} kind={kind} {finding} \
                 left_out={left_out}"
            );
        }
    }

    /// Returns the number of connections that are open or being established.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the round-trip time to a zone, if one was observed.
    pub(crate) fn round_trip(&self, zone: &str) -> Option<Duration> {
        self.lock_round_trips().round_trip(zone)
    }

    /// Returns the shortest round-trip time to the zones that match, if one was observed.
    pub(crate) fn shortest_round_trip(&self, zones: impl Fn(&Name) -> bool) -> Option<Duration> {
        self.lock_round_trips().shortest_to(zones)
    }

    /// Records that a searcher has no connection.
    pub(crate) fn record_unconnected(&self, searcher: Incarnation) {
        self.lock_unconnected().push(searcher);
    }

    /// Returns the searchers that were left without a connection since the last call.
    pub(crate) fn take_unconnected(&self) -> Vec<Incarnation> {
        std::mem::take(&mut self.lock_unconnected())
    }

    fn lock_round_trips(&self) -> MutexGuard<'_, ZoneRoundTrips> {
        self.round_trips.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_unconnected(&self) -> MutexGuard<'_, Vec<Incarnation>> {
        self.unconnected.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
