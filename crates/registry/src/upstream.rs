//! The published entry of one incarnation of a searcher.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use bergamot_base::Name;
use serde::{Deserialize, Serialize};

/// One run of a searcher, from its start to its end.
///
/// A searcher may restart under the same identifier and then has none of its earlier state, so
/// observations of one incarnation never apply to another. See
/// `docs/design/0011-incarnations.md`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The identifier of the searcher.
    pub id: Name,
    /// Its start time by its own clock, in Unix milliseconds. `None` where each incarnation has its
    /// own identifier.
    #[serde(rename = "born")]
    pub start_time_ms: Option<u64>,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start_time_ms {
            Some(start_time_ms) => write!(f, "{}@{start_time_ms}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Whether a searcher accepts new requests, as published by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is about to stop and accepts no new requests. Final for the incarnation.
    Draining,
}

impl State {
    /// Returns the name of the state in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// The published entry of one incarnation of a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The searcher and its incarnation.
    pub incarnation: Incarnation,
    /// The service to which it belongs.
    pub service: Name,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: Name,
    /// How many requests it runs concurrently.
    pub slots: usize,
    /// Whether it accepts new requests.
    pub state: State,
    /// The end of its warm-up, during which it is slower.
    pub warm_at: Instant,
}

impl Upstream {
    /// Returns whether the searcher is warming up.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }

    /// Returns whether two entries differ at most in the warm-up.
    pub(crate) fn is_same_but_warmth(&self, other: &Self) -> bool {
        *self == Self { warm_at: self.warm_at, ..other.clone() }
    }
}
