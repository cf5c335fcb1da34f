//! One request to one searcher on one connection.
//!
//! Invariants: the registry is asked at the last moment before bytes leave; an answer that
//! names another request is nobody's; a connection is used again only after its answer
//! was read whole, and is closed in every other case, which also ends the searcher's work.

use std::error::Error as _;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;
use bergamot_dispatch::{Distance, Ending};
use bergamot_net::strip_hop;
use bergamot_upstream::Lease;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;

use crate::dialect::{Ask, Reading};
use crate::link::Link;
use crate::message::{Job, Passed};
use crate::relay::Relay;

/// An exchange that brought no answer that can be used as a success.
#[derive(Clone, Debug)]
pub(crate) struct Miss {
    /// What it means for the request.
    pub(crate) ending: Ending,
    /// What went wrong, for the log.
    pub(crate) cause: String,
    /// Whether the connection ended before any answer came.
    pub(crate) cut: bool,
    /// Whether the searcher has ended.
    pub(crate) ended: bool,
    /// The searcher's own failure, if it can be passed on.
    pub(crate) failure: Option<Box<Passed>>,
}

impl Miss {
    pub(crate) fn new(ending: Ending, cause: impl fmt::Display) -> Self {
        Self { ending, cause: cause.to_string(), cut: false, ended: false, failure: None }
    }
}

/// A request that is unanswered, for the outlook of its searcher.
struct Pending<'a> {
    link: &'a Link,
    sent: Instant,
    settled: bool,
}

impl<'a> Pending<'a> {
    fn start(link: &'a Link, now: Instant) -> Self {
        link.outlook().record_send(now);
        Self { link, sent: now, settled: false }
    }

    fn answered(mut self) {
        self.settled = true;
        self.link.outlook().record_answer(self.sent, Instant::now());
    }

    fn failed(mut self) {
        self.settled = true;
        let mut outlook = self.link.outlook();
        outlook.record_end(self.sent);
        outlook.record_failure(Instant::now());
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.link.outlook().record_abandon(self.sent, Instant::now());
        }
    }
}

/// Sends the request of a job over a link and reads the whole answer.
///
/// `offer` is by when a connection must have been found, `end` when the answer is of no
/// use any more.
pub(crate) async fn exchange(
    relay: &Relay,
    link: &Arc<Link>,
    job: &Job,
    offer: Instant,
    end: Instant,
) -> Result<Passed, Miss> {
    let searcher = &link.upstream.incarnation;
    let lease = link.pool.lease(deadline(offer)).await.map_err(|fault| {
        link.outlook().record_failure(Instant::now());
        Miss::new(Ending::NotSent, fault)
    })?;
    if !relay.takes_work(searcher) {
        lease.release().await;
        return Err(Miss::new(Ending::NotSent, "the searcher leaves"));
    }
    let sent = Instant::now();
    let pending = Pending::start(link, sent);
    match send(relay, link, job, lease, end).await {
        Ok(passed) => {
            pending.answered();
            if !job.route.is_empty() && link.distance != Distance::Far {
                relay.note_pace(&job.route, sent.elapsed());
            }
            Ok(passed)
        }
        Err(miss) => {
            pending.failed();
            Err(miss)
        }
    }
}

async fn send(
    relay: &Relay,
    link: &Arc<Link>,
    job: &Job,
    mut lease: Lease,
    end: Instant,
) -> Result<Passed, Miss> {
    let request = prepare(relay, link, job, end)?;
    let sent = lease.sender().try_send_request(request).await;
    let response = sent.map_err(|error| {
        let unsent = error.message().is_some();
        let ending = if unsent { Ending::NotSent } else { Ending::Unknown };
        Miss { cut: !unsent, ..Miss::new(ending, describe(error.error())) }
    })?;
    let (parts, body) = response.into_parts();
    let reading = (relay.dialect().read)(&parts);
    if reading.id.as_ref().is_some_and(|id| *id != job.request.id) {
        return Err(Miss::new(Ending::Unknown, "the answer belongs to another request"));
    }
    let whole = Limited::new(body, relay.settings().largest_answer).collect().await;
    let body = whole.map_err(|error| {
        // The head said whether it ran, however the body ended.
        let ending = if reading.not_run { Ending::NotRun } else { Ending::Unknown };
        Miss::new(ending, error)
    })?;
    tokio::spawn(lease.release());
    judge(relay, link, Response::from_parts(parts, body.to_bytes()), reading)
}

/// Describes an error of the connection with what lies behind it.
fn describe(error: &hyper::Error) -> String {
    error.source().map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

fn prepare(
    relay: &Relay,
    link: &Link,
    job: &Job,
    end: Instant,
) -> Result<hyper::Request<Full<Bytes>>, Miss> {
    let left = end.saturating_duration_since(Instant::now());
    if left < Duration::from_millis(1) {
        return Err(Miss::new(Ending::NotSent, "no time is left"));
    }
    let mut request = hyper::Request::new(Full::new(job.request.body.clone()));
    *request.method_mut() = job.request.method.clone();
    *request.uri_mut() = job.request.uri.clone();
    *request.headers_mut() = job.request.headers.clone();
    let ask = Ask { id: &job.request.id, left, searcher: &link.upstream.incarnation.id };
    (relay.dialect().ask)(&ask, request.headers_mut());
    Ok(request)
}

/// Decides what a whole answer means.
fn judge(
    relay: &Relay,
    link: &Link,
    response: Response<Bytes>,
    reading: Reading,
) -> Result<Passed, Miss> {
    let status = response.status();
    if reading.misdirected {
        relay.ended(&link.upstream.incarnation, reading.searcher.as_deref());
        return Err(Miss::new(Ending::NotRun, "another searcher has the address"));
    }
    if reading.not_run {
        return Err(Miss::new(Ending::NotRun, format!("refused with {}", status.as_u16())));
    }
    let signed = reading.signature.is_some();
    if !signed && status.is_success() {
        return Err(Miss::new(Ending::Unknown, "a success without a signature"));
    }
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    strip_hop(&mut headers);
    let passed = Passed { status, headers, body, signature: reading.signature };
    if status.is_server_error() || !signed {
        let miss = Miss::new(Ending::Failed, format!("failed with {}", status.as_u16()));
        return Err(Miss { failure: signed.then(|| Box::new(passed)), ..miss });
    }
    Ok(passed)
}

fn deadline(at: Instant) -> Deadline {
    let now = Instant::now();
    Deadline::after(now, at.saturating_duration_since(now))
}
