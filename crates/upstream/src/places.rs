//! The places of a pool: how many connections it may have, and how many it has.
//!
//! Invariant: the number of open connections is the number of [`Place`]s. A place is owned by what
//! establishes or holds the connection, so that it is given back however that ends: by a failure,
//! a cancellation, a panic, the end of the pool or of the runtime.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::connection::Connection;
use crate::pool::{Observer, Usage};

/// How long the share stays reduced after a refused connection.
const REDUCED_FOR: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Counts {
    usage: Usage,
    /// The limit after a refused connection, and when it ends.
    reduced: Option<(usize, Instant)>,
    is_closing: bool,
}

impl Counts {
    fn limit(&mut self, now: Instant) -> usize {
        match self.reduced {
            _ if self.is_closing => 0,
            Some((limit, until)) if now < until => limit.min(self.usage.share),
            _ => {
                self.reduced = None;
                self.usage.share
            }
        }
    }
}

/// The places of one pool.
///
/// Its lock may be taken under that of the pool, and never the other way round: a connection may be
/// dropped under the lock of the pool.
#[derive(Debug)]
pub(crate) struct Places {
    counts: Mutex<Counts>,
    observer: Observer,
    /// Notified when a connection becomes available or the limit may have room.
    available: Notify,
}

impl Places {
    /// Creates places of which none is taken.
    pub(crate) fn new(share: usize, observer: Observer) -> Arc<Self> {
        let usage = Usage { share, ..Usage::default() };
        let counts = Mutex::new(Counts { usage, reduced: None, is_closing: false });
        Arc::new(Self { counts, observer, available: Notify::new() })
    }

    /// Takes a place for a connection that is to be established, if the limit has room.
    pub(crate) fn take(self: &Arc<Self>, now: Instant) -> Option<Place> {
        let mut counts = self.lock();
        if counts.usage.open >= counts.limit(now) {
            return None;
        }
        counts.usage.open += 1;
        counts.usage.dials += 1;
        (self.observer.opened)();
        Some(Place(Arc::clone(self)))
    }

    /// Returns whether the limit has no room.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        let mut counts = self.lock();
        counts.usage.open >= counts.limit(now)
    }

    /// Returns whether more places are taken than the limit allows.
    pub(crate) fn is_exceeded(&self, now: Instant) -> bool {
        let mut counts = self.lock();
        counts.usage.open > counts.limit(now)
    }

    /// Changes the share, and allows connections again after [`Self::close`].
    pub(crate) fn resize(&self, share: usize) {
        let mut counts = self.lock();
        counts.usage.share = share;
        counts.is_closing = false;
    }

    /// Allows no connections from now on.
    pub(crate) fn close(&self) {
        self.lock().is_closing = true;
    }

    /// Returns whether no connections are allowed.
    pub(crate) fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    /// Temporarily limits the places to those that are taken without the one whose connection the
    /// searcher refused.
    pub(crate) fn record_refusal(&self, now: Instant) {
        let mut counts = self.lock();
        counts.usage.refused += 1;
        let limit = counts.usage.open.saturating_sub(1).max(1);
        counts.reduced = Some((limit, now + REDUCED_FOR));
    }

    /// Returns the counters of the places.
    pub(crate) fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Returns the observer of the pool.
    pub(crate) fn observer(&self) -> &Observer {
        &self.observer
    }

    /// Returns a future that ends when a connection may have become available since this call.
    pub(crate) fn available(&self) -> Notified<'_> {
        self.available.notified()
    }

    /// Wakes a request that waits for a connection.
    pub(crate) fn notify_one(&self) {
        self.available.notify_one();
    }

    /// Wakes all requests that wait for a connection.
    pub(crate) fn notify_waiters(&self) {
        self.available.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place that is taken until this is dropped.
#[derive(Debug)]
pub(crate) struct Place(Arc<Places>);

impl Drop for Place {
    fn drop(&mut self) {
        let mut counts = self.0.lock();
        counts.usage.open -= 1;
        (self.0.observer.closed)(counts.usage.open);
        drop(counts);
        self.0.notify_one();
    }
}

/// A connection and the place that it takes. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Pooled {
    connection: Connection,
    /// Given back after the connection is closed, since fields are dropped in order.
    _place: Place,
}

impl Pooled {
    pub(crate) fn new(connection: Connection, place: Place) -> Self {
        Self { connection, _place: place }
    }
}

impl Deref for Pooled {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl DerefMut for Pooled {
    fn deref_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }
}
