//! The context of an error: the operation that failed and the peer involved.
//!
//! The error types of this repository contain both, so that a single log line tells
//! operators what failed and with which peer.

use std::fmt;
use std::net::SocketAddr;

use crate::Name;

/// The operation that failed, such as `dial` or `decode`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step(pub &'static str);

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The remote party, or the source of the input, of an operation that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The process at a socket address.
    Address(SocketAddr),
    /// A file supplied by an operator.
    File(Name),
    /// The caller of a request.
    Caller,
    /// The local process; no other party was involved.
    Local,
}

impl From<SocketAddr> for Peer {
    fn from(address: SocketAddr) -> Self {
        Self::Address(address)
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address(address) => address.fmt(f),
            Self::File(path) => f.write_str(path),
            Self::Caller => f.write_str("caller"),
            Self::Local => f.write_str("here"),
        }
    }
}
