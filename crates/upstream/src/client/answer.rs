//! What the answers of a searcher say of requests, and what they teach of its health.
//!
//! The verdict of an answer comes from [`bergamot_answer`]; this protocol's own statuses add only the
//! reason to report. Invariant: a searcher that fails at once with any status counts as failing,
//! unless something besides the status bears it out.

use std::time::{Duration, Instant};

use bergamot_answer::{Statement, Verdict, is_encoding};
use bergamot_base::{Name, Version};
use bergamot_query::Reason;
use bytes::Bytes;
use hyper::header::CONTENT_ENCODING;
use hyper::{Response, StatusCode};

use super::{Client, RequestContext, SearcherError, WriteResult};
use crate::lease::Lease;
use crate::protocol::{self, Receipt, Search, SearchReply};

impl Client {
    /// Updates the health of the searcher from the headers of a response.
    pub(super) fn record_headers<T>(&self, response: &Response<T>) {
        let Some(run) = header(response, protocol::RUN) else {
            return;
        };
        let is_leaving = header(response, protocol::LEAVING).is_some();
        let mut health = self.health();
        health.record_run(Instant::now(), &Name::from(run), is_leaving);
        if let Some(versions) = held_versions(response) {
            health.set_versions(versions);
        }
    }

    pub(super) fn decode_search(
        &self,
        call: &RequestContext,
        search: &Search,
        reply: &Response<Bytes>,
        took: Duration,
    ) -> Result<SearchReply, SearcherError> {
        if verdict(reply) == Verdict::Success {
            let found: SearchReply = serde_json::from_slice(reply.body()).map_err(|error| {
                self.record_failure();
                self.fault("decode reply", &error.to_string()).with_reason(Reason::BadReply)
            })?;
            let other = match &found {
                found if found.shard != search.shard => Some(Reason::BadReply),
                found if (found.epoch, found.version) != (search.epoch, search.version) => {
                    Some(Reason::WrongSnapshot)
                }
                _ => None,
            };
            if let Some(reason) = other {
                self.record_failure();
                return Err(self.fault("search", "reply to another search").with_reason(reason));
            }
            self.health().record_success(took);
            return Ok(found);
        }
        let lacks_version = held_versions(reply)
            .is_some_and(|held| !held.is_empty() && !held.contains(&search.version));
        if !self.is_borne_out(call, reply.status(), lacks_version) {
            self.record_failure();
        }
        let fault = |cause, reason| Err(self.fault("search", cause).with_reason(reason));
        match reply.status() {
            StatusCode::CONFLICT => fault("version not held", Reason::VersionGone),
            StatusCode::SERVICE_UNAVAILABLE => {
                fault("rejected: searcher at capacity", Reason::Busy)
            }
            StatusCode::GONE => fault("searcher is leaving", Reason::Leaving),
            StatusCode::GATEWAY_TIMEOUT => {
                fault("deadline passed at the searcher", Reason::Deadline)
            }
            status => fault(&format!("{} {status}", verdict(reply).label()), Reason::BadReply),
        }
    }

    /// Returns whether a rejection is no failure of the searcher, because what is known besides its
    /// status agrees.
    ///
    /// Otherwise a searcher that fails every request at once with one of these statuses would
    /// never be ejected, and would draw the requests of its service.
    fn is_borne_out(&self, call: &RequestContext, status: StatusCode, lacks_version: bool) -> bool {
        match status {
            StatusCode::CONFLICT => lacks_version,
            StatusCode::GONE => self.health().is_leaving(),
            StatusCode::GATEWAY_TIMEOUT => {
                call.cancel.is_cancelled() || call.deadline.has_passed(Instant::now())
            }
            _ => false,
        }
    }

    pub(super) async fn write_effect(
        &self,
        lease: Lease,
        response: Response<hyper::body::Incoming>,
        call: &RequestContext,
    ) -> WriteResult {
        self.record_headers(&response);
        let (verdict, status) = (verdict(&response), response.status());
        let body =
            tokio::time::timeout_at(call.deadline.instant().into(), self.read_body(response));
        let Ok(Ok(reply)) = body.await else {
            return WriteResult::Unknown("the reply to the write was cut".to_owned());
        };
        tokio::spawn(lease.release());
        let effect = match verdict {
            Verdict::Success => match serde_json::from_slice::<Receipt>(reply.body()) {
                Ok(receipt) => WriteResult::Done(receipt.receipt),
                Err(error) => WriteResult::Unknown(format!("the receipt can't be read: {error}")),
            },
            verdict if verdict.did_not_run() => {
                WriteResult::NotRun(format!("the searcher refused the write: {status}"))
            }
            verdict => WriteResult::Unknown(format!(
                "the searcher answered {status} ({})",
                verdict.label()
            )),
        };
        let is_served = matches!(effect, WriteResult::Done(_));
        if is_served || !self.is_borne_out(call, status, false) {
            self.health().record_write(Instant::now(), is_served);
        }
        effect
    }
}

fn header<'a, T>(response: &'a Response<T>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Returns the index versions that a response says its searcher holds.
fn held_versions<T>(response: &Response<T>) -> Option<Vec<Version>> {
    let versions = header(response, protocol::VERSIONS)?.split(',');
    Some(versions.filter_map(|version| version.parse().ok()).collect())
}

/// Returns what a response says of its request.
///
/// The protocol has no signature: a response is its searcher's because it names the request.
pub(super) fn verdict<T>(response: &Response<T>) -> Verdict {
    let mut encodings = response.headers().get_all(CONTENT_ENCODING).iter();
    Verdict::of(Statement {
        status: response.status().as_u16(),
        is_signed: true,
        denies_run: response.headers().contains_key(protocol::NOT_RUN),
        is_misdirected: false,
        is_encoded: encodings.any(|value| is_encoding(value.as_bytes())),
    })
}
