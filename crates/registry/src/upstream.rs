//! One incarnation of a searcher as it published itself.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use bergamot_base::Name;
use serde::{Deserialize, Serialize};

/// One start of a searcher.
///
/// A searcher may start again under the identifier that it had, and then holds nothing of
/// before: what was seen of one incarnation never speaks for another. See
/// `docs/design/0011-incarnations.md`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The identifier of the searcher.
    pub id: Name,
    /// When it started by its own clock, in Unix milliseconds; none where each start has an
    /// identifier of its own.
    pub born: Option<u64>,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// What a searcher says about taking new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It will stop and takes no new work. Final for the incarnation.
    Draining,
}

impl State {
    /// Returns a name for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// One incarnation of a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Which start of which searcher it is.
    pub incarnation: Incarnation,
    /// The service to which it belongs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: Name,
    /// How many requests it works on at once.
    pub slots: usize,
    /// What it says about taking new work.
    pub state: State,
    /// Until when it is slow after its start.
    pub warm_at: Instant,
}
