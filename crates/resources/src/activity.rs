//! What a connection of a client waits for, and since when.
//!
//! The HTTP library has one timer from the end of a request to the end of the next one's head. Here
//! the time for a head begins with its first byte, and the socket reports what passes.
//!
//! Invariant: a connection doesn't expire, and isn't closed for another one, while a complete request
//! is handled on it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use crate::ledger::Exhausted;
use crate::memory::{Memory, Reservation};

/// The minimum time between two looks at a connection, in which bytes that have come are read.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How long clients may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// The time for the head of a request, from its first byte. A head may get up to twice as long,
    /// because a connection is looked at once in this time.
    pub head: Duration,
    /// The time between two requests, from the last byte of a response; also that without a further
    /// byte of a body, or without room for a further byte of a response.
    pub idle: Duration,
}

/// What has taken too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// The head of a request.
    Head,
    /// The next request, or the reading of a response.
    Idle,
}

#[derive(Debug)]
enum Phase {
    /// No byte of a request has come since then.
    Idle(Instant),
    /// The first byte of a head came then, and so many since, whose memory is counted if they are many.
    Head { since: Instant, bytes: usize, held: Option<Reservation> },
    /// The last byte of a body came then.
    Body(Instant),
    /// A complete request is handled.
    Exchange,
}

/// Since when a connection waits for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Wait {
    pub(crate) since: Instant,
    /// Whether an earlier request of the connection was handled.
    pub(crate) has_served: bool,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    has_served: bool,
}

/// The phase of a connection, shared by its socket, its task and the requests on it.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<State>>);

impl Activity {
    /// Creates the activity of a connection that was accepted at `now`.
    pub fn new(now: Instant) -> Self {
        Self(Arc::new(Mutex::new(State { phase: Phase::Idle(now), has_served: false })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the head of a request is complete. Without a body, the request is. Returns the
    /// number of bytes received since the head began.
    pub fn begin_exchange(&self, now: Instant, has_body: bool) -> usize {
        let next = if has_body { Phase::Body(now) } else { Phase::Exchange };
        match std::mem::replace(&mut self.state().phase, next) {
            Phase::Head { bytes, .. } => bytes,
            Phase::Idle(_) | Phase::Body(_) | Phase::Exchange => 0,
        }
    }

    /// Records that the body of the request is complete.
    pub fn end_body(&self) {
        self.state().phase = Phase::Exchange;
    }

    /// Records that the response was handed to the HTTP library.
    pub fn end_exchange(&self, now: Instant) {
        *self.state() = State { phase: Phase::Idle(now), has_served: true };
    }

    /// Records bytes that were read; returns the bytes of the head that is being received.
    pub fn record_read(&self, now: Instant, bytes: usize) -> Option<usize> {
        let mut state = self.state();
        match &mut state.phase {
            Phase::Idle(_) => {
                state.phase = Phase::Head { since: now, bytes, held: None };
                Some(bytes)
            }
            Phase::Head { bytes: received, .. } => {
                *received += bytes;
                Some(*received)
            }
            Phase::Body(since) => {
                *since = now;
                None
            }
            Phase::Exchange => None,
        }
    }

    /// Counts the memory of the head that is being received, until it is complete. `close` is cancelled
    /// when it is discarded.
    pub fn hold_head(
        &self,
        memory: &Arc<Memory>,
        close: &CancellationToken,
        bytes: usize,
    ) -> Result<(), Exhausted> {
        let mut state = self.state();
        let Phase::Head { held, .. } = &mut state.phase else { return Ok(()) };
        held.get_or_insert_with(|| memory.reservation(close.clone())).set(bytes)
    }

    /// Records that bytes were written.
    pub fn record_write(&self, now: Instant) {
        if let Phase::Idle(since) = &mut self.state().phase {
            *since = now;
        }
    }

    /// Returns what has taken too long at `now`.
    pub fn expired(&self, now: Instant, timeouts: ConnectionTimeouts) -> Option<Expired> {
        let (since, timeout, expired) = match self.state().phase {
            Phase::Idle(since) => (since, timeouts.idle, Expired::Idle),
            Phase::Head { since, .. } => (since, timeouts.head, Expired::Head),
            // Whoever reads a body ends it in time.
            Phase::Body(_) | Phase::Exchange => return None,
        };
        (now.saturating_duration_since(since) >= timeout).then_some(expired)
    }

    /// Returns when to look for what has expired, given that this was done at `now`.
    pub fn next_check(&self, now: Instant, timeouts: ConnectionTimeouts) -> Instant {
        let passed = |since| now.saturating_duration_since(since);
        let interval = match self.state().phase {
            // A head may begin at any time.
            Phase::Idle(since) => timeouts.idle.saturating_sub(passed(since)).min(timeouts.head),
            Phase::Head { since, .. } => timeouts.head.saturating_sub(passed(since)),
            Phase::Body(_) | Phase::Exchange => timeouts.head,
        };
        now + interval.max(MIN_CHECK_INTERVAL)
    }

    /// Returns since when the connection waits for its client; `None` while a complete request is
    /// handled.
    pub(crate) fn wait(&self) -> Option<Wait> {
        let state = self.state();
        let since = match state.phase {
            Phase::Idle(since) | Phase::Head { since, .. } | Phase::Body(since) => since,
            Phase::Exchange => return None,
        };
        Some(Wait { since, has_served: state.has_served })
    }
}
