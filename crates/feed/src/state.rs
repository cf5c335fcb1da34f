//! State shared by the feed's tasks and the handlers of other members' queries.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position};
use bergamot_wire::{Item, Manifest, News, NewsQuery, Rank, Value};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::chunk::Chunks;
use crate::clock::now;
use crate::mirror::{Change, Mirror};
use crate::pending::PendingFetches;
use crate::source::Record;

/// The oldest state of a member that others rely on: the duration of a watch at the store, plus
/// time for its reply.
pub(crate) const STALENESS_LIMIT: Duration = Duration::from_millis(1500);

/// The size in bytes from which transfers are logged: 10 ms or more on the slowest links (14
/// Mbit/s), and well above the few hundred bytes of a searcher's entry.
pub(crate) const LARGE_TRANSFER_BYTES: usize = 16 << 10;

/// The largest reply to another member, in bytes.
///
/// A reply is lost as a whole if its query has timed out, and it delays everything else that the
/// machine sends: 16 KB take 10 ms on a 14 Mbit/s link.
const MAX_REPLY_BYTES: usize = 16 << 10;

/// How often a query that is held back because a reply of the store is coming in checks whether it
/// still is.
const ARRIVING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of the feed.
#[derive(Debug)]
pub struct FeedState {
    mirror: Mutex<Mirror>,
    chunks: Mutex<Chunks>,
    pending: Mutex<PendingFetches>,
    /// The member that sent the last updates.
    last_sender: Mutex<Option<Ipv4Addr>>,
    /// The newest complete item of each key with a large value.
    complete: Mutex<HashMap<Name, Item>>,
    /// The position up to which the mirror is complete.
    position: watch::Sender<Position>,
    /// Counts arrivals of chunks.
    chunk_arrivals: watch::Sender<u64>,
    fetch_requested: Notify,
    /// Whether a reply of the store is coming in.
    pub(crate) arriving: Arc<AtomicBool>,
    bytes_sent: AtomicU64,
}

impl Default for FeedState {
    fn default() -> Self {
        Self {
            mirror: Mutex::default(),
            chunks: Mutex::default(),
            pending: Mutex::default(),
            last_sender: Mutex::default(),
            complete: Mutex::default(),
            position: watch::Sender::new(Position::default()),
            chunk_arrivals: watch::Sender::new(0),
            fetch_requested: Notify::new(),
            arriving: Arc::default(),
            bytes_sent: AtomicU64::new(0),
        }
    }
}

impl FeedState {
    /// Answers another member's query for updates.
    ///
    /// A stale member replies at once, so that the other member can query a different one. It does
    /// wait while a reply of the store is coming in: otherwise all followers would query the store
    /// for updates that are about to reach them.
    pub async fn news(&self, query: NewsQuery) -> News {
        let mut changed = self.position.subscribe();
        let newer = async {
            while !self.mirror().has_news(query.after) && changed.changed().await.is_ok() {}
        };
        let age = self.mirror().age(now()).unwrap_or(STALENESS_LIMIT);
        let stale = async {
            sleep(STALENESS_LIMIT.saturating_sub(age)).await;
            while self.arriving.load(Ordering::Relaxed) {
                sleep(ARRIVING_POLL_INTERVAL).await;
            }
        };
        let waiting = async {
            tokio::select! {
                () = newer => {}
                () = stale => {}
            }
        };
        // A reply without updates still reports how current this member is.
        let _elapsed = timeout(query.wait, waiting).await;
        let mut news = self.mirror().news(&query, MAX_REPLY_BYTES, now());
        news.arriving = self.arriving.load(Ordering::Relaxed);
        self.add_bytes_sent(news.items.iter().map(Item::size).sum());
        news
    }

    /// Answers another member's query for chunks with the first of them that are stored, waiting up
    /// to `wait` for any.
    pub async fn chunks(&self, hashes: &[u64], wait: Duration) -> Vec<Vec<u8>> {
        let mut arrived = self.chunk_arrivals.subscribe();
        let held = async {
            loop {
                let first = self.lock_chunks().select(hashes, MAX_REPLY_BYTES);
                if !first.is_empty() || arrived.changed().await.is_err() {
                    return first;
                }
            }
        };
        let first = timeout(wait, held).await.unwrap_or_default();
        self.add_bytes_sent(first.iter().map(Vec::len).sum());
        first
    }

    /// Returns the item of one key, for another member: of a large value the newest that is complete
    /// here, if any is, since the other member would ask for its chunks next.
    pub fn item(&self, key: &str) -> Option<Item> {
        let known = self.mirror().get(key).cloned();
        let is_large = known.as_ref().is_some_and(|item| matches!(item.value, Value::Chunked(_)));
        let complete = if is_large { self.complete_item(key) } else { None };
        let item = complete.or(known);
        self.add_bytes_sent(item.as_ref().map_or(0, Item::size));
        item
    }

    /// Returns whether this member is current enough for others to rely on it.
    pub fn is_fresh(&self) -> bool {
        self.mirror().age(now()).is_some_and(|age| age <= STALENESS_LIMIT)
    }

    /// Returns how many bytes of records and chunks this member has sent to others.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Returns the total size of the stored chunks in bytes.
    pub fn chunk_bytes(&self) -> usize {
        self.lock_chunks().size()
    }

    /// Locks the mirror.
    pub fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts a record into the item that is sent to other members, and stores the chunks of a
    /// large one.
    pub(crate) fn to_item(&self, record: Record) -> Item {
        let rank = record.rank();
        let Record { key, value, position, version } = record;
        let value = match value {
            None => Value::Deleted,
            Some(value) => self.lock_chunks().split(&key, rank, value),
        };
        if matches!(value, Value::Chunked(_)) {
            self.notify_chunk_arrival();
        }
        Item { key, value, position, version }
    }

    /// Updates the mirror, and wakes queries that wait for updates.
    pub(crate) fn apply(&self, change: impl FnOnce(&mut Mirror) -> Change) -> Change {
        let mut mirror = self.mirror();
        let change = change(&mut mirror);
        let at = mirror.position();
        drop(mirror);
        for item in &change.items {
            if let Value::Chunked(manifest) = &item.value {
                self.lock_chunks().register(&item.key, item.rank(), manifest);
            }
        }
        self.position.send_replace(at);
        change
    }

    /// Reassembles the record of an item, unless chunks of it are missing.
    pub(crate) fn assemble_record(&self, item: &Item) -> Option<Record> {
        let value = match &item.value {
            Value::Deleted => None,
            Value::Inline(value) => Some(value.clone()),
            Value::Chunked(manifest) => Some(self.lock_chunks().assemble(manifest)?),
        };
        let Item { position, version, .. } = *item;
        Some(Record { key: Name::clone(&item.key), value, position, version })
    }

    /// Records that all chunks of an item are stored.
    pub(crate) fn mark_complete(&self, item: &Item) {
        let Value::Chunked(manifest) = &item.value else { return };
        self.lock_chunks().register(&item.key, item.rank(), manifest);
        let mut complete = self.complete.lock().unwrap_or_else(PoisonError::into_inner);
        if complete.get(&item.key).is_none_or(|known| known.rank() < item.rank()) {
            complete.insert(Name::clone(&item.key), item.clone());
        }
    }

    /// Returns the newest complete item of a key with a large value.
    pub(crate) fn complete_item(&self, key: &str) -> Option<Item> {
        self.complete.lock().unwrap_or_else(PoisonError::into_inner).get(key).cloned()
    }

    /// Records the member that sent the last updates.
    pub(crate) fn set_last_sender(&self, ip: Ipv4Addr) {
        *self.last_sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(ip);
    }

    /// Returns the member that sent the last updates, if any came from a member.
    pub(crate) fn last_sender(&self) -> Option<Ipv4Addr> {
        *self.last_sender.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the chunks of a manifest until [`FeedState::unpin`].
    pub(crate) fn pin(&self, manifest: &Manifest) {
        self.lock_chunks().pin(manifest);
    }

    /// Releases a pinned manifest.
    pub(crate) fn unpin(&self, manifest: &Manifest) {
        self.lock_chunks().unpin(manifest);
    }

    /// Queues an item whose chunks are missing, in place of an older one of its key.
    pub(crate) fn add_pending(&self, item: Item) {
        if self.lock_pending().insert(item) {
            self.fetch_requested.notify_one();
        }
    }

    /// Waits for a pending item, and starts its fetch. Its chunks are pinned until the fetch
    /// finishes.
    pub(crate) async fn start_fetch(&self) -> Item {
        loop {
            let next = self.lock_pending().start_next();
            if let Some(item) = next {
                if let Value::Chunked(manifest) = &item.value {
                    self.pin(manifest);
                }
                return item;
            }
            self.fetch_requested.notified().await;
        }
    }

    /// Ends the fetch of an item.
    pub(crate) fn finish_fetch(&self, item: &Item) {
        self.lock_pending().finish();
        if let Value::Chunked(manifest) = &item.value {
            self.unpin(manifest);
        }
    }

    /// Returns whether the fetch in progress is for this item.
    pub(crate) fn is_fetch_in_progress(&self, item: &Item) -> bool {
        self.lock_pending().is_in_progress(item)
    }

    /// Returns the pending item of a key, if any.
    pub(crate) fn pending_item(&self, key: &Name) -> Option<Item> {
        self.lock_pending().get(key).cloned()
    }

    /// Drops pending items of a key up to the given rank.
    pub(crate) fn remove_pending(&self, key: &Name, rank: Rank) {
        self.lock_pending().remove_up_to(key, rank);
    }

    /// Lists the chunks of a manifest that are not stored.
    pub(crate) fn missing_chunks(&self, manifest: &Manifest) -> Vec<u64> {
        self.lock_chunks().missing(manifest)
    }

    /// Stores chunks, and returns whether any of them is referenced.
    pub(crate) fn insert_chunks(&self, bodies: &[Vec<u8>]) -> bool {
        let mut chunks = self.lock_chunks();
        // Every chunk must be inserted, so this must not stop at the first one that is referenced.
        let taken = bodies.iter().filter(|body| chunks.insert(body)).count();
        drop(chunks);
        if taken > 0 {
            self.notify_chunk_arrival();
        }
        taken > 0
    }

    fn notify_chunk_arrival(&self) {
        self.chunk_arrivals.send_modify(|count| *count += 1);
    }

    fn add_bytes_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn lock_chunks(&self) -> MutexGuard<'_, Chunks> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_pending(&self) -> MutexGuard<'_, PendingFetches> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
