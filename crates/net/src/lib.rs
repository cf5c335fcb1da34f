//! Dialling, listening and HTTP plumbing shared by daemons and stand-ins.
//!
//! Everything here is thin: `tokio` opens sockets and `hyper` speaks HTTP. The crate
//! makes sure that each error names its step and its peer, that connections leave
//! from the instance's own address, and that a listener can stop without cutting an
//! exchange in flight.

mod client;
mod dial;
mod hop;
mod serve;

pub use client::{Bounds, Client, LONGEST_REPLY, Reply, fetch};
pub use dial::{Fault, dial, listen};
pub use hop::strip_hop;
pub use serve::{Body, Rejection, json, read_body, serve, text};
