//! How callers speak with the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_net::Body;
use bergamot_relay::Reply;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Response, Uri};

/// What the head of a caller's request says besides its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The identifier that the caller gave to the request.
    pub id: HeaderValue,
    /// How long the caller will wait, if they said so.
    pub deadline: Option<Duration>,
}

/// Where a caller is who asks for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// The availability zone.
    pub zone: String,
    /// The region.
    pub region: String,
}

/// One way in which callers speak with the daemon.
#[derive(Clone, Copy, Debug)]
pub struct Face {
    /// Reads the head of a request and removes from its headers what is not passed on.
    pub read: fn(&mut Parts) -> Result<Head, &'static str>,
    /// Writes what became of a request.
    pub write: fn(Reply) -> Response<Body>,
    /// Reads where a caller is who asks for addresses, unless it is no such question.
    pub origin: fn(&Uri) -> Option<Origin>,
    /// Writes an address answer.
    pub addresses: fn(&[SocketAddr], Duration) -> Response<Body>,
    /// Tells whether a path is the question whether this instance is ready.
    pub asks_ready: fn(&Uri) -> bool,
}
