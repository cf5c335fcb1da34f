//! What follows after a searcher rejected the request: the request may be at fault, or the searcher.
//!
//! `bergamot-dispatch` decides; see `docs/design/0021-verdicts.md`.

use std::sync::Arc;
use std::time::Instant;

use bergamot_dispatch::RejectedRetry;
use rand::RngExt;

use super::Race;
use crate::link::SearcherLink;

impl Race<'_> {
    /// Records that a searcher rejected the request.
    pub(super) fn record_rejection(&mut self, link: &Arc<SearcherLink>) {
        let is_confirmed = !self.rejected_by.is_empty();
        self.rejected_by.push(Arc::clone(link));
        if is_confirmed {
            self.record_opinions(true);
        }
    }

    /// Records for the searchers that rejected the request whether another one did so too. If not,
    /// they have failed.
    pub(super) fn record_opinions(&self, is_confirmed: bool) {
        for link in &self.rejected_by {
            let mut estimator = link.estimator();
            estimator.rejections().record_opinion(is_confirmed);
            if !is_confirmed {
                estimator.record_failure(Instant::now());
            }
        }
    }

    /// Decides whether another searcher is asked after one rejected the request.
    pub(super) async fn permit_rejected(&mut self) -> RejectedRetry {
        if !self.job.tally().is_single_searcher() {
            let permission = self.await_permission().await;
            if permission == RejectedRetry::Now {
                // Another shard has accepted the request, so its searchers are at fault.
                for link in self.rejected_by.drain(..) {
                    link.estimator().record_failure(Instant::now());
                }
            }
            return permission;
        }
        let mut rng = rand::rng();
        let mut is_doubted = |link: &Arc<SearcherLink>| {
            link.estimator().rejections().needs_second_opinion(rng.random())
        };
        let has_time = Instant::now() < self.plan.target;
        match &*self.rejected_by {
            [link] if has_time && is_doubted(link) => RejectedRetry::Now,
            _ => RejectedRetry::Never,
        }
    }

    /// Waits until the other shards show whether the request is at fault.
    pub(super) async fn await_permission(&mut self) -> RejectedRetry {
        self.job
            .decide_deferred(self.plan.deadline, |tally, is_over| match tally.retry_rejected() {
                RejectedRetry::Wait => is_over.then_some(RejectedRetry::Never),
                permission => Some(permission),
            })
            .await
            .unwrap_or(RejectedRetry::Never)
    }

    /// Lets another shard test the request if the attempt to do so was not started.
    pub(super) fn settle_test(&self, permission: RejectedRetry, is_started: bool) {
        if permission == RejectedRetry::Test && !is_started {
            self.job.tally().withdraw_test();
            self.job.tally_changed.notify_waiters();
        }
    }

    /// Returns by when a response is returned. A rejection at hand is probably true, so that a second
    /// searcher delays it until the target at most.
    pub(super) fn response_due(&self) -> Instant {
        let is_at_hand = self.worst.is_rejected && self.worst.response.is_some();
        if is_at_hand && self.job.tally().is_single_searcher() {
            self.plan.target
        } else {
            self.plan.deadline
        }
    }
}
