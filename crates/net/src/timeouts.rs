//! How long a client's connection may be idle, and how long the head of a request may take.
//!
//! The HTTP library has one timer for both, from the end of a request to the end of the next one's
//! head. Here the time for a head begins with its first byte, and the socket reports what passes.
//!
//! Invariant: a connection doesn't expire while a request is in progress on it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::io::{InspectReader, InspectWriter};

/// The minimum time between two looks at a connection, in which bytes that have come are read.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How long clients may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// The time for the head of a request, from its first byte. A head may get up to twice as long,
    /// because a connection is looked at once in this time.
    pub head: Duration,
    /// The time between two requests, from the last byte of a response.
    pub idle: Duration,
}

/// What has taken too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expired {
    Head,
    Idle,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No byte of a request has come since then.
    Idle(Instant),
    /// The first byte of a head came then.
    Head(Instant),
    /// A request is handled.
    Exchange,
}

/// The phase of a connection, shared by its socket and its task.
#[derive(Clone, Debug)]
pub(crate) struct Activity(Arc<Mutex<Phase>>);

impl Activity {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(Phase::Idle(Instant::now()))))
    }

    fn phase(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the head of a request is complete.
    pub(crate) fn begin_exchange(&self) {
        *self.phase() = Phase::Exchange;
    }

    /// Records that the response was handed to the HTTP library.
    pub(crate) fn end_exchange(&self) {
        *self.phase() = Phase::Idle(Instant::now());
    }

    fn record_read(&self) {
        let mut phase = self.phase();
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(Instant::now());
        }
    }

    fn record_write(&self) {
        if let Phase::Idle(since) = &mut *self.phase() {
            *since = Instant::now();
        }
    }

    /// Returns what has taken too long at `now`.
    pub(crate) fn expired(&self, now: Instant, timeouts: ConnectionTimeouts) -> Option<Expired> {
        let (since, timeout, expired) = match *self.phase() {
            Phase::Idle(since) => (since, timeouts.idle, Expired::Idle),
            Phase::Head(since) => (since, timeouts.head, Expired::Head),
            Phase::Exchange => return None,
        };
        (now.saturating_duration_since(since) >= timeout).then_some(expired)
    }

    /// Returns when to look for what has expired, given that this was done at `now`.
    pub(crate) fn next_check(&self, now: Instant, timeouts: ConnectionTimeouts) -> Instant {
        let interval = match *self.phase() {
            // A head may begin at any time.
            Phase::Idle(since) => timeouts.idle.saturating_sub(now - since).min(timeouts.head),
            Phase::Head(since) => timeouts.head.saturating_sub(now - since),
            Phase::Exchange => timeouts.head,
        };
        now + interval.max(MIN_CHECK_INTERVAL)
    }
}

/// Returns a socket that reports the bytes that pass it.
pub(crate) fn observe(
    stream: TcpStream,
    activity: &Activity,
) -> impl AsyncRead + AsyncWrite + Unpin + use<> {
    let (for_reads, for_writes) = (activity.clone(), activity.clone());
    let stream = InspectWriter::new(stream, move |_| for_writes.record_write());
    InspectReader::new(stream, move |bytes| {
        if !bytes.is_empty() {
            for_reads.record_read();
        }
    })
}
