//! A caller's request and its reply, independent of the wire format.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bergamot_admission::Pool;
use bergamot_answer::Verdict;
use bergamot_base::Name;
use bergamot_declaration::{Idempotency, Route, Target};
use bergamot_dispatch::Tally;
use bergamot_placement::Constraints;
use bergamot_quarantine::{Fingerprint, SharedGate};
use bergamot_resources::{Hold, head_memory};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::Notify;

use crate::failure_log::FailureLog;

/// A caller's complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's identifier of this attempt.
    pub id: HeaderValue,
    /// The requested host.
    pub host: Name,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers to forward to the searcher.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The caller's time limit, if given.
    pub deadline: Option<Duration>,
    /// When the head was read.
    pub received: Instant,
}

impl Request {
    /// Returns the memory of a copy of the head, if it is large.
    pub(crate) fn head_memory(&self) -> usize {
        let bytes = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        head_memory(bytes.sum(), self.headers.len())
    }

    /// Computes the fingerprint of the method, URI and body.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self.method.as_str(), &self.uri.to_string(), &self.body)
    }
}

/// A searcher's complete response.
#[derive(Clone, Debug)]
pub struct SearcherResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers to forward to the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The searcher's signature of its response.
    pub signature: Option<HeaderValue>,
    /// What it says of the request.
    pub verdict: Verdict,
}

/// A response merged from several shards.
#[derive(Clone, Debug)]
pub struct MergedResponse {
    /// The signatures of the included parts.
    pub signatures: Vec<HeaderValue>,
    /// The number of missing shards.
    pub missing: usize,
    /// The greatest records, in descending order.
    pub records: Bytes,
}

/// Why a request has no response of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No declaration is known yet.
    NotReady,
    /// No route matches the request.
    NoRoute,
    /// The body found no memory.
    NoMemory,
    /// No searcher could be asked, or all that were asked stated that they did not run it.
    NotRun,
    /// The request was sent, but no response was received that can be forwarded.
    Lost,
    /// The request was sent and its deadline has passed.
    Late,
}

/// The end of a request without a response of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The cause.
    pub cause: Cause,
    /// When the caller may retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The response of one searcher.
    Forwarded(SearcherResponse),
    /// The merged response of several searchers.
    Merged(MergedResponse),
    /// No response.
    Refused(Refusal),
}

impl Reply {
    /// Returns whether the caller gets all of the result.
    pub(crate) fn is_complete(&self) -> bool {
        match self {
            Self::Forwarded(response) => response.verdict == Verdict::Success,
            Self::Merged(merged) => merged.missing == 0,
            Self::Refused(_) => false,
        }
    }
}

/// What a request takes over from the declaration of its route.
#[derive(Clone, Debug)]
pub(crate) struct JobRoute {
    /// The name, under which the latency of attempts is recorded; empty to record none.
    pub name: Name,
    pub kind: Idempotency,
    /// How urgent requests are; 0 is the most urgent.
    pub priority: u32,
    /// The declared target latency.
    pub target_latency: Option<Duration>,
    /// The number of searchers that may run a request, for each shard.
    pub max_attempts: usize,
    /// Whether requests are gathered from shards, none of whose responses is the caller's.
    pub is_gathered: bool,
}

impl From<&Route> for JobRoute {
    fn from(route: &Route) -> Self {
        Self {
            name: Name::clone(&route.name),
            kind: route.kind,
            priority: route.priority,
            target_latency: route.target_latency,
            max_attempts: route.attempts,
            is_gathered: matches!(route.target, Target::Gather(_)),
        }
    }
}

/// State shared by all attempts for one request.
#[derive(Debug)]
pub(crate) struct Job {
    pub request: Request,
    /// The memory of a copy of the head, in bytes, if it is large.
    pub head_memory: usize,
    /// The head in the memory of all requests, unless whoever sent the request counts it.
    _held_head: Option<Hold>,
    /// The route, under which the latency of attempts is recorded; empty to record none.
    pub route: Name,
    pub kind: Idempotency,
    /// How urgent the request is; 0 is the most urgent.
    pub priority: u32,
    /// The declared target latency of the route.
    pub target_latency: Option<Duration>,
    /// The searchers that the request competes for, once known, if its admission is controlled.
    pub pool: OnceLock<Pool>,
    /// The number of searchers that may run the request, for each shard.
    pub max_attempts: usize,
    /// Whether the request is gathered from shards, none of whose responses is the caller's.
    pub is_gathered: bool,
    /// What bounds the choice of searchers.
    pub constraints: Constraints,
    /// The count of the shards; a request to a single searcher has one.
    pub tally: Mutex<Tally>,
    /// Notified when the tally changes.
    pub tally_changed: Notify,
    /// The shards missing from the response.
    pub left_out: OnceLock<HashSet<Name>>,
    /// The failures of the request, for the log.
    pub failure_log: FailureLog,
    /// Gates further attempts once a searcher has ended while running the request.
    pub retry_gate: SharedGate,
    /// The fingerprint of the request, computed on first use.
    pub fingerprint: OnceLock<Fingerprint>,
    /// How many attempts and queries to members may have led to the request being run.
    exposures: AtomicUsize,
    /// The number of services whose searcher was busy when it was first asked.
    busy: AtomicUsize,
}

impl Job {
    /// Creates the state for a request; the tally counts its shards.
    pub fn new(request: Request, route: JobRoute, constraints: Constraints, tally: Tally) -> Self {
        let JobRoute { name, kind, priority, target_latency, max_attempts, is_gathered } = route;
        Self {
            head_memory: request.head_memory(),
            _held_head: None,
            request,
            route: name,
            kind,
            priority,
            target_latency,
            pool: OnceLock::new(),
            max_attempts,
            is_gathered,
            constraints,
            tally: Mutex::new(tally),
            tally_changed: Notify::new(),
            left_out: OnceLock::new(),
            failure_log: FailureLog::default(),
            retry_gate: SharedGate::default(),
            fingerprint: OnceLock::new(),
            exposures: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        }
    }

    /// Counts what the head takes until the last attempt is gone.
    pub fn hold_head(self, head: Hold) -> Self {
        Self { _held_head: Some(head), ..self }
    }

    /// Records that the request is about to be sent to a searcher, or to a member that sends it to
    /// searchers. Unless [`Job::record_not_run`] follows, the request counts as one that may have
    /// run.
    pub fn record_exposure(&self) {
        self.exposures.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the request certainly did not run at a recorded receiver, and never will.
    pub fn record_not_run(&self) {
        self.exposures.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether any searcher may have run the request or may still run it.
    pub fn may_have_run(&self) -> bool {
        self.exposures.load(Ordering::Relaxed) > 0
    }

    /// Records that some searchers were busy when they were first asked: the requests of the member
    /// that asked them used all their slots.
    pub fn record_busy(&self, searchers: usize) {
        self.busy.fetch_add(searchers, Ordering::Relaxed);
    }

    /// Returns the number of services whose searcher was busy when it was first asked.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Returns the cause of the failure of this request; `late` is whether a time limit has passed.
    pub fn failure_cause(&self, late: bool) -> Cause {
        match (self.may_have_run(), late) {
            (false, _) => Cause::NotRun,
            (true, true) => Cause::Late,
            (true, false) => Cause::Lost,
        }
    }

    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.request.fingerprint())
    }

    /// Defers an attempt for a shard until `decide` returns a decision on it. It is called at each
    /// change of the count of the shards, and at `until` for the last time, with `true`.
    pub async fn decide_deferred<T>(
        &self,
        until: Instant,
        decide: impl Fn(&mut Tally, bool) -> Option<T>,
    ) -> Option<T> {
        let decision = async {
            loop {
                let mut changed = std::pin::pin!(self.tally_changed.notified());
                changed.as_mut().enable();
                if let Some(decision) = decide(&mut self.tally(), false) {
                    return decision;
                }
                changed.await;
            }
        };
        self.tally().defer();
        self.tally_changed.notify_waiters();
        let decided = tokio::time::timeout_at(until.into(), decision).await;
        let mut tally = self.tally();
        let decision = decided.ok().or_else(|| decide(&mut tally, true));
        tally.resume();
        decision
    }

    /// Locks the count of the shards.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
