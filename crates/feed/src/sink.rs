//! The consumer of the feed, and reports about the feed's queries.

use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::Position;

use crate::origin::Origin;
use crate::source::RecordEvent;

/// Callbacks to the consumer of the feed.
pub struct Sink {
    /// Receives each decoded record.
    pub on_record: Box<dyn Fn(RecordEvent) + Send + Sync>,
    /// Called when the store becomes unavailable (`true`) or available again (`false`), with the
    /// time since the mirror was last known to be up to date.
    pub on_store_away: Box<dyn Fn(bool, Duration) + Send + Sync>,
    /// Called when the store was restored from a copy, before any update of its new era: with the
    /// last known position of the former era, and the first of the new one.
    pub on_restore: Box<dyn Fn(Position, Position) + Send + Sync>,
    /// Returns whether the process was suspended, in which case the next query must return at once
    /// instead of waiting for updates.
    pub was_suspended: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns whether callers are waiting for the first update.
    pub has_waiting_callers: Box<dyn Fn() -> bool + Send + Sync>,
    /// Called at the end of each query to an origin.
    pub on_query_end: Box<dyn Fn(&QueryReport) + Send + Sync>,
}

impl fmt::Debug for Sink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Sink")
    }
}

/// The result of a query for updates or chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryReport {
    /// The origin that was queried.
    pub origin: Origin,
    /// What was requested.
    pub kind: QueryKind,
    /// When the query started.
    pub at: Instant,
    /// The size of the reply's records or chunks in bytes.
    pub bytes: usize,
    /// The metrics label of the error, if the query failed.
    pub error: Option<&'static str>,
}

/// The subject of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryKind {
    /// Changes in the store.
    News,
    /// The chunks of a large value.
    Chunks,
}
