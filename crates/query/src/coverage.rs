//! How much of a service an answer covers.
//!
//! Coverage is counted in shards of the pinned map. Invariant: `complete` holds
//! only when every shard that the query had to ask answered for the pin, and each
//! shard that did not is named with the reason.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No answer came in time.
    Deadline,
    /// No replica could be reached.
    Unreachable,
    /// Every replica refused the work for lack of room.
    Busy,
    /// No replica holds the pinned version.
    VersionGone,
    /// A replica answered for another snapshot.
    WrongSnapshot,
    /// The reply could not be understood.
    BadReply,
    /// Every replica is leaving.
    Leaving,
    /// Searchers ended under the same query, so no further one is asked.
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

/// A shard that is missing from an answer, by its position in the map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The position of the shard in the service's partition map.
    pub shard: usize,
    /// Why it is missing.
    pub reason: Reason,
}

/// What an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The shards of the pinned map.
    pub map: usize,
    /// The shards that the query had to ask.
    pub asked: usize,
    /// The shards whose answers are in.
    pub answered: usize,
    /// The documents that the answering shards hold.
    pub documents: u64,
    /// The shards that were asked and are not in.
    pub missing: Vec<Missing>,
    /// Whether every shard that had to be asked is in.
    pub complete: bool,
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.answered, self.asked)
    }
}
