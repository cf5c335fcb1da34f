//! TCP connections, HTTP clients and HTTP servers shared by daemons and test doubles.
//!
//! This is a thin layer over the sockets of `tokio` and the HTTP implementation of `hyper`.
//! It ensures that each error names the failed operation and the peer, that outgoing
//! connections use the instance's own address as their source, and that a server can shut
//! down without interrupting exchanges in flight.

mod client;
mod dial;
mod head_limit;
mod headers;
mod serve;
mod timeouts;

pub use client::{Client, REPLY_BODY_TIMEOUT, Reply, ReplyTimeouts, fetch};
pub use dial::{NetworkError, dial, listen};
pub use head_limit::HeadLimit;
pub use headers::strip_hop_by_hop_headers;
pub use serve::{Body, BodyError, ConnectionLimits, json, read_body, serve, serve_within, text};
pub use timeouts::ConnectionTimeouts;
