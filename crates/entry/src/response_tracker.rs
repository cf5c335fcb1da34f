//! Detection of gathers that accept requests but don't answer them.
//!
//! A paused gather keeps its connections open, so requests to it don't fail but run into
//! their deadlines, until probing detects the pause, which takes seconds. An entry detects
//! it sooner: a gather is unresponsive if it has answered nothing for some time after a
//! request was sent to it. Invariant: any response makes a gather responsive again, and an
//! unresponsive gather is retried at intervals, so that it doesn't stay unresponsive only
//! because no requests are sent to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Minimum interval between retries of an unresponsive gather.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A gather that has not answered since a request was sent to it.
#[derive(Debug, Default)]
struct Unanswered {
    /// When the first request after the last response was sent.
    since: Option<Instant>,
    last_retry: Option<Instant>,
}

/// The gathers from which one entry is waiting for a response.
#[derive(Debug, Default)]
pub(crate) struct ResponseTracker(HashMap<SocketAddr, Unanswered>);

impl ResponseTracker {
    /// Records that a request was sent.
    pub(crate) fn record_request(&mut self, gather: SocketAddr, now: Instant) {
        let unanswered = self.0.entry(gather).or_default();
        unanswered.since.get_or_insert(now);
    }

    /// Records a response, which may be a refusal.
    pub(crate) fn record_response(&mut self, gather: SocketAddr) {
        self.0.remove(&gather);
    }

    /// Returns whether a gather has left requests unanswered for longer than `limit`.
    pub(crate) fn is_unresponsive(
        &self,
        gather: SocketAddr,
        now: Instant,
        limit: Duration,
    ) -> bool {
        let since = self.0.get(&gather).and_then(|unanswered| unanswered.since);
        since.is_some_and(|since| now.saturating_duration_since(since) > limit)
    }

    /// Returns whether to retry an unresponsive gather now, and if so records the retry.
    pub(crate) fn begin_retry(&mut self, gather: SocketAddr, now: Instant) -> bool {
        let Some(unanswered) = self.0.get_mut(&gather) else {
            return true;
        };
        let last = unanswered.last_retry.or(unanswered.since).unwrap_or(now);
        let due = now.saturating_duration_since(last) >= RETRY_INTERVAL;
        if due {
            unanswered.last_retry = Some(now);
        }
        due
    }
}
