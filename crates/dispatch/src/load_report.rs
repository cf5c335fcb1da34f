//! Decides which searchers a reply to another member reports on.
//!
//! The measured latency of a searcher is reported while it exceeds a multiple of the best one, and
//! afterwards for as long as an earlier report may be in force at some member, so that a recovery
//! is reported as well. A single pause of a searcher is not reported: it is over before a report
//! could be used. Invariant: only what this member has measured itself is reported. A decayed
//! estimate would look like a recovery to all members at once, and reports that are passed on would
//! outlast their measurements.

use std::time::Instant;

use bergamot_policy::Report;

/// The latencies that a member has measured at a searcher, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measured {
    /// The mean at the last sample.
    pub mean: f64,
    /// The mean, decayed towards the best latency since the last sample.
    pub decayed: f64,
    /// The best latency.
    pub best: f64,
    /// Whether the mean is a multiple of the best latency, and not because of a single pause.
    pub is_slow: bool,
}

/// Distinguishes a slow searcher from one that paused.
///
/// Requests that are unanswered during a pause are all answered late when it ends. Therefore only a
/// late answer to a request that was sent after another late answer shows that the searcher is slow.
/// A request that was abandoned may be followed by others within the same pause.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowness {
    /// When the pause was over that the first of the consecutive late answers may be due to.
    pause_end: Option<Instant>,
    is_slow: bool,
}

impl Slowness {
    /// Records an answer to a request sent at `sent`, or that it was abandoned, given when a pause
    /// was over that would explain it, whether it was late, and whether the mean latency is high.
    pub(crate) fn record(&mut self, sent: Instant, pause_end: Instant, late: bool, high: bool) {
        let earlier = self.pause_end.filter(|_| late);
        let is_confirmed = earlier.is_some_and(|end| sent >= end);
        self.is_slow = high && (self.is_slow || is_confirmed);
        self.pause_end = earlier.or_else(|| late.then_some(pause_end));
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow
    }
}

/// What this member has reported about one searcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// When the searcher was last reported as slow.
    slow_at: Option<Instant>,
}

impl LoadReport {
    /// Returns the latency to report in a reply that is sent now, in milliseconds, if any.
    pub fn delay(&mut self, now: Instant, measured: Measured, policy: &Report) -> Option<f64> {
        if !policy.on {
            return None;
        }
        if measured.is_slow {
            // Otherwise this member is about to try the searcher again.
            let is_avoided = measured.decayed > measured.best * policy.again;
            self.slow_at = if is_avoided { Some(now) } else { self.slow_at };
            return is_avoided.then_some(measured.mean);
        }
        let is_recovery =
            self.slow_at.is_some_and(|at| now.saturating_duration_since(at) < policy.valid);
        is_recovery.then_some(measured.mean)
    }
}
