//! Why the bytes of a connection can't be attributed any more.

use snafu::Snafu;

/// A bound of [`Limits`](crate::Limits) or [`Memory`](crate::Memory) that was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The size of a head.
    Head,
    /// The number of headers.
    Headers,
    /// The size of a body.
    Body,
    /// The number of chunks of a body.
    Chunks,
    /// The number of interim responses.
    Interim,
    /// The number or size of answers to other requests.
    Strays,
    /// The memory of all answers in progress in the process.
    Memory,
}

impl Limit {
    /// Returns the name in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Headers => "headers",
            Self::Body => "body",
            Self::Chunks => "chunks",
            Self::Interim => "interim",
            Self::Strays => "strays",
            Self::Memory => "memory",
        }
    }
}

/// Why the bytes of a connection can't be attributed any more. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// The bytes are no answer.
    #[snafu(display("malformed answer: {cause}"))]
    Malformed {
        /// What is wrong.
        cause: &'static str,
    },
    /// An answer to another request has no length, so the end of it is unknown.
    #[snafu(display("answer to another request without a length"))]
    Unframed,
    /// The body of the answer seems to hold the beginning of another answer.
    #[snafu(display("truncated answer, filled by another"))]
    Filled,
    /// Bytes arrived while no request waited for an answer.
    #[snafu(display("bytes that answer no request"))]
    Unsolicited,
    /// A bound was exceeded.
    #[snafu(display("answer exceeds the limit: {}", limit.label()))]
    Exceeded {
        /// The bound.
        limit: Limit,
    },
}

impl Fault {
    /// Returns the name in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed { .. } => "malformed",
            Self::Unframed => "unframed",
            Self::Filled => "filled",
            Self::Unsolicited => "unsolicited",
            Self::Exceeded { limit } => limit.label(),
        }
    }

    /// Returns whether the answer itself was received completely before the fault.
    pub fn is_behind_answer(self) -> bool {
        self == Self::Unsolicited
    }
}
