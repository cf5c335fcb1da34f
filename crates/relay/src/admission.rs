//! Admission of callers' requests by the coordinator of their pool of searchers.
//!
//! While a pool is short at this member and the region has enough slots of it, each request to it is
//! decided by the first member in rank that answers ([`crate::coordinator`]); otherwise, and if none
//! answers, this member decides by its own estimates. Invariants: a grant is ended exactly once, when
//! the required coverage is reached or when the request ends without it; a request that is refused
//! has not been sent to a searcher.

use std::fmt::{self, Write as _};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_admission::{Candidates, Pool, Signs, answer_timeout};
use bergamot_base::Name;
use bergamot_dispatch::RequestTimeouts;
use bergamot_policy::Queue;
use bergamot_wire::{Admission, AdmissionRequest, Coverage};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::delegate::CallError;
use crate::grant::HeldGrant;
use crate::message::{Cause, Job, Reply};
use crate::refusal::{Reason, Rejection};
use crate::relay::Relay;

/// How long the answer of a coordinator is waited for after its request is decided without it. A
/// process that is slower has probably stopped, and its grants end with their leases.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// What decides whether a coordinator is asked, and which one.
#[derive(Debug, Default)]
pub(crate) struct Asking {
    pub(crate) signs: Signs,
    candidates: Candidates,
}

/// The searchers that a request needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    /// The services, each of which is asked.
    pub(crate) services: &'a [Name],
    /// The number of services that must answer.
    pub(crate) fewest: usize,
    /// Whether a searcher has run the request already, so that it can't be refused as not run.
    pub(crate) has_run: bool,
}

/// Watches how long a request takes until its required coverage, or until it ends without it.
///
/// On drop, a time that leaves too little of the target latency is recorded as a sign of a shortage:
/// while searchers are short enough, no request reaches its coverage at all.
#[derive(Debug)]
struct Watch<'a> {
    relay: &'a Relay,
    pool: Pool,
    received: Instant,
    target: Duration,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let (now, policy) = (Instant::now(), &self.relay.settings.policy.queue);
        let took = now.saturating_duration_since(self.received);
        self.relay.with_asking(|asking| {
            asking.signs.record_answer(now, self.pool, took, self.target, policy);
        });
    }
}

/// The admission of one request.
#[derive(Debug, Default)]
pub(crate) struct Ticket<'a> {
    /// Present until the coverage is reached, if the admission to the pool is controlled.
    watch: Option<Watch<'a>>,
    grant: Option<HeldGrant>,
    /// How long the decision took.
    waited: Duration,
    /// Whether a coordinator has granted the request.
    pub(crate) is_granted: bool,
    /// Whether a coordinator was asked, so that what was known before may be outdated.
    pub(crate) has_waited: bool,
}

impl Ticket<'_> {
    /// Records that the required coverage is reached; `is_congested` is whether more searchers
    /// were busy than its coverage can do without.
    pub(crate) fn record_coverage(&mut self, is_congested: bool) {
        drop(self.watch.take());
        if let Some(mut grant) = self.grant.take() {
            grant.end(Some(Coverage { took: grant.since.elapsed(), is_congested }));
        }
    }

    /// Returns the timeouts of a request whose first attempts start only now. Without the wait,
    /// each request that was queued would be hedged at once.
    pub(crate) fn delay(&self, timeouts: RequestTimeouts) -> RequestTimeouts {
        let delayed = |at: Duration| at.max((at + self.waited).min(timeouts.target));
        let (hedge, connect) = (delayed(timeouts.hedge), delayed(timeouts.connect));
        RequestTimeouts { hedge, connect, ..timeouts }
    }
}

/// What follows from asking the coordinators of a pool.
enum Ruling {
    Granted(HeldGrant),
    Refused(Ipv4Addr, Grounds),
    /// No coordinator has answered, so this member decides.
    Undecided,
}

/// The grounds on which a coordinator refused a request.
struct Grounds {
    expected: Duration,
    retry_after: Duration,
    ahead: u32,
    limit: u32,
}

impl fmt::Display for Grounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { expected, ahead, limit, .. } = self;
        write!(f, "ahead={ahead} limit={limit} expected_ms={}", expected.as_millis())
    }
}

/// The first answer of a coordinator.
enum Answer {
    Granted(HeldGrant),
    /// The grant removes the request from the queue if the caller leaves.
    Queued(HeldGrant),
    Refused(Grounds),
}

impl Answer {
    fn new(relay: &Arc<Relay>, ip: Ipv4Addr, admission: &Admission) -> Self {
        match *admission {
            Admission::Granted(grant) => Self::Granted(HeldGrant::new(relay, ip, grant)),
            Admission::Queued(grant) => Self::Queued(HeldGrant::new(relay, ip, grant)),
            Admission::Refused { expected, retry_after, ahead, limit } => {
                Self::Refused(Grounds { expected, retry_after, ahead, limit })
            }
        }
    }
}

impl Relay {
    /// Requests the admission of a request to the searchers that it needs; a refusal is its reply.
    ///
    /// `is_expected_late` is whether this member would refuse it by its own estimates.
    pub(crate) async fn request_admission<'a>(
        self: &'a Arc<Self>,
        job: &Job,
        need: Need<'_>,
        timeouts: RequestTimeouts,
        is_expected_late: bool,
    ) -> Result<Ticket<'a>, Reply> {
        let policy = &self.settings.policy.queue;
        let Some(target) = job.target_latency.filter(|_| policy.on && !need.has_run) else {
            return Ok(Ticket::default());
        };
        let (began, received) = (Instant::now(), job.request.received);
        let pool = *job.pool.get_or_init(|| Pool::of(need.services));
        let watch = Some(Watch { relay: self, pool, received, target });
        if is_expected_late {
            self.record_shortage(job);
        }
        if !self.with_asking(|asking| asking.signs.is_short(began, pool, policy)) {
            return Ok(Ticket { watch, ..Ticket::default() });
        }
        let slots = self.binding_slots(pool, need);
        // A pool this small has no coordinator.
        if (slots as usize) < policy.fewest_slots {
            return Ok(Ticket { watch, ..Ticket::default() });
        }
        let grant = match self.ask_coordinators(job, pool, slots, (target, timeouts.end)).await {
            Ruling::Granted(grant) => Some(grant),
            Ruling::Refused(coordinator, shortage) => {
                return Err(self.refuse_for_shortage(job, coordinator, target, &shortage));
            }
            Ruling::Undecided => None,
        };
        let is_granted = grant.is_some();
        Ok(Ticket { watch, grant, waited: began.elapsed(), is_granted, has_waited: true })
    }

    /// Records a sign that the searchers of a request are short.
    pub(crate) fn record_shortage(&self, job: &Job) {
        if let Some(pool) = job.pool.get() {
            self.with_asking(|asking| asking.signs.record(Instant::now(), *pool));
        }
    }

    /// Removes what no longer counts, and updates the metrics of the coordinated pools.
    pub(crate) fn expire_admission(&self, now: Instant) {
        let policy = &self.settings.policy.queue;
        self.with_asking(|asking| asking.signs.expire(now, policy));
        self.coordinator().expire(now);
        let pools = self.coordinator().status();
        let running: usize = pools.iter().map(|pool| pool.running).sum();
        let waiting: usize =
            pools.iter().flat_map(|pool| &pool.waiting).map(|(_, waiting)| waiting).sum();
        self.meter.admission.running.set(running as i64);
        self.meter.admission.waiting.set(waiting as i64);
    }

    /// Formats the coordinated pools, one to a line.
    pub(crate) fn describe_pools(&self) -> String {
        let mut text = String::new();
        for pool in self.coordinator().status() {
            let holding = pool.holding.unwrap_or_default().as_millis();
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "pool {:016x} running {} limit {} holding_ms {holding} bookings {} waiting",
                pool.pool.id(),
                pool.running,
                pool.limit,
                pool.bookings
            );
            for (priority, waiting) in pool.waiting {
                let _ = write!(text, " {priority}:{waiting}");
            }
            text.push('\n');
        }
        text
    }

    /// Asks the coordinators of a pool, until one has decided. The target latency and the end of
    /// the request are relative to its arrival.
    async fn ask_coordinators(
        self: &Arc<Self>,
        job: &Job,
        pool: Pool,
        slots: u32,
        (target, end): (Duration, Duration),
    ) -> Ruling {
        let received = job.request.received;
        for ip in self.coordinators_to_ask(pool) {
            let now = Instant::now();
            let left = |at: Duration| (received + at).saturating_duration_since(now);
            let request = AdmissionRequest {
                pool: pool.id(),
                priority: job.priority,
                origin: Name::clone(&self.settings.zone),
                target: left(target),
                deadline: left(end),
                slots,
            };
            let until = now + answer_timeout(target, &self.settings.policy.queue);
            match self.send_request(ip, request, until).await {
                Ok(Answer::Granted(grant)) => return Ruling::Granted(grant),
                Ok(Answer::Queued(grant)) => {
                    self.record_shortage(job);
                    return self.wait_in_queue(ip, grant, received + target).await;
                }
                Ok(Answer::Refused(rejection)) => {
                    self.record_shortage(job);
                    return Ruling::Refused(ip, rejection);
                }
                Err(cause) => self.skip_coordinator(ip, "admit", &cause),
            }
        }
        Ruling::Undecided
    }

    /// Waits until `until` for the decision on a queued request.
    async fn wait_in_queue(&self, ip: Ipv4Addr, mut queued: HeldGrant, until: Instant) -> Ruling {
        match self.wait_for_grant(ip, queued.grant, until).await {
            Ok(Some(Admission::Granted(_))) => {
                queued.since = Instant::now();
                Ruling::Granted(queued)
            }
            Ok(Some(Admission::Refused { expected, retry_after, ahead, limit })) => {
                queued.forget();
                Ruling::Refused(ip, Grounds { expected, retry_after, ahead, limit })
            }
            Ok(Some(Admission::Queued(_)) | None) => {
                log::info!(
                    "relay: event=grant_unknown member={ip} cause=\"the coordinator no longer knows the grant\""
                );
                Ruling::Undecided
            }
            Err(cause) => {
                self.skip_coordinator(ip, "await_grant", &cause);
                Ruling::Undecided
            }
        }
    }

    /// Sends a request to a coordinator and waits for its answer until a deadline.
    ///
    /// A grant that arrives later, or after the caller has left, is dropped and thereby ended:
    /// otherwise it would count against the limit of the pool until its lease ends.
    async fn send_request(
        self: &Arc<Self>,
        ip: Ipv4Addr,
        request: AdmissionRequest,
        until: Instant,
    ) -> Result<Answer, CallError> {
        if ip == self.settings.address {
            return Ok(Answer::new(self, ip, &self.coordinator().admit(request)));
        }
        let call = (self.helping().admit)(ip, request, until + LATE_ANSWER_TIMEOUT);
        let (sender, answer) = oneshot::channel();
        let relay = Arc::clone(self);
        tokio::spawn(async move {
            let answer = call.await.map(|admission| Answer::new(&relay, ip, &admission));
            drop(sender.send(answer));
        });
        match timeout_at(until.into(), answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(closed)) => no_reply(closed),
            Err(elapsed) => no_reply(elapsed),
        }
    }

    async fn wait_for_grant(
        &self,
        ip: Ipv4Addr,
        grant: u64,
        until: Instant,
    ) -> Result<Option<Admission>, CallError> {
        if ip == self.settings.address {
            let wait = self.coordinator().await_grant(grant);
            return timeout_at(until.into(), wait).await.map_or_else(no_reply, Ok);
        }
        let call = (self.helping().await_grant)(ip, grant, until);
        timeout_at(until.into(), call).await.unwrap_or_else(no_reply)
    }

    /// Returns the coordinators that are asked for admission to a pool, in order: members of this
    /// region that serve callers.
    fn coordinators_to_ask(&self, pool: Pool) -> Vec<Ipv4Addr> {
        let mut members =
            self.with_delegates(|delegates| delegates.coordinators(self.own_region()));
        if self.lock().serves {
            members.push(self.settings.address);
        }
        self.with_asking(|asking| asking.candidates.select(Instant::now(), pool, &members))
    }

    /// Ends a request that its coordinator has refused.
    fn refuse_for_shortage(
        &self,
        job: &Job,
        coordinator: Ipv4Addr,
        target: Duration,
        grounds: &Grounds,
    ) -> Reply {
        let left = (job.request.received + target).saturating_duration_since(Instant::now());
        let target_ms = left.as_millis();
        let rejection = Rejection {
            cause: Cause::NotRun,
            reason: Reason::Queue,
            description: "the searchers have no capacity for it within the target latency"
                .to_owned(),
            fields: format!("coordinator={coordinator} {grounds} target_ms={target_ms}"),
            retry_after: Some(grounds.retry_after),
        };
        self.refuse(job, rejection)
    }

    fn skip_coordinator(&self, ip: Ipv4Addr, call: &str, cause: &CallError) {
        log::info!("relay: event=coordinator_failed member={ip} call={call} cause=\"{cause}\"");
        let policy: &Queue = &self.settings.policy.queue;
        self.with_asking(|asking| asking.candidates.record_silence(Instant::now(), ip, policy));
    }

    /// Returns the region of this member; an unknown zone counts as a region of its own.
    pub(crate) fn own_region(&self) -> &Name {
        self.settings.regions.get(&self.settings.zone).unwrap_or(&self.settings.zone)
    }
}

fn no_reply<T>(elapsed: impl fmt::Display) -> Result<T, CallError> {
    Err(CallError::NoReply { cause: elapsed.to_string() })
}
