//! Handling of a request, from finding its route to logging its end.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Revision};
use bergamot_declaration::{Route, Target};
use bergamot_dispatch::{RequestTimeouts, Tally, Unavailability};
use bergamot_placement::Constraints;
use bergamot_quarantine::Standing;
use bergamot_upstream::LatencyPercentile;
use hyper::header::HeaderValue;

use crate::admission::Need;
use crate::gather::gather;
use crate::message::{Cause, Job, JobRoute, Reply, Request};
use crate::meter::outcome;
use crate::quarantine::TrialResponse;
use crate::race::{Race, RaceFailure, RacePlan};
use crate::refusal::{Reason, RefusedRequest, Rejection};
use crate::relay::Relay;

/// The route in metrics and logs of requests that match none.
pub(crate) const NO_ROUTE: &str = "none";

/// Logs on drop if the caller disconnected before the response.
struct CallerGuard<'a> {
    id: &'a HeaderValue,
    received: Instant,
    answered: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let (request, took) = (self.id, self.received.elapsed().as_millis());
            log::info!("relay: event=caller_left request={request:?} took_ms={took}");
        }
    }
}

impl Relay {
    /// Handles a request.
    pub async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        let (received, id) = (request.received, request.id.clone());
        let mut caller = CallerGuard { id: &id, received, answered: false };
        tokio::select! {
            biased;
            () = self.wait_until_current() => {}
            () = self.stop.answers_due() => {}
        }
        // Without the verdicts of the other members, a condemned request might be forwarded.
        let declaration = self.declaration().filter(|_| self.quarantine().is_synced());
        let version = declaration.as_ref().map_or(0, |declaration| declaration.version);
        let found = declaration
            .as_ref()
            .map(|declaration| declaration.find(&request.host, request.uri.path()));
        let (name, target, reply) = match found {
            None => {
                let refused = RefusedRequest { id: &id, route: NO_ROUTE, priority: 0 };
                (NO_ROUTE, None, self.refuse(refused, self.reject_early()))
            }
            Some(None) => {
                let refused = RefusedRequest { id: &id, route: NO_ROUTE, priority: 0 };
                (NO_ROUTE, None, self.refuse(refused, reject_unrouted()))
            }
            Some(Some(route)) => {
                let reply = self.route_until_stopped(route, request).await;
                (&*route.name, route.target_latency, reply)
            }
        };
        caller.answered = true;
        let took = received.elapsed();
        self.meter.count_request(name, &reply, took);
        self.log_end(&id, (name, version), &reply, (took, target));
        reply
    }

    /// Logs how a request ended. Complete responses within the target latency are logged up to a
    /// fixed rate, all others always.
    fn log_end(
        &self,
        id: &HeaderValue,
        (route, version): (&str, Revision),
        reply: &Reply,
        (took, target): (Duration, Option<Duration>),
    ) {
        let ordinary = reply.is_complete() && target.is_none_or(|target| took <= target);
        let left_out =
            if ordinary { self.lock().log_sampler.admit(Instant::now()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        let (outcome, took) = (outcome(reply), took.as_millis());
        let target = target.unwrap_or_default().as_millis();
        let detail = match reply {
            Reply::Forwarded(response) => format!("status={}", response.status.as_u16()),
            Reply::Merged(merged) => {
                let shards = merged.signatures.len() + merged.missing;
                format!("missing={} shards={shards}", merged.missing)
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

    /// Routes a request, and ends it if the process stops before it is answered.
    async fn route_until_stopped(self: &Arc<Self>, route: &Route, request: Request) -> Reply {
        let (id, job) = (request.id.clone(), OnceLock::new());
        tokio::select! {
            biased;
            reply = self.route(route, request, &job) => reply,
            () = self.stop.answers_due() => {
                let refused =
                    RefusedRequest { id: &id, route: &route.name, priority: route.priority };
                self.refuse_at_end_of_stop(refused, job.get())
            }
        }
    }

    /// Routes a request. `created` receives its state, for when this is dropped before its end.
    async fn route(
        self: &Arc<Self>,
        route: &Route,
        request: Request,
        created: &OnceLock<Arc<Job>>,
    ) -> Reply {
        let percentile =
            self.lock().latency_percentiles.get(&route.name).and_then(LatencyPercentile::estimate);
        let overhead = self.caller_overhead(route, &request);
        let timeouts = RequestTimeouts::new(
            route,
            request.deadline,
            percentile,
            overhead,
            &self.settings.policy,
        );
        let tally = match &route.target {
            Target::Gather(gather) => Tally::new(gather.shards.len(), gather.min_shards()),
            Target::Service(_) | Target::Split(_) => Tally::new(1, 1),
        };
        let mut constraints = Constraints::new(route.residency.clone());
        constraints.permits = self.obtain_permits(&route.target, &constraints).await;
        let job = Arc::new(Job::new(request, JobRoute::from(route), constraints, tally));
        let job = created.get_or_init(|| job);
        if let Some(refusal) = self.refuse_during_stop(job, route, timeouts) {
            return refusal;
        }
        let standing = self.quarantine().standing(Instant::now(), || job.fingerprint());
        let reply = match standing {
            Standing::Condemned(left) => self.refuse_condemned(job, left),
            Standing::Trusted => self.dispatch(job, &route.target, timeouts, None).await,
            Standing::Suspect(suspects) => {
                match self.run_trial(job, &route.target, &suspects, timeouts).await {
                    Ok(trial_response) => {
                        self.dispatch(job, &route.target, timeouts, Some(trial_response)).await
                    }
                    Err(reply) => reply,
                }
            }
        };
        self.clear(job, &route.target, &reply);
        job.failure_log.log(&job.request.id);
        reply
    }

    /// Sends a request to the services of its route; `trial_response` is the response of a trial,
    /// if there was one.
    async fn dispatch(
        self: &Arc<Self>,
        job: &Arc<Job>,
        target: &Target,
        timeouts: RequestTimeouts,
        trial_response: Option<TrialResponse>,
    ) -> Reply {
        match (target, trial_response) {
            (Target::Gather(shards), trial_response) => {
                gather(self, job, shards, timeouts, trial_response).await
            }
            (_, Some(trial_response)) => Reply::Forwarded(trial_response.response),
            (_, None) => match self.select_service(&job.route, target) {
                Some(service) => self.send_to_service(job, &service, timeouts).await,
                None => self.refuse_without_searcher(
                    job,
                    target,
                    "no service of the route receives requests",
                ),
            },
        }
    }

    /// Returns the service of a route that targets a single one.
    pub(crate) fn select_service(&self, route: &Name, target: &Target) -> Option<Name> {
        match target {
            Target::Gather(_) => None,
            Target::Service(service) => Some(Name::clone(service)),
            Target::Split(shares) => {
                self.lock().splits.entry(Name::clone(route)).or_default().next_service(shares)
            }
        }
    }

    /// Returns the part of the target latency spent outside this member, if it can be estimated.
    fn caller_overhead(&self, route: &Route, request: &Request) -> Option<Duration> {
        let (deadline, target) = (request.deadline?, route.target_latency?);
        let policy = &self.settings.policy.arrival;
        let mut state = self.lock();
        let deadlines = state.caller_deadlines.entry(Name::clone(&route.name)).or_default();
        let spent = deadlines.record(deadline, route.timeout, policy)?;
        state.caller_round_trip.record(spent);
        state.caller_round_trip.overhead(spent, target, policy)
    }

    async fn send_to_service(
        self: &Arc<Self>,
        job: &Arc<Job>,
        service: &Name,
        timeouts: RequestTimeouts,
    ) -> Reply {
        let need = Need { services: std::slice::from_ref(service), fewest: 1, has_run: false };
        let mut ticket = match self.request_admission(job, need, timeouts, false).await {
            Ok(ticket) => ticket,
            Err(refusal) => return refusal,
        };
        let timeouts = ticket.delay(timeouts);
        self.credit_retry_budgets(std::slice::from_ref(service));
        let services = std::slice::from_ref(service);
        let choice = self.choose_searchers(services, &job.constraints).pop().flatten();
        let is_busy = choice.as_ref().is_some_and(|choice| choice.is_busy);
        let first = choice.map(|choice| choice.link);
        let plan = RacePlan { first, ..RacePlan::new(job, timeouts, &self.settings.policy) };
        match Race::new(self, job, service, plan).run().await {
            Ok(response) => {
                ticket.record_coverage(is_busy);
                Reply::Forwarded(response)
            }
            Err(failure) => self.refuse_failed(job, service, failure),
        }
    }

    /// Ends a request to one service whose attempts have failed.
    pub(crate) fn refuse_failed(&self, job: &Job, service: &Name, failure: RaceFailure) -> Reply {
        if let Some(response) = failure.response {
            return Reply::Forwarded(*response);
        }
        let cause = job.failure_cause(failure.timed_out);
        let unavailability = if cause == Cause::NotRun {
            self.searcher_unavailability(std::slice::from_ref(service), &job.constraints)
        } else {
            Unavailability::Transient
        };
        let rejection = Rejection {
            cause,
            reason: Reason::Attempts,
            description: "no attempt brought a response that can be forwarded".to_owned(),
            fields: format!("service={service}"),
            retry_after: Some(self.retry_after(unavailability)),
        };
        self.refuse(job, rejection)
    }

    /// Refuses a request for whose target no searcher can be asked.
    pub(crate) fn refuse_without_searcher(
        &self,
        job: &Job,
        target: &Target,
        description: &str,
    ) -> Reply {
        let services: Vec<Name> = target.services().cloned().collect();
        let unavailability = self.searcher_unavailability(&services, &job.constraints);
        let rejection = Rejection {
            cause: Cause::NotRun,
            reason: Reason::NoSearcher,
            description: description.to_owned(),
            fields: String::new(),
            retry_after: Some(self.retry_after(unavailability)),
        };
        self.refuse(job, rejection)
    }

    /// Rejects a request that is received before this member is ready.
    fn reject_early(&self) -> Rejection {
        Rejection {
            cause: Cause::NotReady,
            reason: Reason::Starting,
            description: "no declaration, or the quarantine is not synchronised".to_owned(),
            fields: String::new(),
            retry_after: Some(self.retry_after(self.startup_unavailability())),
        }
    }
}

/// Rejects a request that matches no route.
fn reject_unrouted() -> Rejection {
    Rejection {
        cause: Cause::NoRoute,
        reason: Reason::NoRoute,
        description: "no route matches".to_owned(),
        fields: String::new(),
        retry_after: None,
    }
}
