//! The attempts for one request at one service: first, hedge, next after a failure.
//!
//! Invariants: at most as many searchers may run the request as the route allows; each
//! arrival beyond the first is paid from the service's allowance; a request that may run
//! once at most has one attempt at a time, and another only after a certain end; once a searcher
//! has ended under the request, further attempts pass the gate that all its shards share.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Kind;
use bergamot_dispatch::{AttemptPriority, Ending, RequestTimeouts};
use bergamot_policy::Policy;
use bergamot_quarantine::{Permit, TrialOutcome};
use bergamot_registry::Incarnation;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::attempt::{self, Attempt, Terms};
use crate::exchange::Miss;
use crate::message::{Job, Passed};
use crate::meter::Reason;
use crate::relay::Relay;

/// The end of a race without a winner.
#[derive(Clone, Debug)]
pub(crate) struct Lost {
    /// The worst end of all attempts: what may be said about the request.
    pub(crate) ending: Ending,
    /// Whether the time was up.
    pub(crate) late: bool,
    /// A searcher's own failure that can be passed on.
    pub(crate) failure: Option<Box<Passed>>,
}

/// Who was asked for a request already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Tried {
    /// This searcher.
    Searcher(Incarnation),
    /// Some searcher, by a member that did not say which.
    Unnamed,
}

impl fmt::Display for Tried {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Searcher(searcher) => searcher.fmt(f),
            Self::Unnamed => Ok(()),
        }
    }
}

/// The moments and the past of a race.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// By when a first attempt must have found a connection.
    pub(crate) offer: Instant,
    /// When a silent searcher is hedged, if it may be.
    pub(crate) hedge: Option<Instant>,
    /// By when nearly all searchers nearby have answered.
    pub(crate) usual: Instant,
    /// When the answer is of no use any more.
    pub(crate) end: Instant,
    /// The searchers that were asked already, on our behalf.
    pub(crate) tried: Vec<Tried>,
    /// Whether one searcher alone is asked, to see whether the request does harm.
    pub(crate) alone: bool,
}

impl Plan {
    /// Plans a race for a request that was just received.
    pub(crate) fn new(job: &Job, patience: RequestTimeouts, policy: &Policy) -> Self {
        let at = |moment: Duration| job.request.received + moment;
        let hedges = policy.hedge.on && job.kind == Kind::Idempotent;
        let hedge = hedges.then(|| at(patience.hedge));
        let (offer, usual) = (at(patience.connect), at(patience.hedge));
        Self { offer, hedge, usual, end: at(patience.end), tried: Vec::new(), alone: false }
    }

    /// Asks one searcher alone.
    pub(crate) fn alone(self) -> Self {
        Self { hedge: None, alone: true, ..self }
    }
}

/// What became of the wish for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// It runs.
    Started,
    /// The service's allowance has no room for it.
    Denied,
    /// No searcher is left, or the route allows no more.
    Impossible,
}

/// The attempts for one request at one service.
pub(crate) struct Race<'a> {
    relay: &'a Arc<Relay>,
    job: &'a Arc<Job>,
    service: &'a Name,
    plan: Plan,
    running: Vec<Attempt>,
    arrived: usize,
    refused: usize,
    /// Whether an attempt was denied for lack of allowance.
    denied: bool,
    ended: bool,
    /// Whether the attempt under way shows for all others whether the request does harm.
    trial: bool,
    lost: Lost,
    results: (mpsc::UnboundedSender<attempt::Outcome>, mpsc::UnboundedReceiver<attempt::Outcome>),
}

impl<'a> Race<'a> {
    /// Prepares the attempts at a service.
    pub(crate) fn new(
        relay: &'a Arc<Relay>,
        job: &'a Arc<Job>,
        service: &'a Name,
        plan: Plan,
    ) -> Self {
        let arrived = plan.tried.len();
        Self {
            relay,
            job,
            service,
            plan,
            running: Vec::new(),
            arrived,
            refused: 0,
            denied: false,
            ended: false,
            trial: false,
            lost: Lost { ending: Ending::NotSent, late: false, failure: None },
            results: mpsc::unbounded_channel(),
        }
    }

    /// Runs attempts until one wins, none can follow, or the time is up.
    pub(crate) async fn run(mut self) -> Result<Passed, Lost> {
        let ended = self.race().await;
        self.ended = true;
        ended.ok_or_else(|| self.lost.clone())
    }

    async fn race(&mut self) -> Option<Passed> {
        let end = self.plan.end;
        let mut hedge = self.plan.hedge;
        let first = if self.arrived > 0 { Reason::Hedge } else { Reason::First };
        if first != Reason::First && !self.pass_gate().await {
            return None;
        }
        let need = self.need();
        if self.next(first, need) != Next::Started {
            return None;
        }
        loop {
            let due = hedge.unwrap_or(end).min(end);
            tokio::select! {
                biased;
                outcome = self.results.1.recv() => {
                    let (link, outcome) = outcome?;
                    self.running.retain(|attempt| !Arc::ptr_eq(&attempt.link, &link));
                    match outcome {
                        Ok(passed) => {
                            self.settle(TrialOutcome::Answered);
                            return Some(passed);
                        }
                        Err(miss) => self.record(&link.upstream.incarnation, miss),
                    }
                    let over = self.running.is_empty();
                    if over && !(self.may_follow() && self.follow().await) {
                        return None;
                    }
                }
                () = sleep_until(due.into()) => {
                    if due >= end {
                        self.lost.late = true;
                        self.lost.ending = Ending::Unknown.max(self.lost.ending);
                        return None;
                    }
                    hedge = None;
                    let need = self.need();
                    if self.job.door.is_unrestricted() {
                        self.next(Reason::Hedge, need);
                    }
                }
            }
        }
    }

    /// Makes the next attempt now if the service's allowance is plentiful, and else once it
    /// is known whether the request fails without it.
    async fn follow(&mut self) -> bool {
        if !self.pass_gate().await {
            return false;
        }
        let need = if self.job.tally().is_single_searcher() {
            AttemptPriority::Required
        } else {
            AttemptPriority::Optional
        };
        match self.next(Reason::Retry, need) {
            Next::Started => true,
            Next::Impossible => false,
            Next::Denied => {
                self.defer().await
                    && self.next(Reason::Retry, AttemptPriority::Required) == Next::Started
            }
        }
    }

    /// Waits, once a searcher has ended under the request, until a further attempt may be made;
    /// tells whether it may.
    async fn pass_gate(&mut self) -> bool {
        match self.job.door.acquire(self.plan.end).await {
            Permit::Unrestricted => true,
            Permit::Trial => {
                self.trial = true;
                true
            }
            Permit::Denied => false,
            Permit::Wait => {
                self.lost.late = true;
                false
            }
        }
    }

    /// Tells the other races how the trial ended, if it was made here.
    fn settle(&mut self, outcome: TrialOutcome) {
        if std::mem::take(&mut self.trial) {
            self.job.door.finish_trial(outcome);
        }
    }

    /// Waits until the first attempts at all shards have ended, or the time of the hedge has
    /// come, and tells whether the request needs this shard.
    async fn defer(&self) -> bool {
        self.job.tally().defer();
        let wait = async {
            loop {
                let mut changed = std::pin::pin!(self.job.changed.notified());
                changed.as_mut().enable();
                if self.job.tally().first_attempts_ended() {
                    return;
                }
                changed.await;
            }
        };
        self.job.changed.notify_waiters();
        let until = (self.plan.usual + self.relay.farthest()).max(Instant::now());
        let _elapsed = tokio::time::timeout_at(until.into(), wait).await;
        let mut tally = self.job.tally();
        let needed = tally.needs_deferred();
        tally.resume();
        needed
    }

    /// Takes in the end of an attempt.
    fn record(&mut self, searcher: &Incarnation, miss: Miss) {
        let ending = miss.ending;
        self.job.trouble.fail(self.service, searcher, ending, &miss.cause);
        self.relay.meter().ending(ending);
        if miss.ended {
            self.job.door.record_crash();
        }
        self.settle(if miss.ended { TrialOutcome::Crashed } else { TrialOutcome::Inconclusive });
        if ending.did_not_run() {
            self.refused += 1;
            self.arrived -= usize::from(ending == Ending::NotSent);
        }
        self.lost.ending = self.lost.ending.max(ending);
        if miss.failure.is_some() {
            self.lost.failure = miss.failure;
        }
    }

    fn may_follow(&self) -> bool {
        let policy = self.relay.settings.policy.retry;
        let resends = policy.on && self.lost.ending.may_resend(self.job.kind);
        let shown = self.plan.alone && !self.lost.ending.did_not_run();
        resends && !shown && self.refused <= policy.most_refused
    }

    /// Tells what a hedge is for.
    fn need(&self) -> AttemptPriority {
        if self.job.tally().is_below_coverage() {
            AttemptPriority::Required
        } else {
            AttemptPriority::Optional
        }
    }

    /// Starts the next attempt, if a searcher is left and the bounds allow it.
    fn next(&mut self, reason: Reason, need: AttemptPriority) -> Next {
        let ran = self.plan.tried.len() - self.refused;
        if ran >= self.job.attempts {
            return Next::Impossible;
        }
        let Some(link) = self.relay.choose(self.service, &self.plan.tried) else {
            return Next::Impossible;
        };
        if self.arrived > 0 && !self.relay.spend(self.service, need) {
            self.denied = true;
            return Next::Denied;
        }
        self.relay.meter().attempt(reason, link.distance);
        self.arrived += 1;
        self.plan.tried.push(Tried::Searcher(link.upstream.incarnation.clone()));
        // An attempt after the first has as long to find a connection as the first had.
        let found = self.plan.offer.saturating_duration_since(self.job.request.received);
        let offer = self.plan.offer.max(Instant::now() + found).min(self.plan.end);
        let trial = self.plan.alone || self.trial;
        let terms = Terms { offer, end: self.plan.end, trial };
        let results = self.results.0.clone();
        self.running.push(Attempt::start(self.relay, link, self.job, terms, results));
        Next::Started
    }
}

impl Drop for Race<'_> {
    /// Says of a shard that was still out when the caller got the answer whom it waited for.
    fn drop(&mut self) {
        self.settle(TrialOutcome::Inconclusive);
        let left_out = self.job.left_out.get().is_some_and(|out| out.contains(self.service));
        if self.ended || !left_out {
            return;
        }
        self.job.trouble.leave_out(self.service, &self.plan.tried, self.denied);
    }
}
