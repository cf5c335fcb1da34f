//! What became of a write.

use std::fmt;

use bergamot_base::Name;
use serde::{Deserialize, Serialize};

/// The three answers that a caller can get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The searcher confirmed the effect.
    Done,
    /// Nothing was sent, or the searcher said that it did not run.
    NotRun,
    /// It may have run: the caller settles the matter by reading the ledger.
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

/// What became of a write, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The answer.
    pub status: Status,
    /// The reason, in a short sentence.
    pub reason: Name,
    /// What the searcher gave back for a write that is done.
    pub receipt: Option<Name>,
}

impl Outcome {
    /// Reports a write that took effect.
    pub fn done(receipt: impl Into<Name>) -> Self {
        Self {
            status: Status::Done,
            reason: Name::from("the searcher confirmed the entry"),
            receipt: Some(receipt.into()),
        }
    }

    /// Reports a write that did not run.
    pub fn not_run(reason: impl Into<Name>) -> Self {
        Self { status: Status::NotRun, reason: reason.into(), receipt: None }
    }

    /// Reports a write of which nobody can say whether it ran.
    pub fn unknown(reason: impl Into<Name>) -> Self {
        Self { status: Status::Unknown, reason: reason.into(), receipt: None }
    }
}
