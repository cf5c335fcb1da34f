//! What follows after a searcher rejected the request: the request may be at fault, or the searcher.
//!
//! `bergamot-dispatch` decides; see `docs/design/0021-verdicts.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_dispatch::{Overdue, RejectedRetry};
use bergamot_registry::Incarnation;

use super::{Race, RacePlan, TriedSearcher};
use crate::link::SearcherLink;

/// The least time for a test of the request to end before another one begins.
const MIN_TEST_TIME: Duration = Duration::from_millis(20);

/// How many times as long as the rejection a test may take before others begin beside it.
const SLOW_TEST_FACTOR: u32 = 2;

/// What one race knows of searchers that rejected its request.
#[derive(Debug, Default)]
pub(super) struct Rejection {
    /// The searchers that rejected it here.
    searchers: Vec<Arc<SearcherLink>>,
    /// The searchers that rejected it at a member.
    reported: Vec<Incarnation>,
    /// Whether the next or current attempt tests the request for all shards.
    is_test: bool,
}

impl Rejection {
    /// Returns what is known before a race.
    pub(super) fn before(plan: &RacePlan) -> Self {
        let known = plan.tried.iter().filter_map(|tried| match tried {
            TriedSearcher::Known(searcher) => Some(searcher.clone()),
            TriedSearcher::Unidentified => None,
        });
        let reported = if plan.is_doubtful { known.collect() } else { Vec::new() };
        Self { reported, ..Self::default() }
    }
}

impl Race<'_> {
    /// Records that a searcher rejected the request.
    pub(super) fn record_rejection(&mut self, link: &Arc<SearcherLink>) {
        self.rejection.searchers.push(Arc::clone(link));
    }

    /// Records that no searcher accepted the request. If several rejected it, they agree. One that has
    /// not answered in time has not confirmed a rejection.
    pub(super) fn record_refusal(&self) {
        if self.rejection.searchers.len() > 1 {
            self.record_confirmations(true);
        } else if self.worst.timed_out && !self.running.is_empty() {
            self.record_confirmations(false);
        }
    }

    /// Records that a searcher accepted the request, so that those that rejected it have failed.
    pub(super) fn record_acceptance(&mut self) {
        self.end_test(false);
        self.record_confirmations(false);
        self.record_failures();
    }

    /// Records for the searchers that rejected the request whether another one did so too.
    fn record_confirmations(&self, is_confirmed: bool) {
        for link in &self.rejection.searchers {
            link.estimator().rejections().record_confirmation(is_confirmed);
        }
    }

    /// Records that the searchers that rejected the request have failed.
    fn record_failures(&mut self) {
        let Rejection { searchers, reported, .. } = &mut self.rejection;
        for link in searchers.drain(..) {
            link.estimator().record_failure(Instant::now());
        }
        for searcher in reported.drain(..) {
            self.relay.record_searcher_failure(&searcher);
        }
    }

    /// Returns whether another searcher is asked after one rejected the request.
    pub(super) async fn permit_rejected(&mut self) -> bool {
        if self.job.is_gathered {
            return self.await_permission().await;
        }
        let needs_confirmation =
            |link: &Arc<SearcherLink>| link.estimator().rejections().needs_confirmation();
        let is_in_time = Instant::now() < self.plan.target || self.is_doubted();
        is_in_time && self.rejection.searchers.iter().all(needs_confirmation)
    }

    /// Returns whether others have confirmed the rejections of none of the searchers that rejected
    /// the request.
    fn is_doubted(&self) -> bool {
        let is_doubted = |link: &Arc<SearcherLink>| link.estimator().rejections().is_doubted();
        self.rejection.searchers.iter().all(is_doubted)
    }

    /// Waits until another shard has accepted the request, this one may test it, or it is known to be
    /// at fault. Returns whether another searcher may be asked.
    pub(super) async fn await_permission(&mut self) -> bool {
        let received = self.job.request.received;
        let usual = self.plan.expected_response_by.saturating_duration_since(received);
        let usual = usual.max(MIN_TEST_TIME);
        let test_time = (received.elapsed() * SLOW_TEST_FACTOR).max(MIN_TEST_TIME);
        let (mut begun, mut usual_over) = (0, Instant::now());
        loop {
            let (now, tests) = (Instant::now(), self.job.tally().tests());
            if tests != begun || now >= usual_over {
                (begun, usual_over) = (tests, now + usual);
            }
            let (until, overdue) = match now + test_time {
                test_over if self.job.tally().is_testing() && test_over < usual_over => {
                    (test_over, Overdue::Test)
                }
                _ => (usual_over, Overdue::Answer),
            };
            let until = until.min(self.plan.deadline);
            let decision = self.job.decide_deferred(until, |tally, is_over| {
                let decision = if is_over {
                    tally.retry_overdue(begun, overdue)
                } else {
                    tally.retry_rejected()
                };
                (decision != RejectedRetry::Wait).then_some(decision)
            });
            match decision.await {
                Some(RejectedRetry::Now) => {
                    self.record_failures();
                    return true;
                }
                Some(RejectedRetry::Test) => {
                    self.rejection.is_test = true;
                    return true;
                }
                Some(RejectedRetry::Never) => return false,
                Some(RejectedRetry::Wait) | None if Instant::now() >= self.plan.deadline => {
                    return false;
                }
                Some(RejectedRetry::Wait) | None => {}
            }
        }
    }

    /// Ends the test of the request, if it was made here, and lets the other shards know.
    pub(super) fn end_test(&mut self, is_rejected: bool) {
        if std::mem::take(&mut self.rejection.is_test) {
            self.job.tally().end_test(is_rejected);
            self.job.tally_changed.notify_waiters();
        }
    }

    /// Returns by when a response is returned. A rejection at hand of a searcher whose rejections others
    /// have confirmed is probably true, so that a second searcher delays it until the target at most.
    pub(super) fn response_due(&self) -> Instant {
        let is_at_hand = self.worst.is_rejected && self.worst.response.is_some();
        let is_probably_true = is_at_hand && !self.job.is_gathered && !self.is_doubted();
        if is_probably_true { self.plan.target } else { self.plan.deadline }
    }
}
