//! The HTTP conventions between callers and the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_net::Body;
use bergamot_relay::Reply;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Response, Uri};

/// Metadata from the head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The request identifier, as chosen by the caller.
    pub id: HeaderValue,
    /// How long the caller waits for the response, if the request states it.
    pub deadline: Option<Duration>,
}

/// A caller's query for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// The host to which the caller's requests will go.
    pub host: String,
    /// The availability zone of the caller.
    pub zone: String,
    /// The region of the caller.
    pub region: String,
}

/// The HTTP conventions of one kind of caller, as functions on requests and responses.
#[derive(Clone, Copy, Debug)]
pub struct CallerProtocol {
    /// Reads the request metadata and removes the headers that are not forwarded.
    ///
    /// An error is the reason why the request is rejected.
    pub parse_request: fn(&mut Parts) -> Result<RequestHead, &'static str>,
    /// Encodes the outcome of a request.
    pub encode_reply: fn(Reply) -> Response<Body>,
    /// Reads an address query; `None` for any other URI.
    pub parse_address_query: fn(&Uri) -> Option<AddressQuery>,
    /// Encodes the response to an address query: the addresses and how long they may be cached.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Response<Body>,
    /// Returns whether a URI is that of the readiness probe.
    pub is_readiness_probe: fn(&Uri) -> bool,
}
