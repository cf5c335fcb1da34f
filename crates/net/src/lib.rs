//! TCP connections, HTTP clients and HTTP servers shared by daemons and test doubles.
//!
//! This is a thin layer over the sockets of `tokio` and the HTTP implementation of `hyper`.
//! It ensures that each error names the failed operation and the peer, that outgoing
//! connections use the instance's own address as their source, that a server can shut
//! down without interrupting exchanges in flight, and that what clients send or leave open stays
//! within the bounds of `bergamot-resources`.

mod body;
mod client;
mod dial;
mod head_limit;
mod headers;
mod intake;
mod intakes;
mod observed;
mod serve;

pub use bergamot_resources::ConnectionTimeouts;
pub use body::{BodyError, BodyLimits, read_body, read_body_of};
pub use client::{Client, REPLY_BODY_TIMEOUT, Reply, ReplyTimeouts, fetch};
pub use dial::{NetworkError, dial, listen};
pub use head_limit::HeadLimit;
pub use headers::strip_hop_by_hop_headers;
pub use intake::{Accepted, Intake};
pub use intakes::Intakes;
pub use observed::Observed;
pub use serve::{Body, ConnectionLimits, json, serve, serve_bounded, serve_within, text};
