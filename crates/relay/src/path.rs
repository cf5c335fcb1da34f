//! The way of a request through the relay, from its route to its end in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Revision};
use bergamot_declaration::{Route, Target};
use bergamot_dispatch::{RequestTimeouts, Tally, Unavailability, retry_delay};
use bergamot_quarantine::Standing;
use bergamot_upstream::LatencyPercentile;
use hyper::header::HeaderValue;
use rand::RngExt;

use crate::gather::gather;
use crate::message::{Cause, Job, Refusal, Reply, Request};
use crate::meter::outcome;
use crate::race::{Lost, Plan, Race};
use crate::relay::Relay;
use crate::suspects::First;

/// What stands for the route in metrics and logs where none was found.
const UNROUTED: &str = "none";

/// The caller of a request, who may leave before there is an answer.
struct Caller<'a> {
    id: &'a HeaderValue,
    received: Instant,
    answered: bool,
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let (request, took) = (self.id, self.received.elapsed().as_millis());
            log::info!("relay: event=caller_left request={request:?} took_ms={took}");
        }
    }
}

pub(crate) fn refusal(cause: Cause, retry_after: Option<Duration>) -> Reply {
    Reply::Refused(Refusal { cause, retry_after })
}

impl Relay {
    /// Takes a request to its end.
    pub async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        let (received, id) = (request.received, request.id.clone());
        let mut caller = Caller { id: &id, received, answered: false };
        self.awake().await;
        // Without what the others hold of requests it might serve one that is condemned.
        let declaration = self.declaration().filter(|_| self.quarantine().is_synced());
        let version = declaration.as_ref().map_or(0, |declaration| declaration.version);
        let found = declaration
            .as_ref()
            .map(|declaration| declaration.find(&request.host, request.uri.path()));
        let (name, target, reply) = match found {
            None => {
                let after = self.retry_after(self.unreadiness());
                (UNROUTED, None, refusal(Cause::NotReady, Some(after)))
            }
            Some(None) => (UNROUTED, None, refusal(Cause::NoRoute, None)),
            Some(Some(route)) => {
                (&*route.name, route.target_latency, self.route(route, request).await)
            }
        };
        caller.answered = true;
        let took = received.elapsed();
        self.meter.request(name, &reply, took);
        self.log_end(&id, (name, version), &reply, (took, target));
        reply
    }

    /// Logs how a request ended: ordinary ends, whole and in time, up to a settled rate; all
    /// others.
    fn log_end(
        &self,
        id: &HeaderValue,
        (route, version): (&str, Revision),
        reply: &Reply,
        (took, target): (Duration, Option<Duration>),
    ) {
        let whole = matches!(reply, Reply::Passed(passed) if !passed.status.is_server_error())
            || matches!(reply, Reply::Whole(whole) if whole.missing == 0);
        let ordinary = whole && target.is_none_or(|target| took <= target);
        let left_out = if ordinary { self.lock().sampler.admit(Instant::now()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        let (outcome, took) = (outcome(reply), took.as_millis());
        let target = target.unwrap_or_default().as_millis();
        let detail = match reply {
            Reply::Passed(passed) => format!("status={}", passed.status.as_u16()),
            Reply::Whole(whole) => {
                let shards = whole.signatures.len() + whole.missing;
                format!("missing={} shards={shards}", whole.missing)
            }
            Reply::Refused(refusal) => {
                let after = refusal.retry_after.map_or(0, |after| after.as_millis());
                format!("retry_after_ms={after}")
            }
        };
        log::info!(
            "relay: event=ended request={id:?} route={route} version={version} outcome={outcome} \
             {detail} took_ms={took} target_ms={target} ordinary_left_out={left_out}"
        );
    }

    async fn route(self: &Arc<Self>, route: &Route, request: Request) -> Reply {
        let usual = self.lock().paces.get(&route.name).and_then(LatencyPercentile::estimate);
        let away = self.away(route, &request);
        let patience =
            RequestTimeouts::new(route, request.deadline, usual, away, &self.settings.policy);
        let tally = match &route.target {
            Target::Gather(gather) => Tally::new(gather.shards.len(), gather.fewest()),
            Target::Service(_) | Target::Split(_) => Tally::new(1, 1),
        };
        let kind = (Name::clone(&route.name), route.kind);
        let job = Arc::new(Job::new(request, kind, route.attempts, tally));
        let standing = self.quarantine().standing(Instant::now(), || job.fingerprint());
        let reply = match standing {
            Standing::Condemned(left) => self.refuse_condemned(&job, left),
            Standing::Trusted => self.send(&job, &route.target, patience, None).await,
            Standing::Suspect(suspects) => {
                match self.try_out(&job, &route.target, &suspects, patience).await {
                    Ok(first) => self.send(&job, &route.target, patience, Some(first)).await,
                    Err(reply) => reply,
                }
            }
        };
        self.clear(&job, &route.target, &reply);
        job.trouble.log(&job.request.id);
        reply
    }

    /// Sends a request to those that its route names; `first` is what one of them has answered.
    async fn send(
        self: &Arc<Self>,
        job: &Arc<Job>,
        target: &Target,
        patience: RequestTimeouts,
        first: Option<First>,
    ) -> Reply {
        match (target, first) {
            (Target::Gather(shards), first) => gather(self, job, shards, patience, first).await,
            (_, Some(first)) => Reply::Passed(first.passed),
            (_, None) => match self.service(&job.route, target) {
                Some(service) => self.pass(job, &service, patience).await,
                None => refusal(Cause::NotRun, None),
            },
        }
    }

    /// Returns the service that a request of a route goes to, if it goes to one.
    pub(crate) fn service(&self, route: &Name, target: &Target) -> Option<Name> {
        match target {
            Target::Gather(_) => None,
            Target::Service(service) => Some(Name::clone(service)),
            Target::Split(shares) => {
                self.lock().splits.entry(Name::clone(route)).or_default().next(shares)
            }
        }
    }

    /// Returns how much of the target latency passes outside this member, if that can be told.
    fn away(&self, route: &Route, request: &Request) -> Option<Duration> {
        let (deadline, target) = (request.deadline?, route.target_latency?);
        let mut state = self.lock();
        let arrivals = state.arrivals.entry(Name::clone(&route.name)).or_default();
        arrivals.record(deadline);
        arrivals.estimate(deadline, target, &self.settings.policy.arrival)
    }

    async fn pass(
        self: &Arc<Self>,
        job: &Arc<Job>,
        service: &Name,
        patience: RequestTimeouts,
    ) -> Reply {
        self.earn(service);
        let plan = Plan::new(job, patience, &self.settings.policy);
        match Race::new(self, job, service, plan).run().await {
            Ok(passed) => Reply::Passed(passed),
            Err(lost) => self.give_up(job, service, lost),
        }
    }

    /// Ends a request to one service that was lost.
    pub(crate) fn give_up(&self, job: &Job, service: &Name, lost: Lost) -> Reply {
        if let Some(failure) = lost.failure {
            return Reply::Passed(*failure);
        }
        let cause = match () {
            () if lost.ending.did_not_run() => Cause::NotRun,
            () if lost.late => Cause::Late,
            () => Cause::Lost,
        };
        let request = &job.request.id;
        log::info!("relay: event=refused request={request:?} service={service} outcome={cause:?}");
        let obstacle =
            if cause == Cause::NotRun { self.absence() } else { Unavailability::Transient };
        refusal(cause, Some(self.retry_after(obstacle)))
    }

    /// Draws when a caller may come back after a refusal.
    pub(crate) fn retry_after(&self, obstacle: Unavailability) -> Duration {
        retry_delay(obstacle, &self.settings.policy.comeback, rand::rng().random())
    }
}
