//! Sending one request to one searcher on one connection.
//!
//! Invariants: whether the searcher may be asked is checked immediately before bytes are sent; only a
//! response that names the request is received ([`bergamot_answer::Inspector`]); a connection is reused
//! only after its response was read completely and nothing else was received, and is otherwise closed,
//! which also cancels the work at the searcher.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_answer::{Fault, Statement, Verdict};
use bergamot_base::Deadline;
use bergamot_declaration::Idempotency;
use bergamot_dispatch::{Conclusion, Distance, Ending};
use bergamot_net::strip_hop_by_hop_headers;
use bergamot_upstream::{Lease, Reuse, SearcherError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

use crate::attempt::AttemptLimits;
use crate::dialect::{RequestMetadata, ResponseMetadata};
use crate::link::SearcherLink;
use crate::message::{Job, SearcherResponse};
use crate::relay::Relay;

/// A failed attempt: no response, or none that counts as a success.
#[derive(Clone, Debug)]
pub(crate) struct AttemptError {
    /// What the failure implies for the request.
    pub(crate) ending: Ending,
    /// The cause, for the log.
    pub(crate) cause: String,
    /// Whether the connection ended before any response was received.
    pub(crate) connection_lost: bool,
    /// Whether the searcher process has ended.
    pub(crate) searcher_ended: bool,
    /// What the searcher's complete response says of the request, if there was one.
    pub(crate) verdict: Option<Verdict>,
    /// Why the received bytes could not be read as the response, if that is the cause.
    pub(crate) fault: Option<Fault>,
    /// The searcher's error response, if it can be forwarded.
    pub(crate) response: Option<Box<SearcherResponse>>,
}

impl AttemptError {
    pub(crate) fn new(ending: Ending, cause: impl fmt::Display) -> Self {
        Self {
            ending,
            cause: cause.to_string(),
            connection_lost: false,
            searcher_ended: false,
            verdict: None,
            fault: None,
            response: None,
        }
    }
}

/// An unanswered request; updates the statistics of its searcher on drop.
struct PendingRequest<'a> {
    link: &'a SearcherLink,
    sent: Instant,
    /// When the head of the response was received.
    begun: Option<Instant>,
    resolved: bool,
}

impl<'a> PendingRequest<'a> {
    fn start(link: &'a SearcherLink, now: Instant) -> Self {
        link.estimator().record_send(now);
        Self { link, sent: now, begun: None, resolved: false }
    }

    fn record_head(&mut self) {
        self.begun = Some(Instant::now());
    }

    fn answered(mut self) {
        self.resolved = true;
        self.link.estimator().record_answer(self.sent, Instant::now());
    }

    /// Records that the searcher rejected the request.
    fn rejected(mut self, relay: &Relay) {
        self.resolved = true;
        let others = relay.rejections_of_others(self.link);
        let now = Instant::now();
        let conclusion = self.link.estimator().record_rejection(self.sent, now, others);
        if conclusion == Conclusion::CompareNext {
            self.link.avoid_once();
        }
    }

    fn failed(mut self) {
        self.resolved = true;
        let mut estimator = self.link.estimator();
        estimator.record_end(self.sent);
        estimator.record_failure(Instant::now());
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let (mut estimator, now) = (self.link.estimator(), Instant::now());
        match self.begun {
            Some(begun) => estimator.record_unfinished(self.sent, begun, now),
            None => estimator.record_abandon(self.sent, now),
        }
    }
}

/// Sends a request over a link and reads the complete response.
pub(crate) async fn exchange(
    relay: &Relay,
    link: &Arc<SearcherLink>,
    job: &Job,
    limits: AttemptLimits,
) -> Result<SearcherResponse, AttemptError> {
    let copy = relay.head_copies.acquire(job.head_memory).await;
    let lease = lease(link, job, limits).await.map_err(|fault| {
        link.estimator().record_failure(Instant::now());
        AttemptError::new(Ending::NotSent, fault)
    })?;
    if let Err(unusable) = relay.check_searcher(&link.upstream, &job.constraints) {
        lease.release().await;
        return Err(AttemptError::new(Ending::NotSent, unusable));
    }
    let sent = Instant::now();
    let mut pending = PendingRequest::start(link, sent);
    job.record_exposure();
    let sent_request = send(relay, job, lease, limits.deadline, &mut pending).await;
    drop(copy);
    match sent_request {
        Ok(response) => {
            pending.answered();
            if !job.route.is_empty() && link.distance != Distance::Far {
                relay.record_latency(&job.route, sent.elapsed());
            }
            Ok(response)
        }
        Err(error) => {
            match error.verdict {
                Some(Verdict::Rejected) => pending.rejected(relay),
                _ => pending.failed(),
            }
            if error.ending.did_not_run() {
                job.record_not_run();
            }
            Err(error)
        }
    }
}

/// Leases a connection on which only an answer to this request can arrive.
async fn lease(
    link: &SearcherLink,
    job: &Job,
    limits: AttemptLimits,
) -> Result<Lease, SearcherError> {
    let reuse = match job.kind {
        _ if limits.is_after_fault => Reuse::Never,
        Idempotency::Idempotent => Reuse::Usual,
        Idempotency::NonIdempotent => Reuse::Cautious,
    };
    let connect_by = deadline_at(limits.connect_by);
    let lease = match link.pool.lease_idle(reuse) {
        Some(lease) => lease,
        None => link.pool.lease(connect_by, reuse).await?,
    };
    if !lease.has_last_carried(job.request.id.as_bytes()) {
        return Ok(lease);
    }
    // A caller has used an identifier again.
    lease.release_soon();
    link.pool.lease(connect_by, Reuse::Never).await
}

async fn send(
    relay: &Relay,
    job: &Job,
    mut lease: Lease,
    deadline: Instant,
    pending: &mut PendingRequest<'_>,
) -> Result<SearcherResponse, AttemptError> {
    let link = pending.link;
    let request = build_request(relay, link, job, deadline)?;
    let response = lease.send(request).await.map_err(|error| {
        let unsent = error.is_unsent();
        let ending = if unsent { Ending::NotSent } else { Ending::Unknown };
        // Bytes that are no answer show that the searcher's process runs.
        let fault = error.fault();
        let connection_lost = !unsent && fault.is_none();
        AttemptError { connection_lost, fault, ..AttemptError::new(ending, error) }
    })?;
    pending.record_head();
    let (mut parts, body) = response.into_parts();
    if job.head_memory > 0 {
        // The HTTP library reads the headers of a response into the table of its request.
        parts.headers = parts.headers.clone();
    }
    let metadata = (relay.dialect().read_response)(&parts);
    let statement = metadata.statement(&parts);
    let body = link.pool.read_body(body).await.map_err(|error| {
        // The head states whether the request ran, even if the body is truncated.
        let did_not_run = Verdict::of(statement).did_not_run();
        let ending = if did_not_run { Ending::NotRun } else { Ending::Unknown };
        AttemptError { fault: error.fault(), ..AttemptError::new(ending, error) }
    })?;
    lease.release_soon();
    classify_response(relay, link, job, Response::from_parts(parts, body), (metadata, statement))
}

fn build_request(
    relay: &Relay,
    link: &SearcherLink,
    job: &Job,
    deadline: Instant,
) -> Result<hyper::Request<Full<Bytes>>, AttemptError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining < Duration::from_millis(1) {
        return Err(AttemptError::new(
            Ending::NotSent,
            "deadline exceeded before the request was sent",
        ));
    }
    let mut request = hyper::Request::new(Full::new(job.request.body.clone()));
    *request.method_mut() = job.request.method.clone();
    *request.uri_mut() = job.request.uri.clone();
    *request.headers_mut() = job.request.headers.clone();
    let metadata =
        RequestMetadata { id: &job.request.id, remaining, searcher: &link.upstream.incarnation.id };
    (relay.dialect().write_request)(&metadata, request.headers_mut());
    Ok(request)
}

/// Returns a complete response if it is a success, and otherwise what it implies.
fn classify_response(
    relay: &Relay,
    link: &SearcherLink,
    job: &Job,
    response: Response<Bytes>,
    (metadata, statement): (ResponseMetadata, Statement),
) -> Result<SearcherResponse, AttemptError> {
    let ResponseMetadata { signature, searcher, .. } = metadata;
    let (status, verdict) = (response.status(), Verdict::of(statement));
    if status != StatusCode::OK || verdict != Verdict::Success {
        relay.meter().responses.count_not_ok(status, verdict.label());
        job.failure_log.record_response(&link.upstream, status, verdict.label());
    }
    // A searcher that names itself is there, whatever its status says.
    let is_other = searcher.as_deref() != Some(&*link.upstream.incarnation.id);
    if verdict == Verdict::Misdirected && is_other {
        relay.mark_ended(&link.upstream.incarnation, searcher.as_deref());
    }
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    let response = SearcherResponse { status, headers, body, signature, verdict };
    let ending = match verdict {
        Verdict::Success => return Ok(response),
        Verdict::Rejected | Verdict::Failed => Ending::Failed,
        Verdict::NotRun | Verdict::Misdirected => Ending::NotRun,
        Verdict::Unsigned => Ending::Unknown,
    };
    let cause = format!("{}, status {}", verdict.label(), status.as_u16());
    Err(AttemptError {
        verdict: Some(verdict),
        response: statement.may_forward().then(|| Box::new(response)),
        ..AttemptError::new(ending, cause)
    })
}

fn deadline_at(at: Instant) -> Deadline {
    let now = Instant::now();
    Deadline::after(now, at.saturating_duration_since(now))
}
