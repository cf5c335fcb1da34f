//! The attempts for one request at one service: the first, hedges, and retries after failures.
//!
//! Invariants: at most as many searchers may run the request as the route allows; each delivery
//! beyond the first is charged to the service's retry budget; a non-idempotent request has one
//! attempt at a time, and another only if the request is known not to have run; once a searcher has
//! ended while running the request, further attempts must pass a gate shared by all its shards; a
//! request that searchers reject is tried elsewhere only as far as they may be at fault.

mod rejection;

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_answer::Verdict;
use bergamot_base::Name;
use bergamot_declaration::Idempotency;
use bergamot_dispatch::{AttemptPriority, Ending, RequestTimeouts};
use bergamot_policy::Policy;
use bergamot_quarantine::{Permit, TrialOutcome};
use bergamot_registry::Incarnation;
use tokio::time::sleep_until;

use crate::attempt::{AttemptLimits, Attempts};
use crate::exchange::AttemptError;
use crate::link::SearcherLink;
use crate::message::{Job, SearcherResponse};
use crate::meter::AttemptReason;
use crate::relay::Relay;
use rejection::Rejection;

/// The failure of all attempts.
#[derive(Clone, Debug)]
pub(crate) struct RaceFailure {
    /// The worst ending of all attempts that have ended.
    ending: Ending,
    /// Whether the deadline passed.
    pub(crate) timed_out: bool,
    /// Whether an attempt got bytes that could not be read as the response.
    met_fault: bool,
    /// Whether the last searcher that answered rejected the request.
    is_rejected: bool,
    /// An error response of a searcher that can be forwarded.
    pub(crate) response: Option<Box<SearcherResponse>>,
}

/// A searcher that was already asked for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TriedSearcher {
    /// A searcher with a known identity.
    Known(Incarnation),
    /// A searcher asked by a member that did not identify it.
    Unidentified,
}

impl fmt::Display for TriedSearcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Known(searcher) => searcher.fmt(f),
            Self::Unidentified => Ok(()),
        }
    }
}

/// The deadlines of a race and the searchers asked before it.
#[derive(Clone, Debug)]
pub(crate) struct RacePlan {
    /// The time by which the first attempt must have a connection.
    pub(crate) connect_by: Instant,
    /// When to hedge if there is no response yet; `None` if hedging is not allowed.
    pub(crate) hedge_at: Option<Instant>,
    /// The time by which nearly all nearby searchers have answered.
    pub(crate) expected_response_by: Instant,
    /// When a response with the required coverage is sent.
    pub(crate) target: Instant,
    /// The time after which the response is no longer useful.
    pub(crate) deadline: Instant,
    /// The searcher that is asked first, if it was chosen already.
    pub(crate) first: Option<Arc<SearcherLink>>,
    /// The searchers already asked for this request.
    pub(crate) tried: Vec<TriedSearcher>,
    /// Whether the retry budget was already charged for the next attempt.
    pub(crate) is_funded: bool,
    /// Whether searchers at a member rejected the request, and no shard had arrived.
    pub(crate) is_doubtful: bool,
    /// Whether only one searcher is asked, to test whether the request crashes it.
    pub(crate) single_attempt: bool,
}

impl RacePlan {
    /// Creates the plan for a request that was just received.
    pub(crate) fn new(job: &Job, timeouts: RequestTimeouts, policy: &Policy) -> Self {
        let at = |moment: Duration| job.request.received + moment;
        let hedges = policy.hedge.on && job.kind == Idempotency::Idempotent;
        let hedge_at = hedges.then(|| at(timeouts.hedge));
        let (connect_by, expected_response_by) = (at(timeouts.connect), at(timeouts.hedge));
        Self {
            connect_by,
            hedge_at,
            expected_response_by,
            target: at(timeouts.target),
            deadline: at(timeouts.end),
            first: None,
            tried: Vec::new(),
            is_funded: false,
            is_doubtful: false,
            single_attempt: false,
        }
    }

    /// Restricts the plan to one searcher without hedging.
    pub(crate) fn single_attempt(self) -> Self {
        Self { hedge_at: None, single_attempt: true, ..self }
    }
}

/// The result of starting another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartResult {
    /// The attempt is running.
    Started,
    /// The service's retry budget is exhausted.
    Denied,
    /// No searcher is left, or the route allows no more attempts.
    Exhausted,
}

/// The attempts for one request at one service.
pub(crate) struct Race<'a> {
    relay: &'a Arc<Relay>,
    job: &'a Arc<Job>,
    service: &'a Name,
    plan: RacePlan,
    running: Attempts<'a>,
    delivered: usize,
    not_run: usize,
    /// Whether an attempt was denied by the retry budget.
    budget_denied: bool,
    finished: bool,
    /// Whether the current attempt is the trial that decides for all shards whether the request
    /// crashes searchers.
    trial: bool,
    /// What is known of searchers that rejected the request.
    rejection: Rejection,
    worst: RaceFailure,
}

impl<'a> Race<'a> {
    /// Creates a race without starting an attempt.
    pub(crate) fn new(
        relay: &'a Arc<Relay>,
        job: &'a Arc<Job>,
        service: &'a Name,
        plan: RacePlan,
    ) -> Self {
        let delivered = plan.tried.len();
        let rejection = Rejection::before(&plan);
        Self {
            relay,
            job,
            service,
            plan,
            running: Attempts::default(),
            delivered,
            not_run: 0,
            budget_denied: false,
            finished: false,
            trial: false,
            rejection,
            worst: RaceFailure {
                ending: Ending::NotSent,
                timed_out: false,
                met_fault: false,
                is_rejected: false,
                response: None,
            },
        }
    }

    /// Runs attempts until one succeeds, none can follow, or the deadline passes.
    pub(crate) async fn run(mut self) -> Result<SearcherResponse, RaceFailure> {
        let response = self.run_attempts().await;
        self.finished = true;
        if response.is_none() {
            self.record_refusal();
        }
        response.ok_or_else(|| self.worst.clone())
    }

    async fn run_attempts(&mut self) -> Option<SearcherResponse> {
        let deadline = self.plan.deadline;
        let mut hedge_at = self.plan.hedge_at;
        let reason = if self.delivered > 0 { AttemptReason::Hedge } else { AttemptReason::First };
        // A race that passed the gate must not wait for others, which may wait for its end.
        let is_permitted = !self.plan.is_doubtful || self.await_permission().await;
        if !is_permitted || reason != AttemptReason::First && !self.pass_retry_gate().await {
            return None;
        }
        let priority = self.hedge_priority();
        if self.start_next(reason, priority) != StartResult::Started {
            self.log_withheld();
            return None;
        }
        loop {
            let deadline = self.response_due().min(deadline);
            let due = hedge_at.unwrap_or(deadline).min(deadline);
            tokio::select! {
                biased;
                (link, outcome) = self.running.next() => {
                    match outcome {
                        Ok(response) => {
                            self.settle_trial(TrialOutcome::Answered);
                            self.record_acceptance();
                            return Some(response);
                        }
                        Err(error) => self.record_error(&link, error),
                    }
                    let over = self.running.is_empty();
                    if over && !(self.may_retry() && self.retry().await) {
                        return None;
                    }
                }
                () = sleep_until(due.into()) => {
                    if due >= deadline {
                        self.worst.timed_out = true;
                        return None;
                    }
                    hedge_at = None;
                    let priority = self.hedge_priority();
                    if self.job.retry_gate.is_unrestricted() {
                        self.start_next(AttemptReason::Hedge, priority);
                    }
                }
            }
        }
    }

    /// Makes the next attempt now if the retry budget grants it, otherwise once it is known that
    /// the request fails without it.
    async fn retry(&mut self) -> bool {
        let is_permitted = !self.worst.is_rejected || self.permit_rejected().await;
        is_permitted && self.pass_retry_gate().await && self.start_retry().await
    }

    async fn start_retry(&mut self) -> bool {
        // The confirmation of a rejection must not use what failed requests need.
        let is_confirmation = self.worst.is_rejected && !self.job.is_gathered;
        let priority = if self.job.tally().is_single_searcher() && !is_confirmation {
            AttemptPriority::Required
        } else {
            AttemptPriority::Optional
        };
        match self.start_next(AttemptReason::Retry, priority) {
            StartResult::Started => true,
            StartResult::Exhausted => false,
            StartResult::Denied => {
                self.wait_until_needed().await
                    && self.start_next(AttemptReason::Retry, AttemptPriority::Required)
                        == StartResult::Started
            }
        }
    }

    /// Waits until a further attempt is permitted after a searcher has ended while running the
    /// request. Returns whether it is.
    async fn pass_retry_gate(&mut self) -> bool {
        match self.job.retry_gate.acquire(self.plan.deadline).await {
            Permit::Unrestricted => true,
            Permit::Trial => {
                self.trial = true;
                true
            }
            Permit::Denied => false,
            Permit::Wait => {
                self.worst.timed_out = true;
                false
            }
        }
    }

    /// Reports the result of the trial to the other races, if it was run here.
    fn settle_trial(&mut self, outcome: TrialOutcome) {
        if std::mem::take(&mut self.trial) {
            self.job.retry_gate.finish_trial(outcome);
        }
    }

    /// Waits until the first attempts for all shards have ended or the hedging time has passed.
    /// Returns whether the request needs this shard.
    async fn wait_until_needed(&mut self) -> bool {
        let until =
            (self.plan.expected_response_by + self.relay.max_member_delay()).max(Instant::now());
        self.job
            .decide_deferred(until, |tally, is_over| {
                (is_over || tally.first_attempts_ended()).then(|| tally.needs_deferred())
            })
            .await
            .unwrap_or(false)
    }

    /// Records the failure of an attempt.
    fn record_error(&mut self, link: &Arc<SearcherLink>, error: AttemptError) {
        let (ending, searcher) = (error.ending, &link.upstream.incarnation);
        self.job.failure_log.record_attempt(self.service, searcher, ending, &error.cause);
        self.relay.meter().count_ending(ending);
        self.worst.met_fault |= error.fault.is_some();
        self.worst.is_rejected = error.verdict == Some(Verdict::Rejected);
        self.end_test(self.worst.is_rejected);
        match error.verdict {
            Some(Verdict::NotRun) => self.relay.record_shortage(self.job),
            Some(Verdict::Rejected) => self.record_rejection(link),
            _ => {}
        }
        if error.searcher_ended {
            self.job.retry_gate.record_crash();
        }
        self.settle_trial(if error.searcher_ended {
            TrialOutcome::Crashed
        } else {
            TrialOutcome::Inconclusive
        });
        if ending.did_not_run() {
            self.not_run += 1;
            self.delivered -= usize::from(ending == Ending::NotSent);
        }
        self.worst.ending = self.worst.ending.max(ending);
        if error.response.is_some() {
            self.worst.response = error.response;
        }
    }

    /// Records which searchers are withheld from a request that none was asked for.
    fn log_withheld(&self) {
        if !self.plan.tried.is_empty() {
            return;
        }
        let service = std::slice::from_ref(self.service);
        let withheld = self.relay.count_withheld(service, &self.job.constraints);
        if !withheld.is_empty() {
            self.job.failure_log.record_withheld(self.service, &withheld);
        }
    }

    fn may_retry(&self) -> bool {
        let policy = self.relay.settings.policy.retry;
        let may_resend = policy.on && self.worst.ending.may_resend(self.job.kind);
        let trial_may_have_run = self.plan.single_attempt && !self.worst.ending.did_not_run();
        may_resend && !trial_may_have_run && self.not_run <= policy.most_refused
    }

    /// Returns the priority of a hedge: required if the request fails without one.
    fn hedge_priority(&self) -> AttemptPriority {
        if self.job.tally().is_below_coverage() {
            AttemptPriority::Required
        } else {
            AttemptPriority::Optional
        }
    }

    fn choose_searcher(&self) -> Option<Arc<SearcherLink>> {
        self.relay.choose_searcher(self.service, &self.job.constraints, &self.plan.tried)
    }

    /// Starts the next attempt if a searcher is left and the limits allow it.
    fn start_next(&mut self, reason: AttemptReason, priority: AttemptPriority) -> StartResult {
        let may_have_run = self.plan.tried.len() - self.not_run;
        if may_have_run >= self.job.max_attempts {
            return StartResult::Exhausted;
        }
        let Some(link) = self.plan.first.take().or_else(|| self.choose_searcher()) else {
            return StartResult::Exhausted;
        };
        // The running attempt may still succeed, and this one would hardly.
        if reason == AttemptReason::Hedge && !self.running.is_empty() && link.pool.is_avoided() {
            return StartResult::Exhausted;
        }
        let is_funded = std::mem::take(&mut self.plan.is_funded) || self.delivered == 0;
        if !is_funded && !self.relay.spend_retry_budget(self.service, priority) {
            self.budget_denied = true;
            return StartResult::Denied;
        }
        self.relay.meter().count_attempt(reason, link.distance);
        self.delivered += 1;
        self.plan.tried.push(TriedSearcher::Known(link.upstream.incarnation.clone()));
        let connect_by = self.connect_by(reason);
        let trial = self.plan.single_attempt || self.trial;
        let (deadline, is_after_fault) = (self.plan.deadline, self.worst.met_fault);
        let limits = AttemptLimits { connect_by, deadline, is_after_fault, trial };
        self.running.start(self.relay, link, self.job, limits);
        StartResult::Started
    }
}

impl Race<'_> {
    /// Returns the time by which the next attempt must have a connection.
    ///
    /// A later attempt has as much time as the first, and until the deadline if no other searcher is
    /// left: its failure would end the race, while the time to open a connection is bounded itself.
    fn connect_by(&self, reason: AttemptReason) -> Instant {
        let RacePlan { connect_by, deadline, .. } = self.plan;
        if reason != AttemptReason::First && self.choose_searcher().is_none() {
            return deadline;
        }
        let timeout = connect_by.saturating_duration_since(self.job.request.received);
        connect_by.max(Instant::now() + timeout).min(deadline)
    }
}

impl Drop for Race<'_> {
    /// Records the searchers asked for a shard that was still pending when the response was sent.
    fn drop(&mut self) {
        self.settle_trial(TrialOutcome::Inconclusive);
        self.end_test(false);
        let left_out = self.job.left_out.get().is_some_and(|out| out.contains(self.service));
        if self.finished || !left_out {
            return;
        }
        self.job.failure_log.record_left_out(self.service, &self.plan.tried, self.budget_denied);
    }
}
