//! Which connections of a listener stay open.
//!
//! Algorithm: if all places are taken, a new connection takes that of another one, which is closed:
//! first of those that have never carried a request and have stalled, then of all that wait for their
//! clients, each time the one that has waited longest. Invariants: no more connections are open than
//! there are places; a connection on which a complete request is handled keeps its place.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::activity::{Activity, Wait};

/// How long a connection that never carried a request may wait for its client before it goes first:
/// the time that clients allow for a new connection.
const STALL: Duration = Duration::from_secs(1);

/// The counters of the connections of a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// How many are open.
    pub open: usize,
    /// How many may be open.
    pub limit: usize,
    /// How many were closed for others.
    pub closed: u64,
    /// How many were closed at once, because complete requests were handled on all others.
    pub refused: u64,
}

impl fmt::Display for ConnectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { open, limit, closed, refused } = self;
        write!(f, "open {open} limit {limit} closed {closed} refused {refused}")
    }
}

/// An open connection.
#[derive(Debug)]
struct Open {
    activity: Activity,
    /// Cancelled when it is to be closed.
    close: CancellationToken,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a place, with this number.
    Place(u64),
    /// Another one is being closed for it.
    Wait,
    /// There is no place.
    Full,
}

/// The open connections of a listener, by the time that its caller states.
#[derive(Debug)]
pub struct Table {
    counts: ConnectionCounts,
    next: u64,
    open: BTreeMap<u64, Open>,
}

impl Table {
    /// Creates a table with so many places.
    pub fn new(limit: usize) -> Self {
        let counts = ConnectionCounts { limit, ..ConnectionCounts::default() };
        Self { counts, next: 0, open: BTreeMap::new() }
    }

    /// Returns the counters.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts
    }

    /// Decides on a new connection. `close` is cancelled once it must be closed.
    pub fn admit(
        &mut self,
        now: Instant,
        activity: &Activity,
        close: &CancellationToken,
    ) -> Admission {
        if self.open.len() >= self.counts.limit {
            if self.close_one(now) {
                return Admission::Wait;
            }
            self.counts.refused += 1;
            return Admission::Full;
        }
        let id = self.next;
        self.next += 1;
        self.open.insert(id, Open { activity: activity.clone(), close: close.clone() });
        self.counts.open = self.open.len();
        Admission::Place(id)
    }

    /// Begins to close the connection that goes first; returns whether one is being closed.
    pub fn close_one(&mut self, now: Instant) -> bool {
        if self.open.values().any(|open| open.close.is_cancelled()) {
            return true;
        }
        let rank = |wait: Wait| {
            let has_stalled = now.saturating_duration_since(wait.since) >= STALL;
            (wait.has_served || !has_stalled, wait.since)
        };
        let waiting =
            self.open.values().filter_map(|open| Some((rank(open.activity.wait()?), open)));
        let Some((_, first)) = waiting.min_by_key(|(rank, _)| *rank) else { return false };
        first.close.cancel();
        self.counts.closed += 1;
        true
    }

    /// Records that a connection was closed.
    pub fn remove(&mut self, id: u64) {
        self.open.remove(&id);
        self.counts.open = self.open.len();
    }
}

/// The connections of one listener.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    /// Notified when a connection has been closed.
    removed: Notify,
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Connections {
    /// Returns connections without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Connections {
    /// Creates the places of a listener.
    pub fn new(limit: usize) -> Self {
        let table = Mutex::new(Table::new(limit));
        Self(Arc::new(Shared { table, removed: Notify::new() }))
    }

    /// Returns the counters.
    pub fn counts(&self) -> ConnectionCounts {
        self.0.table().counts()
    }

    /// Returns a place for a connection that was accepted at `now`, once one is free that can be;
    /// `None` if complete requests are handled on all other connections.
    pub async fn admit(&self, now: Instant) -> Option<Place> {
        let (activity, close) = (Activity::new(now), CancellationToken::new());
        loop {
            let mut removed = std::pin::pin!(self.0.removed.notified());
            removed.as_mut().enable();
            let admission = self.0.table().admit(now, &activity, &close);
            match admission {
                Admission::Place(id) => {
                    return Some(Place { connections: self.clone(), id, activity, close });
                }
                Admission::Wait => removed.await,
                Admission::Full => return None,
            }
        }
    }

    /// Closes the connection that goes first, if one waits for its client, because the process has no
    /// descriptor left.
    pub fn close_one(&self, now: Instant) {
        self.0.table().close_one(now);
    }
}

/// The place of an open connection, which is free after its drop.
#[derive(Debug)]
pub struct Place {
    connections: Connections,
    id: u64,
    activity: Activity,
    close: CancellationToken,
}

impl Place {
    /// Returns the activity of the connection.
    pub fn activity(&self) -> &Activity {
        &self.activity
    }

    /// Waits until the connection is to be closed for another one, or for what others send.
    pub async fn closed(&self) {
        self.close.cancelled().await;
    }

    /// Returns the token that closes the connection, for what it holds.
    pub fn close_token(&self) -> CancellationToken {
        self.close.clone()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.0.table().remove(self.id);
        self.connections.0.removed.notify_waiters();
    }
}
