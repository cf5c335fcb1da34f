//! Whether kept connections to a searcher are used again after it sent bytes that are not the
//! answer to a request.

use std::time::{Duration, Instant};

/// How long a searcher that stuttered is distrusted: longer than answers are late, which are given
/// up at their deadlines.
const DISTRUST_PERIOD: Duration = Duration::from_secs(10);

/// How long a searcher is avoided after an answer beyond a bound, each of which costs as much as many
/// ordinary ones.
pub(crate) const AVOIDANCE_PERIOD: Duration = Duration::from_secs(5);

/// On which kept connections a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// On any, unless an answer of the searcher could recently not be read. For requests that may
    /// run more than once.
    Usual,
    /// On any, unless the searcher has recently sent anything but answers. For requests that may run
    /// only once.
    Cautious,
    /// On none. For requests of which an answer could not be read.
    Never,
}

/// What a searcher has sent that is not the answer to a request.
///
/// A request whose answer can't be read behind other bytes is lost if it may run only once, and
/// costs another attempt otherwise. A new connection carries no bytes of earlier requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trust {
    skipped: Option<Instant>,
    faulted: Option<Instant>,
    exceeded: Option<Instant>,
}

impl Trust {
    /// Records an answer that was skipped.
    pub(crate) fn record_skipped(&mut self, now: Instant) {
        self.skipped = Some(now);
    }

    /// Records bytes behind which the answer could not be read.
    pub(crate) fn record_fault(&mut self, now: Instant) {
        self.faulted = Some(now);
    }

    /// Records an answer beyond a bound.
    pub(crate) fn record_exceeded(&mut self, now: Instant) {
        self.record_fault(now);
        self.exceeded = Some(now);
    }

    /// Returns whether other searchers are to be asked first.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.exceeded.is_some_and(|at| now.saturating_duration_since(at) < AVOIDANCE_PERIOD)
    }

    /// Returns whether a request may be sent on a kept connection.
    pub(crate) fn may_reuse(&self, reuse: Reuse, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < DISTRUST_PERIOD)
        };
        match reuse {
            Reuse::Usual => !is_recent(self.faulted),
            Reuse::Cautious => !is_recent(self.faulted) && !is_recent(self.skipped),
            Reuse::Never => false,
        }
    }
}
