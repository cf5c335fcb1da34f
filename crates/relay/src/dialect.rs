//! How a request to a searcher and its answer look on the wire.

use std::time::Duration;

use bergamot_base::Name;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;

/// What each request to a searcher says besides its content.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The caller's identifier of the request.
    pub id: &'a HeaderValue,
    /// How long the caller still waits.
    pub left: Duration,
    /// The identifier of the searcher that is meant; any other at the address must not run the
    /// request.
    pub searcher: &'a str,
}

/// What the head of a searcher's answer says besides its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The identifier of the request to which this is the answer, if it names one.
    pub id: Option<HeaderValue>,
    /// The searcher's signature of its answer.
    pub signature: Option<HeaderValue>,
    /// Whether the searcher says that it did not run the request.
    pub not_run: bool,
    /// Whether another searcher answered than the one that was meant.
    pub misdirected: bool,
    /// The identifier of the searcher that answered, if it names itself.
    pub searcher: Option<Name>,
}

/// One way of speaking with searchers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Writes what a request says into its headers.
    pub ask: fn(&Ask<'_>, &mut HeaderMap),
    /// Reads what the head of an answer says.
    pub read: fn(&Parts) -> Reading,
}
