//! Outcomes of writes.

use std::fmt;

use bergamot_base::Name;
use serde::{Deserialize, Serialize};

/// The status of a write, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The searcher confirmed that the write took effect.
    Done,
    /// The write was not sent, or the searcher reported that it did not run.
    NotRun,
    /// The write may have run. The caller has to read the ledger to find out.
    Unknown,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the write took effect.
    pub status: Status,
    /// Short human-readable reason for the status.
    pub reason: Name,
    /// The searcher's receipt, if the write is done.
    pub receipt: Option<Name>,
}

impl Outcome {
    /// Creates the outcome of a write that took effect.
    pub fn done(receipt: impl Into<Name>) -> Self {
        Self {
            status: Status::Done,
            reason: Name::from("the searcher confirmed the entry"),
            receipt: Some(receipt.into()),
        }
    }

    /// Creates the outcome of a write that did not run.
    pub fn not_run(reason: impl Into<Name>) -> Self {
        Self { status: Status::NotRun, reason: reason.into(), receipt: None }
    }

    /// Creates the outcome of a write that may or may not have run.
    pub fn unknown(reason: impl Into<Name>) -> Self {
        Self { status: Status::Unknown, reason: reason.into(), receipt: None }
    }
}
