//! A caller's request and what becomes of it, free of any wire.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_declaration::Kind;
use bergamot_dispatch::Tally;
use bergamot_quarantine::{Fingerprint, SharedGate};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::Notify;

use crate::trouble::Trouble;

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier that the caller gave to this attempt of theirs.
    pub id: HeaderValue,
    /// The host that was asked.
    pub host: Name,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that go on to the searcher.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the caller will wait, if they said so.
    pub deadline: Option<Duration>,
    /// When the head was read.
    pub received: Instant,
}

impl Request {
    /// Computes the fingerprint of what is asked for.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self.method.as_str(), &self.uri.to_string(), &self.body)
    }
}

/// A searcher's whole answer.
#[derive(Clone, Debug)]
pub struct Passed {
    /// The status.
    pub status: StatusCode,
    /// The headers that go on to the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The searcher's signature of its answer.
    pub signature: Option<HeaderValue>,
}

/// A merged answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// The signatures of the parts that are in.
    pub signatures: Vec<HeaderValue>,
    /// How many shards are missing.
    pub missing: usize,
    /// The greatest records, the greatest first.
    pub records: Bytes,
}

/// Why a request gets no answer of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No declaration is known yet.
    NotReady,
    /// No route is declared for it.
    NoRoute,
    /// No searcher could be asked, or all that were asked said that they did not run it.
    NotRun,
    /// It was sent, and no answer came that could be passed on.
    Lost,
    /// It was sent, and the time for it is up.
    Late,
}

/// The end of a request without an answer of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When the caller may come back, where coming back makes sense.
    pub retry_after: Option<Duration>,
}

/// What becomes of a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// One searcher's answer.
    Passed(Passed),
    /// The merged answer of many.
    Whole(Whole),
    /// No answer.
    Refused(Refusal),
}

/// What all attempts for one request share.
#[derive(Debug)]
pub(crate) struct Job {
    pub request: Request,
    /// The route, to learn how long its attempts usually take.
    pub route: Name,
    pub kind: Kind,
    /// How many searchers may run it, of each shard.
    pub attempts: usize,
    /// The count of the shards, one for a request to one searcher.
    pub tally: Mutex<Tally>,
    /// Wakes those who wait for the count to change.
    pub changed: Notify,
    /// The shards that the caller's answer leaves out.
    pub left_out: OnceLock<HashSet<Name>>,
    /// What went wrong, for the log.
    pub trouble: Trouble,
    /// Whether further attempts may be made, once a searcher has ended under one.
    pub door: SharedGate,
    /// The fingerprint of the request, once it was needed.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// Prepares a request to some shards, of which it needs the fewest.
    pub fn new(
        request: Request,
        (route, kind): (Name, Kind),
        attempts: usize,
        tally: Tally,
    ) -> Self {
        Self {
            request,
            route,
            kind,
            attempts,
            tally: Mutex::new(tally),
            changed: Notify::new(),
            left_out: OnceLock::new(),
            trouble: Trouble::default(),
            door: SharedGate::default(),
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.request.fingerprint())
    }

    /// Returns the count of the shards.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
