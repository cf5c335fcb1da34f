//! Detection and quarantine of requests that crash searchers.
//!
//! A missing response does not tell a crashed searcher from a broken connection. After a connection
//! ended without a response, the searcher's address is therefore dialled. This costs a round trip
//! before a retry but no connection, since an established one is kept. `bergamot-quarantine` makes
//! the decisions; see `docs/design/0014-fatal-requests.md`.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Name, hash_pair};
use bergamot_declaration::Target;
use bergamot_dispatch::{RequestTimeouts, Unavailability};
use bergamot_placement::Constraints;
use bergamot_quarantine::{Fingerprint, Report, Standing, Strike};
use bergamot_registry::Upstream;
use rand::seq::IndexedRandom;

use crate::link::SearcherLink;
use crate::message::{Cause, Job, Reply, SearcherResponse};
use crate::race::{Race, RacePlan};
use crate::refusal::{Reason, Rejection};
use crate::relay::Relay;

/// The timeout for a trial grant of another member: some round trips between regions (16 ms) plus
/// late timers of a slow core.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);

/// The response to a trial of a request at a single searcher.
#[derive(Debug)]
pub(crate) struct TrialResponse {
    /// The service of the searcher.
    pub(crate) service: Name,
    /// The response.
    pub(crate) response: SearcherResponse,
}

impl Relay {
    /// Checks whether a searcher has ended after its connection did, and if so records a strike
    /// against the request. Returns whether it has ended.
    ///
    /// The check continues if the attempt is abandoned, because it protects the next searcher.
    pub(crate) async fn check_searcher_ended(
        self: &Arc<Self>,
        link: &Arc<SearcherLink>,
        job: &Arc<Job>,
        trial: bool,
    ) -> bool {
        let (relay, link, job) = (Arc::clone(self), Arc::clone(link), Arc::clone(job));
        let check = tokio::spawn(async move {
            let ended = link.probe_ended().await;
            if ended {
                relay.record_strike(&job, &link.upstream, trial);
            }
            ended
        });
        check.await.unwrap_or_else(|error| {
            log::error!("relay: event=inquiry_failed cause=\"{error}\"");
            false
        })
    }

    /// Records a strike against the request that a searcher was running when it ended.
    fn record_strike(&self, job: &Job, upstream: &Upstream, trial: bool) {
        let (request, fingerprint) = (&job.request.id, job.fingerprint());
        let strike = if trial {
            Strike::from_trial(request.as_bytes(), &upstream.incarnation.to_string())
        } else {
            Strike::from_fan_out(request.as_bytes())
        };
        let change =
            self.quarantine().record_strike(Instant::now(), fingerprint, strike, &upstream.service);
        let standing = match change {
            None => "known",
            Some(Standing::Condemned(_)) => "condemned",
            Some(_) => "suspect",
        };
        self.meter().quarantine.with_label_values(&[standing]).inc();
        log::warn!(
            "relay: event=searcher_ended request={request:?} fingerprint={fingerprint} \
             searcher={} service={} trial={trial} standing={standing}",
            upstream.incarnation,
            upstream.service
        );
    }

    /// Refuses a request that is known to crash searchers.
    pub(crate) fn refuse_condemned(&self, job: &Job, left: Duration) -> Reply {
        self.meter().quarantine.with_label_values(&["refused"]).inc();
        let rejection = Rejection {
            cause: Cause::NotRun,
            reason: Reason::Condemned,
            description: "it ended the searchers that ran it".to_owned(),
            fields: format!("fingerprint={}", job.fingerprint()),
            retry_after: Some(left),
        };
        self.refuse(job, rejection)
    }

    /// Sends a suspected request to a single searcher, unless another member is running a trial of
    /// it.
    pub(crate) async fn run_trial(
        self: &Arc<Self>,
        job: &Arc<Job>,
        target: &Target,
        suspects: &[Name],
        timeouts: RequestTimeouts,
    ) -> Result<TrialResponse, Reply> {
        let fingerprint = job.fingerprint();
        let service = self.trial_service(job, target, suspects);
        let Some(service) = service
            .filter(|service| self.choose_searcher(service, &job.constraints, &[]).is_some())
        else {
            let description = "no searcher for the trial of the request";
            return Err(self.refuse_without_searcher(job, target, description));
        };
        if !self.request_trial_grant(fingerprint).await {
            let rejection = Rejection {
                cause: Cause::NotRun,
                reason: Reason::Trial,
                description: "it is tried elsewhere, since searchers ended under it".to_owned(),
                fields: format!("fingerprint={fingerprint}"),
                retry_after: Some(self.retry_after(Unavailability::Transient)),
            };
            return Err(self.refuse(&**job, rejection));
        }
        self.meter().quarantine.with_label_values(&["tried"]).inc();
        if !matches!(target, Target::Gather(_)) {
            self.credit_retry_budgets(std::slice::from_ref(&service));
        }
        let plan = RacePlan::new(job, timeouts, &self.settings.policy).single_attempt();
        match Race::new(self, job, &service, plan).run().await {
            Ok(response) => {
                self.clear_suspicion(job, std::slice::from_ref(&service));
                Ok(TrialResponse { service, response })
            }
            Err(mut failure) => {
                if job.is_gathered {
                    // The failure of one shard is no answer to the whole request.
                    failure.response = None;
                }
                Err(self.refuse_failed(job, &service, failure))
            }
        }
    }

    /// Returns the service for the trial of a suspected request: one whose searchers have ended
    /// while running it, preferring those with the most live searchers.
    fn trial_service(&self, job: &Job, target: &Target, suspects: &[Name]) -> Option<Name> {
        let Target::Gather(gather) = target else {
            return self.select_service(&job.route, target);
        };
        let suspected: Vec<&Name> =
            gather.shards.iter().filter(|shard| suspects.contains(shard)).collect();
        let candidates =
            if suspected.is_empty() { gather.shards.iter().collect() } else { suspected };
        let live = |service: &&Name| self.count_live_searchers(service, &job.constraints);
        let max_live = candidates.iter().map(live).max()?;
        let candidates: Vec<&Name> =
            candidates.into_iter().filter(|service| live(service) == max_live).collect();
        candidates.choose(&mut rand::rng()).copied().map(Name::clone)
    }

    /// Counts the searchers of a service that a request may be sent to and that were not found to
    /// have ended.
    fn count_live_searchers(&self, service: &str, constraints: &Constraints) -> usize {
        let state = self.lock();
        let links = &state.links;
        let has_ended = |upstream: &Upstream| {
            links.get(&upstream.incarnation).is_some_and(|link| link.has_ended())
        };
        let permitted =
            state.placement.permitted(state.registry.usable(service), constraints, Instant::now());
        permitted.filter(|(upstream, _missing)| !has_ended(upstream)).count()
    }

    /// Requests permission for a trial from the member responsible for the request.
    async fn request_trial_grant(&self, fingerprint: Fingerprint) -> bool {
        let own = self.settings.address;
        let trial_owner = self.trial_owner(fingerprint).unwrap_or(own);
        if trial_owner == own {
            return self.quarantine().grant_trial(Instant::now(), fingerprint);
        }
        let granted =
            (self.helping().grant)(trial_owner, fingerprint, Instant::now() + GRANT_TIMEOUT).await;
        granted.unwrap_or_else(|cause| {
            log::info!("relay: event=grant_failed member={trial_owner} cause=\"{cause}\"");
            false
        })
    }

    /// Returns the member that grants trials of a request; members with the same view agree on it.
    fn trial_owner(&self, fingerprint: Fingerprint) -> Option<Ipv4Addr> {
        let weight = |ip: &Ipv4Addr| hash_pair(fingerprint.0, u64::from(ip.to_bits()));
        self.lock().serving_members.iter().copied().max_by_key(weight)
    }

    /// Clears a request that was answered completely.
    pub(crate) fn clear(&self, job: &Job, target: &Target, reply: &Reply) {
        if !self.quarantine().has_records() {
            return;
        }
        if reply.is_complete() {
            let services: Vec<Name> = target.services().cloned().collect();
            self.clear_suspicion(job, &services);
        }
    }

    fn clear_suspicion(&self, job: &Job, services: &[Name]) {
        let (request, fingerprint) = (&job.request.id, job.fingerprint());
        if self.quarantine().record_answer(fingerprint, services) {
            self.meter().quarantine.with_label_values(&["cleared"]).inc();
            log::info!(
                "relay: event=request_cleared request={request:?} fingerprint={fingerprint}"
            );
        }
    }

    /// Describes a quarantined request for operators.
    pub(crate) fn describe_report(&self, now: Instant, report: &Report) -> String {
        let standing = match self.quarantine().standing(now, || report.fingerprint) {
            Standing::Trusted => "cleared",
            Standing::Suspect(_) => "suspect",
            Standing::Condemned(_) => "condemned",
        };
        let (strikes, age) = (report.strikes.len(), report.age.as_secs());
        let services = report.services.join(",");
        format!(
            "{} {standing} strikes {strikes} services {services} age_s {age}",
            report.fingerprint
        )
    }
}
