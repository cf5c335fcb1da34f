//! Encoding of request metadata for searchers, and decoding of their response heads.

use std::time::Duration;

use bergamot_answer::{Statement, is_encoding, is_signature};
use bergamot_base::Name;
use hyper::HeaderMap;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::response::Parts;

/// Metadata sent with each request to a searcher.
#[derive(Clone, Copy, Debug)]
pub struct RequestMetadata<'a> {
    /// The caller's identifier of the request.
    pub id: &'a HeaderValue,
    /// The time left until the caller's deadline.
    pub remaining: Duration,
    /// The identifier of the intended searcher; any other searcher at the address must not run the
    /// request.
    pub searcher: &'a str,
}

/// Metadata from the head of a searcher's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The searcher's signature of its response.
    pub signature: Option<HeaderValue>,
    /// Whether the searcher states that it did not run the request.
    pub not_run: bool,
    /// Whether the status says that a searcher other than the intended one answered.
    pub misdirected: bool,
    /// The identifier of the searcher that answered, if present.
    pub searcher: Option<Name>,
}

/// Returns the signature of a response that has exactly one. Several sign nothing, whether they stand
/// in one header or in more.
pub fn read_signature(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let only = values.next().filter(|_| values.next().is_none())?;
    is_signature(only.as_bytes()).then(|| only.clone())
}

impl ResponseMetadata {
    /// Returns what the head with this metadata states.
    pub(crate) fn statement(&self, head: &Parts) -> Statement {
        let mut encodings = head.headers.get_all(CONTENT_ENCODING).iter();
        Statement {
            status: head.status.as_u16(),
            is_signed: self.signature.as_ref().is_some_and(|value| is_signature(value.as_bytes())),
            denies_run: self.not_run,
            is_misdirected: self.misdirected,
            is_encoded: encodings.any(|value| is_encoding(value.as_bytes())),
        }
    }
}

/// The encoding used with the searchers of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Writes request metadata to the headers.
    pub write_request: fn(&RequestMetadata<'_>, &mut HeaderMap),
    /// The header that names a request, in requests and in responses.
    pub request_id: &'static str,
    /// Reads response metadata from the head.
    pub read_response: fn(&Parts) -> ResponseMetadata,
}
