//! The attempts for one request at one service: first, hedge, next after a failure.
//!
//! Invariants: at most as many searchers may run the request as the route allows; each
//! arrival beyond the first is paid from the service's allowance; a request that may run
//! once at most has one attempt at a time, and another only after a certain end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Kind;
use bergamot_dispatch::{Ending, Patience};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::attempt::{Attempt, Outcome};
use crate::exchange::Miss;
use crate::message::{Job, Passed};
use crate::meter::Reason;
use crate::relay::Relay;

/// How many attempts that did not run are made beyond those that the route allows.
const MOST_REFUSED: usize = 2;

/// The end of a race without a winner.
#[derive(Clone, Debug)]
pub(crate) struct Lost {
    /// The worst end of all attempts: what may be said about the request.
    pub(crate) ending: Ending,
    /// Whether the time was up.
    pub(crate) late: bool,
    /// A searcher's own failure that can be passed on.
    pub(crate) failure: Option<Passed>,
    /// The searchers that were asked.
    pub(crate) tried: Vec<Name>,
}

/// The moments and the past of a race.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// By when a first attempt must have found a connection.
    pub(crate) offer: Instant,
    /// When a silent searcher is hedged, if it may be.
    pub(crate) hedge: Option<Instant>,
    /// When a member that was asked has answered.
    pub(crate) delegate: Instant,
    /// When the answer is of no use any more.
    pub(crate) end: Instant,
    /// The searchers that were asked already, on our behalf.
    pub(crate) tried: Vec<Name>,
}

impl Plan {
    /// Plans a race for a request that was just received.
    pub(crate) fn new(job: &Job, patience: Patience) -> Self {
        let at = |moment: Duration| job.request.received + moment;
        let hedge = (job.kind == Kind::Idempotent).then(|| at(patience.hedge));
        let (offer, delegate) = (at(patience.offer), at(patience.delegate));
        Self { offer, hedge, delegate, end: at(patience.end), tried: Vec::new() }
    }
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
    lost: Lost,
    results: (mpsc::UnboundedSender<Outcome>, mpsc::UnboundedReceiver<Outcome>),
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
            lost: Lost { ending: Ending::NotSent, late: false, failure: None, tried: Vec::new() },
            results: mpsc::unbounded_channel(),
        }
    }

    /// Runs attempts until one wins, none can follow, or the time is up.
    pub(crate) async fn run(mut self) -> Result<Passed, Lost> {
        let ended = self.race().await;
        ended.ok_or_else(|| Lost { tried: std::mem::take(&mut self.plan.tried), ..self.lost })
    }

    async fn race(&mut self) -> Option<Passed> {
        let end = self.plan.end;
        let mut hedge = self.plan.hedge;
        let first = if self.arrived > 0 { Reason::Hedge } else { Reason::First };
        if !self.next(first) {
            return None;
        }
        loop {
            let due = hedge.unwrap_or(end).min(end);
            tokio::select! {
                biased;
                outcome = self.results.1.recv() => {
                    let Some((link, outcome)) = outcome else { return None };
                    self.running.retain(|attempt| !Arc::ptr_eq(&attempt.link, &link));
                    match outcome {
                        Ok(passed) => return Some(passed),
                        Err(miss) => self.record(&link.upstream.id, miss),
                    }
                    if self.running.is_empty() && !(self.may_follow() && self.next(Reason::Retry)) {
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
                    self.next(Reason::Hedge);
                }
            }
        }
    }

    /// Takes in the end of an attempt.
    fn record(&mut self, id: &Name, miss: Miss) {
        let request = &self.job.request.id;
        let (service, ending, cause) = (self.service, miss.ending, &miss.cause);
        log::info!(
            "relay: event=attempt_failed request={request:?} service={service} searcher={id} \
             ending={ending:?} cause=\"{cause}\""
        );
        self.relay.meter().ending(ending);
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
        self.lost.ending.may_resend(self.job.kind) && self.refused <= MOST_REFUSED
    }

    /// Starts the next attempt, if a searcher is left and the bounds allow it.
    fn next(&mut self, reason: Reason) -> bool {
        let ran = self.plan.tried.len() - self.refused;
        if ran >= self.job.attempts {
            return false;
        }
        let Some(link) = self.relay.choose(self.service, &self.plan.tried) else {
            return false;
        };
        if self.arrived > 0 && !self.relay.spend(self.service) {
            return false;
        }
        self.relay.meter().attempt(reason, link.distance);
        self.arrived += 1;
        self.plan.tried.push(Name::clone(&link.upstream.id));
        // An attempt after the first has as long to find a connection as the first had.
        let found = self.plan.offer.saturating_duration_since(self.job.request.received);
        let offer = self.plan.offer.max(Instant::now() + found).min(self.plan.end);
        let moments = (offer, self.plan.end);
        let results = self.results.0.clone();
        self.running.push(Attempt::start(self.relay, link, self.job, moments, results));
        true
    }
}
