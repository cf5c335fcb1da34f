//! The bodies of answers to callers.

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
pub struct Answer {
    /// The name of the request.
    pub request: Name,
    /// The revision of the document under which the query was planned.
    pub revision: Revision,
    /// Whether the answer covers every service as a whole.
    pub complete: bool,
    /// How many sub-queries were sent to searchers.
    pub attempts: u32,
    /// Each service with its snapshot and coverage.
    pub services: Vec<ServiceAnswer>,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// The part of an answer that one service gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The service.
    pub service: Name,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The version of the index.
    pub version: Version,
    /// What the part covers.
    pub coverage: Coverage,
}

/// The answer to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// The name of the request.
    pub request: Name,
    /// The key under which the write took effect or may have.
    pub key: Name,
    /// What became of the write.
    pub outcome: Status,
    /// Why.
    pub reason: Name,
    /// What the searcher gave back for a write that is done.
    pub receipt: Option<Name>,
}

/// The body of an answer that is an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The name of the request.
    pub request: Name,
    /// What went wrong.
    pub error: Fault,
    /// When to come back, in milliseconds, where coming back may help.
    pub retry_after_ms: Option<u64>,
}

/// What went wrong, where and with whom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What was being done.
    pub step: Name,
    /// With whom.
    pub peer: Name,
    /// What went wrong.
    pub cause: Name,
}

/// A request that ends without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    pub(crate) fault: Fault,
    pub(crate) retry_after: Option<Duration>,
}

impl Refused {
    /// Refuses what the caller can only mend by asking otherwise.
    pub(crate) fn bad(status: StatusCode, step: &str, cause: impl Into<Name>) -> Self {
        let fault = Fault { step: step.into(), peer: "caller".into(), cause: cause.into() };
        Self { status, fault, retry_after: None }
    }

    /// Refuses what may succeed later, and says when.
    pub(crate) fn later(step: &str, peer: &str, cause: impl Into<Name>, after: Duration) -> Self {
        let fault = Fault { step: step.into(), peer: peer.into(), cause: cause.into() };
        Self { status: StatusCode::SERVICE_UNAVAILABLE, fault, retry_after: Some(after) }
    }

    pub(crate) fn response(self, request: &Name) -> Response<Body> {
        let retry_after_ms = self.retry_after.map(|after| after.as_millis().max(1) as u64);
        let body = ErrorBody { request: Name::clone(request), error: self.fault, retry_after_ms };
        let mut response = encode(self.status, &body);
        set(&mut response, REQUEST, request);
        if let Some(after) = retry_after_ms {
            set(&mut response, RETRY_AFTER_MS, &after.to_string());
            set(&mut response, RETRY_AFTER, &after.div_ceil(1000).to_string());
        }
        response
    }
}

impl Answer {
    pub(crate) fn response(&self) -> Response<Body> {
        let mut response = encode(StatusCode::OK, self);
        let join = |texts: Vec<String>| texts.join(",");
        let coverage = self.services.iter().map(|part| part.coverage.to_string()).collect();
        let versions = self.services.iter().map(|part| part.version.to_string()).collect();
        let state = if self.complete { "complete" } else { "partial" };
        set(&mut response, REQUEST, &self.request);
        set(&mut response, REVISION, &self.revision.to_string());
        set(&mut response, COVERAGE, &format!("{} {state}", join(coverage)));
        set(&mut response, VERSION, &join(versions));
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
        set(&mut response, REQUEST, &self.request);
        set(&mut response, REVISION, &revision.to_string());
        set(&mut response, OUTCOME, &self.outcome.to_string());
        if self.outcome == Status::NotRun {
            set(&mut response, RETRY_AFTER_MS, &NOT_RUN_RETRY.as_millis().to_string());
        }
        response
    }
}

/// When to come back after a write that did not run.
const NOT_RUN_RETRY: Duration = Duration::from_millis(100);

fn encode<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    json(status, serde_json::to_vec(body).expect("answer types always serialize"))
}

fn set(response: &mut Response<Body>, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
