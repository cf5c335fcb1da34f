//! Updates from the store itself.
//!
//! Invariants: records superseded within one reply are not applied; a reply of an era other than
//! the known one is never merged into the mirror, but leads to a new listing or is rejected.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::{Arc, atomic};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Position};

use super::Follower;
use crate::clock::now;
use crate::origin::Origin;
use crate::source::{QueryError, ReadResult, Record, Scope, WatchTimeouts};

/// How many bytes of superseded declarations a reply may hold: 0.15 s of a 14 Mbit/s link. After a
/// reply with more, only the newest declaration is read, which takes two calls instead of one.
const MAX_SUPERSEDED_BYTES: usize = 256 << 10;

/// How long after a change of the declaration another one is likely.
const BURST_PERIOD: Duration = Duration::from_secs(3);

/// The result of a query to the store.
struct StoreReply {
    records: Vec<Record>,
    /// The position up to which everything is now known.
    at: Position,
    /// Whether the records are a full listing.
    is_listing: bool,
    /// The moment as of which the result is complete.
    complete_as_of: Instant,
}

impl Follower {
    pub(super) async fn ask_store(&mut self, started: Instant) -> Result<(), QueryError> {
        let reply = match self.read_store(started).await {
            Err(QueryError::HistoryUnavailable | QueryError::Restored { .. }) => {
                self.list(started).await?
            }
            reply => reply?,
        };
        let StoreReply { records, at, is_listing, complete_as_of } = reply;
        let changed = !records.is_empty();
        self.bytes += bytes_of(&records);
        let items =
            newest(records).into_iter().map(|record| self.shared().to_item(record)).collect();
        self.apply(|mirror| {
            let change =
                if is_listing { mirror.replace(items, at) } else { mirror.update(items, at) };
            mirror.mark_current(complete_as_of);
            change
        });
        if changed {
            tokio::time::sleep(self.settings.pause_after_changes).await;
        }
        Ok(())
    }

    async fn read_store(&mut self, started: Instant) -> Result<StoreReply, QueryError> {
        let at = self.shared().mirror().position();
        if at.is_start() {
            return Err(QueryError::HistoryUnavailable);
        }
        if self.read_newest_only || self.missed_versions() {
            return self.read_newest(at, started).await;
        }
        let (records, at) = self.watch(at, Scope::All).await?;
        self.read_newest_only =
            superseded_bytes(&records, &self.delivery.source.declaration) > MAX_SUPERSEDED_BYTES;
        Ok(StoreReply { records, at, is_listing: false, complete_as_of: now() })
    }

    /// Returns whether versions of the declaration have probably been missed: several came in quick
    /// succession, and then the store was unreachable or another member read it.
    fn missed_versions(&self) -> bool {
        let changed_recently =
            self.declaration_changed_at.is_some_and(|at| now().duration_since(at) < BURST_PERIOD);
        changed_recently && self.last_success != Some(Origin::Store)
    }

    /// Reads the operator's records as they are now, and then the changes of searchers.
    ///
    /// A watch returns every version of the declaration since the last call, each in full. If
    /// versions are published faster than the link can carry them, each reply would be longer than
    /// the one before.
    async fn read_newest(
        &mut self,
        at: Position,
        started: Instant,
    ) -> Result<StoreReply, QueryError> {
        let (listed, listed_at) = (self.delivery.source.list)(Scope::Operator).await?;
        compare_eras(at, listed_at)?;
        let (mut records, watched_at) = self.watch(at, Scope::Searchers).await?;
        let declaration = &self.delivery.source.declaration;
        self.read_newest_only =
            listed.iter().any(|record| record.key == *declaration && record.position > at);
        // Later changes are returned again by the next call.
        let complete_at = listed_at.min(watched_at);
        records.extend(self.deleted_operator_records(&listed, complete_at));
        records.extend(listed.into_iter().filter(|record| record.position > at));
        records.retain(|record| record.position <= complete_at);
        Ok(StoreReply { records, at: complete_at, is_listing: false, complete_as_of: started })
    }

    /// Returns the deletions of the operator's records that a listing of them lacks.
    fn deleted_operator_records(&self, listed: &[Record], position: Position) -> Vec<Record> {
        let is_listed = |key: &Name| listed.iter().any(|record| record.key == *key);
        let is_deleted =
            |key: &Name| (self.delivery.source.is_operator_key)(key) && !is_listed(key);
        let mirror = self.shared().mirror();
        let deleted = mirror.keys().filter(|key| is_deleted(key));
        let deletion =
            |key: &Name| Record { key: Name::clone(key), value: None, position, version: None };
        deleted.map(deletion).collect()
    }

    async fn list(&self, started: Instant) -> Result<StoreReply, QueryError> {
        // Members that query this one in the meantime wait for the result.
        self.shared().arriving.store(true, atomic::Ordering::Relaxed);
        let (records, at) = (self.delivery.source.list)(Scope::All).await?;
        let (held, items) = (self.shared().mirror().position(), records.len());
        log::info!("feed: event=listed position={at} held={held} items={items}");
        if at < held {
            return Err(QueryError::Outdated { at, known: held });
        }
        Ok(StoreReply { records, at, is_listing: true, complete_as_of: started })
    }

    /// Watches the store for changes. After a failure the call does not wait: other members may
    /// have updates, so a store that still hangs must not block queries to them.
    async fn watch(&self, at: Position, scope: Scope) -> ReadResult {
        let store_failed = self.origins.store_failed_last();
        let waits = !store_failed && !(self.delivery.sink.was_suspended)();
        let timeouts = WatchTimeouts {
            max_wait: if waits { self.settings.watch_wait } else { Duration::ZERO },
            idle: if store_failed {
                self.settings.probe_timeout
            } else {
                self.settings.idle_timeout
            },
            arriving: Arc::clone(&self.shared().arriving),
        };
        let (records, reply_position) = (self.delivery.source.watch)(at, scope, timeouts).await?;
        compare_eras(at, reply_position)?;
        Ok((records, reply_position))
    }
}

fn bytes_of<'a>(records: impl IntoIterator<Item = &'a Record>) -> usize {
    records.into_iter().filter_map(|record| Some(record.value.as_ref()?.len())).sum()
}

/// Returns how many bytes of a reply are versions of a key that are superseded within the reply.
fn superseded_bytes(records: &[Record], key: &Name) -> usize {
    let versions: Vec<&Record> = records.iter().filter(|record| record.key == *key).collect();
    let newest = versions.iter().copied().max_by_key(|record| record.rank());
    bytes_of(versions) - bytes_of(newest)
}

/// Keeps the newest record of each key, in the order of their positions.
///
/// The store returns every version written since the last call. Without this, a reader that pauses
/// between calls would split, distribute and decode versions that are already superseded.
fn newest(records: Vec<Record>) -> Vec<Record> {
    let mut newest = HashMap::<Name, Record>::with_capacity(records.len());
    for record in records {
        let newer = newest.get(&record.key).is_none_or(|known| known.rank() < record.rank());
        if newer {
            newest.insert(Name::clone(&record.key), record);
        }
    }
    let mut records: Vec<Record> = newest.into_values().collect();
    records.sort_unstable_by(|a, b| (a.position, &a.key).cmp(&(b.position, &b.key)));
    records
}

/// Compares the era of a reply with the known one, and returns what to do if they differ.
fn compare_eras(known: Position, reply_position: Position) -> Result<(), QueryError> {
    match reply_position.era.cmp(&known.era) {
        Ordering::Equal => Ok(()),
        Ordering::Greater => Err(QueryError::Restored { era: reply_position.era }),
        // The reply is from a connection or server that predates the restore.
        Ordering::Less => Err(QueryError::Outdated { at: reply_position, known }),
    }
}
