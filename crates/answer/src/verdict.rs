//! What a complete answer of a searcher says of its request.
//!
//! A status alone says little: the same 404 is the truth about a caller's mistake and the failure of
//! one searcher, and the same 503 is sent for a request that ran and for one that didn't. Invariants:
//! only a signed success with complete content counts as the result of a request; only the searcher's
//! own statement shows that a request did not run; no answer is passed on whose status promises that
//! its request did not run, or is none ([`is_status`]; [`crate::Inspector`] lets no such head pass). The
//! table is in `docs/design/0021-verdicts.md`.

/// The successes whose body is not the content, but a part of it or its difference from an earlier one:
/// Partial Content, IM Used.
const INCOMPLETE_CONTENT: [u16; 2] = [206, 226];

/// The statuses that callers take for the promise that their request did not run and never will:
/// Request Timeout, Misdirected Request, Too Many Requests, Service Unavailable.
const PROMISES_NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Returns whether a number is a status that HTTP knows the class of. Bytes with another one are no
/// answer, whatever else they state.
pub fn is_status(number: u16) -> bool {
    (100..=599).contains(&number)
}

/// What the head of an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a statement of its own")]
pub struct Statement {
    /// The status code.
    pub status: u16,
    /// Whether the searcher signed the answer ([`is_signature`]), as it does after it ran the request.
    pub is_signed: bool,
    /// Whether the searcher states that it did not run the request.
    pub denies_run: bool,
    /// Whether the status says that another searcher was meant.
    pub is_misdirected: bool,
    /// Whether the body is encoded ([`is_encoding`]), and so is not the content itself.
    pub is_encoded: bool,
}

impl Statement {
    /// Returns whether the answer to a request of one searcher may be passed on unchanged.
    pub fn may_forward(self) -> bool {
        match Verdict::of(self) {
            Verdict::Success => true,
            Verdict::Rejected | Verdict::Failed => {
                is_status(self.status)
                    && !self.is_encoded
                    && !PROMISES_NOT_RUN.contains(&self.status)
            }
            Verdict::NotRun | Verdict::Misdirected | Verdict::Unsigned => false,
        }
    }
}

/// What a complete answer says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The searcher ran the request with success and sent its complete content.
    Success,
    /// The searcher ran the request and gave no result for a reason that may lie in the request.
    Rejected,
    /// The searcher failed to run the request.
    Failed,
    /// The searcher did not run the request and never will.
    NotRun,
    /// Another searcher is at the address, and did not run the request.
    Misdirected,
    /// Nobody vouches for the answer. The request may have run.
    Unsigned,
}

impl Verdict {
    /// Judges an answer.
    pub fn of(statement: Statement) -> Self {
        let Statement { status, is_signed, denies_run, is_misdirected, is_encoded } = statement;
        match status {
            // A signature shows that the searcher that was meant has answered.
            _ if is_misdirected && !is_signed => Self::Misdirected,
            _ if denies_run => Self::NotRun,
            _ if !is_signed => Self::Unsigned,
            _ if is_encoded => Self::Failed,
            200..=299 if !INCOMPLETE_CONTENT.contains(&status) => Self::Success,
            200..=299 => Self::Rejected,
            300..=499 if !PROMISES_NOT_RUN.contains(&status) => Self::Rejected,
            _ => Self::Failed,
        }
    }

    /// Returns whether the request certainly did not run, and never will.
    pub fn did_not_run(self) -> bool {
        matches!(self, Self::NotRun | Self::Misdirected)
    }

    /// Returns the name in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Unsigned => "unsigned",
        }
    }
}

/// Returns whether the value of a header is one signature: an empty one signs nothing, and a comma
/// separates signatures where several are listed.
pub fn is_signature(value: &[u8]) -> bool {
    !value.is_empty() && !value.contains(&b',')
}

/// Returns whether a `Content-Encoding` changes the content.
pub fn is_encoding(value: &[u8]) -> bool {
    !value.eq_ignore_ascii_case(b"identity")
}
