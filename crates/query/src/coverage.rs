//! Coverage of a query result.
//!
//! Coverage is counted in shards of the pinned partition map. Invariant: `complete`
//! is true only if every shard that had to be queried answered for the pin, and
//! every shard that did not is listed with a reason.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a shard is missing from a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No reply arrived before the deadline.
    Deadline,
    /// No replica could be reached.
    Unreachable,
    /// Every replica rejected the request because it was at capacity.
    Busy,
    /// No replica holds the pinned version.
    VersionGone,
    /// A replica answered from a different snapshot.
    WrongSnapshot,
    /// The reply could not be decoded.
    BadReply,
    /// Every replica is shutting down.
    Leaving,
    /// The query has already crashed searchers, so it is not sent to any more of them.
    Withheld,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "deadline",
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::VersionGone => "version_gone",
            Self::WrongSnapshot => "wrong_snapshot",
            Self::BadReply => "bad_reply",
            Self::Leaving => "leaving",
            Self::Withheld => "withheld",
        })
    }
}

/// A shard that is missing from a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Index of the shard in the service's partition map.
    pub shard: usize,
    /// Why the shard is missing.
    pub reason: Reason,
}

/// The shards that a result includes and those that it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards in the pinned partition map.
    pub map: usize,
    /// Number of shards that had to be queried.
    pub asked: usize,
    /// Number of shards whose results were merged.
    pub answered: usize,
    /// Total number of documents in the shards that answered.
    pub documents: u64,
    /// Shards that were queried but whose results were not merged.
    pub missing: Vec<Missing>,
    /// Whether every shard that had to be queried was merged.
    pub complete: bool,
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.answered, self.asked)
    }
}
