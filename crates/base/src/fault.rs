//! The step and the peer at which an error arose.
//!
//! Every error type of the workspace carries both, so that an operator can read
//! from one line what was being done and with whom.

use std::fmt;
use std::net::SocketAddr;

use crate::Name;

/// What was being done when an error arose, such as `dial` or `decode`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step(pub &'static str);

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The other side of the exchange in which an error arose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A socket address.
    Address(SocketAddr),
    /// A file on the operator's side.
    File(Name),
    /// The caller of a request.
    Caller,
    /// This process itself.
    Here,
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
            Self::Here => f.write_str("here"),
        }
    }
}
