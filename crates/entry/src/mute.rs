//! Gathers that take requests and answer none.
//!
//! A paused gather keeps its connections, so nothing fails; requests to it just end at
//! their deadlines until probing notices, which takes seconds. An entry notices sooner:
//! a gather that has answered nothing since a request was sent some time ago is mute.
//! Invariant: any answer ends muteness, and a mute gather is tried again now and then,
//! so no gather stays mute for want of being asked.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often a mute gather is tried again.
const TRIAL: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Silence {
    /// When the first request after the last answer was sent.
    since: Option<Instant>,
    tried: Option<Instant>,
}

/// The silences of all gathers as one entry sees them.
#[derive(Debug, Default)]
pub(crate) struct Mutes(HashMap<SocketAddr, Silence>);

impl Mutes {
    /// Records that a request was sent.
    pub(crate) fn sent(&mut self, gather: SocketAddr, now: Instant) {
        let silence = self.0.entry(gather).or_default();
        silence.since.get_or_insert(now);
    }

    /// Records that an answer came, of whatever kind.
    pub(crate) fn answered(&mut self, gather: SocketAddr) {
        self.0.remove(&gather);
    }

    /// Tells whether a gather has been silent for longer than `limit`.
    pub(crate) fn is_mute(&self, gather: SocketAddr, now: Instant, limit: Duration) -> bool {
        let since = self.0.get(&gather).and_then(|silence| silence.since);
        since.is_some_and(|since| now.saturating_duration_since(since) > limit)
    }

    /// Tells whether a mute gather is to be tried again, and notes the trial.
    pub(crate) fn try_again(&mut self, gather: SocketAddr, now: Instant) -> bool {
        let Some(silence) = self.0.get_mut(&gather) else {
            return true;
        };
        let last = silence.tried.or(silence.since).unwrap_or(now);
        let due = now.saturating_duration_since(last) >= TRIAL;
        if due {
            silence.tried = Some(now);
        }
        due
    }
}
