//! TCP connections, HTTP clients and HTTP servers shared by daemons and test doubles.
//!
//! This is a thin layer over the sockets of `tokio` and the HTTP implementation of `hyper`.
//! It ensures that each error names the failed operation and the peer, that outgoing
//! connections use the instance's own address as their source, and that a server can shut
//! down without interrupting exchanges in flight.

mod client;
mod dial;
mod hop;
mod serve;

pub use client::{Bounds, Client, LONGEST_REPLY, Reply, fetch};
pub use dial::{Fault, dial, listen};
pub use hop::strip_hop;
pub use serve::{Body, Rejection, json, read_body, serve, text};
