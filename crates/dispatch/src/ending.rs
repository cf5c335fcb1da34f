//! What the end of an exchange with a searcher implies for the request.
//!
//! Invariant: a non-idempotent request is sent again only if it certainly did not run, and a
//! caller is told "not run" only if every attempt ended that way.

use bergamot_declaration::Idempotency;

/// How an exchange with a searcher ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// Nothing was sent: there was no connection, or it closed before the first byte was sent.
    NotSent,
    /// The searcher reported that it did not run the request.
    NotRun,
    /// The searcher ran the request and returned an error.
    Failed,
    /// The request may have run: the connection was lost, or the response does not belong to it.
    Unknown,
}

impl Ending {
    /// Returns whether the request certainly did not run, and never will.
    pub fn did_not_run(self) -> bool {
        self <= Self::NotRun
    }

    /// Returns whether the request may be sent again.
    pub fn may_resend(self, kind: Idempotency) -> bool {
        kind == Idempotency::Idempotent || self.did_not_run()
    }
}
