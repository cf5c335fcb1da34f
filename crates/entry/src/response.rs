//! Responses to callers: headers and JSON bodies.

use std::time::Duration;

use bergamot_base::{Epoch, Name, Revision, Version};
use bergamot_net::{Body, json};
use bergamot_query::{Coverage, Hit};
use bergamot_write::{Outcome, Status};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

const REQUEST: HeaderName = HeaderName::from_static("x-bergamot-request");
const REVISION: HeaderName = HeaderName::from_static("x-bergamot-revision");
const COVERAGE: HeaderName = HeaderName::from_static("x-bergamot-coverage");
const VERSION: HeaderName = HeaderName::from_static("x-bergamot-version");
const OUTCOME: HeaderName = HeaderName::from_static("x-bergamot-outcome");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-retry-after-ms");

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The request identifier.
    pub request: Name,
    /// The revision of the document under which the query was planned.
    pub revision: Revision,
    /// Whether the answer covers all shards of every service.
    pub complete: bool,
    /// Number of sub-queries sent to searchers.
    pub attempts: u32,
    /// The snapshot and coverage of each service.
    pub services: Vec<ServiceAnswer>,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// The snapshot and coverage of one service in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The service.
    pub service: Name,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The index version.
    pub version: Version,
    /// The shards that the hits of this service come from.
    pub coverage: Coverage,
}

/// The answer to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// The request identifier.
    pub request: Name,
    /// The key under which the write took effect or may have taken effect.
    pub key: Name,
    /// The outcome of the write.
    pub outcome: Status,
    /// The reason for the outcome.
    pub reason: Name,
    /// The searcher's receipt if the write was done.
    pub receipt: Option<Name>,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The request identifier.
    pub request: Name,
    /// The error.
    pub error: ErrorDetails,
    /// Delay after which to retry, in milliseconds, if a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// Describes an error: the step that failed, the peer and the cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetails {
    /// The step that failed.
    pub step: Name,
    /// The peer that the step involved.
    pub peer: Name,
    /// The cause of the failure.
    pub cause: Name,
}

/// An error that ends a request, and how to respond to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    pub(crate) fault: ErrorDetails,
    pub(crate) retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error that the caller can only avoid by changing the request.
    pub(crate) fn invalid_request(status: StatusCode, step: &str, cause: impl Into<Name>) -> Self {
        let fault = ErrorDetails { step: step.into(), peer: "caller".into(), cause: cause.into() };
        Self { status, fault, retry_after: None }
    }

    /// Creates an error for a request that may succeed if the caller retries it after a delay.
    pub(crate) fn unavailable(
        step: &str,
        peer: &str,
        cause: impl Into<Name>,
        after: Duration,
    ) -> Self {
        let fault = ErrorDetails { step: step.into(), peer: peer.into(), cause: cause.into() };
        Self { status: StatusCode::SERVICE_UNAVAILABLE, fault, retry_after: Some(after) }
    }

    pub(crate) fn response(self, request: &Name) -> Response<Body> {
        let retry_after_ms = self.retry_after.map(|after| after.as_millis().max(1) as u64);
        let body = ErrorBody { request: Name::clone(request), error: self.fault, retry_after_ms };
        let mut response = encode(self.status, &body);
        set_header(&mut response, REQUEST, request);
        if let Some(after) = retry_after_ms {
            set_header(&mut response, RETRY_AFTER_MS, &after.to_string());
            set_header(&mut response, RETRY_AFTER, &after.div_ceil(1000).to_string());
        }
        response
    }
}

impl QueryAnswer {
    pub(crate) fn response(&self) -> Response<Body> {
        let mut response = encode(StatusCode::OK, self);
        let join = |texts: Vec<String>| texts.join(",");
        let coverage = self.services.iter().map(|part| part.coverage.to_string()).collect();
        let versions = self.services.iter().map(|part| part.version.to_string()).collect();
        let state = if self.complete { "complete" } else { "partial" };
        set_header(&mut response, REQUEST, &self.request);
        set_header(&mut response, REVISION, &self.revision.to_string());
        set_header(&mut response, COVERAGE, &format!("{} {state}", join(coverage)));
        set_header(&mut response, VERSION, &join(versions));
        response
    }
}

impl WriteAnswer {
    pub(crate) fn new(request: Name, key: Name, outcome: Outcome) -> Self {
        let Outcome { status, reason, receipt } = outcome;
        Self { request, key, outcome: status, reason, receipt }
    }

    pub(crate) fn response(&self, revision: Revision) -> Response<Body> {
        let status = match self.outcome {
            Status::Done => StatusCode::OK,
            Status::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Status::Unknown => StatusCode::ACCEPTED,
        };
        let mut response = encode(status, self);
        set_header(&mut response, REQUEST, &self.request);
        set_header(&mut response, REVISION, &revision.to_string());
        set_header(&mut response, OUTCOME, &self.outcome.to_string());
        if self.outcome == Status::NotRun {
            set_header(&mut response, RETRY_AFTER_MS, &NOT_RUN_RETRY.as_millis().to_string());
        }
        response
    }
}

/// Delay after which to retry a write that did not run.
const NOT_RUN_RETRY: Duration = Duration::from_millis(100);

fn encode<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    json(status, serde_json::to_vec(body).expect("answer types always serialize"))
}

fn set_header(response: &mut Response<Body>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
