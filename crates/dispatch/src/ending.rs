//! What the end of an exchange with a searcher means for the request.
//!
//! Invariant: a request that may run once at most is sent again only if it certainly did
//! not run, and "not run" is told to a caller only if every attempt ended that way.

use bergamot_declaration::Kind;

/// How an exchange with a searcher ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// Nothing was sent: no connection, or it closed before the first byte left.
    NotSent,
    /// The searcher said that it did not run the request.
    NotRun,
    /// The searcher ran the request and answered with a failure.
    Failed,
    /// It may have run: the connection ended, or what came was no answer to it.
    Unknown,
}

impl Ending {
    /// Tells whether the request certainly did not run, and never will.
    pub fn did_not_run(self) -> bool {
        self <= Self::NotRun
    }

    /// Tells whether the request may be sent again after this end.
    pub fn may_resend(self, kind: Kind) -> bool {
        kind == Kind::Idempotent || self.did_not_run()
    }
}
