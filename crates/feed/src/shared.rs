//! What the tasks of the feed and the answers to other members share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position};
use bergamot_wire::{Item, Manifest, News, NewsQuery, Rank, Value};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::awaited::Awaited;
use crate::chunk::Chunks;
use crate::clock::now;
use crate::mirror::{Change, Mirror};
use crate::source::Record;

/// How old a member's knowledge may be for it to be relied on: a watch at the store, and some
/// time for its answer.
pub(crate) const STALE: Duration = Duration::from_millis(1500);

/// From how many bytes on an exchange is logged: what takes 10 ms or more on the slowest links
/// (14 Mbit/s), and far above the few hundred bytes of a searcher's entry.
pub(crate) const LARGE: usize = 16 << 10;

/// The largest answer to another member, in bytes.
///
/// An answer is lost whole if its question has ended meanwhile, and what is sent at once stands
/// before everything else that leaves the machine: 10 ms on a link of 14 Mbit/s.
const LARGEST_ANSWER: usize = 16 << 10;

/// How often a member that answers late because of an incoming answer of the store looks
/// whether it is still coming in.
const LOOK: Duration = Duration::from_millis(50);

/// The state of the feed.
#[derive(Debug)]
pub struct Shared {
    mirror: Mutex<Mirror>,
    chunks: Mutex<Chunks>,
    awaited: Mutex<Awaited>,
    /// The position up to which everything is known.
    changed: watch::Sender<Position>,
    /// How many chunks came in so far.
    arrived: watch::Sender<u64>,
    wanted: Notify,
    /// Whether an answer of the store is coming in.
    pub(crate) arriving: Arc<AtomicBool>,
    sent: AtomicU64,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            mirror: Mutex::default(),
            chunks: Mutex::default(),
            awaited: Mutex::default(),
            changed: watch::Sender::new(Position::default()),
            arrived: watch::Sender::new(0),
            wanted: Notify::new(),
            arriving: Arc::default(),
            sent: AtomicU64::new(0),
        }
    }
}

impl Shared {
    /// Answers a member that asks for news.
    ///
    /// Stale knowledge is no reason to wait: the member must hear of it and ask another. An
    /// answer of the store that is coming in is one, or all would ask the store themselves for
    /// what is on its way to them.
    pub async fn news(&self, query: NewsQuery) -> News {
        let mut changed = self.changed.subscribe();
        let newer = async {
            while !self.lock().has_news(query.after) && changed.changed().await.is_ok() {}
        };
        let age = self.lock().age(now()).unwrap_or(STALE);
        let stale = async {
            sleep(STALE.saturating_sub(age)).await;
            while self.arriving.load(Ordering::Relaxed) {
                sleep(LOOK).await;
            }
        };
        let waiting = async {
            tokio::select! {
                () = newer => {}
                () = stale => {}
            }
        };
        // Without news the answer still says how fresh it is.
        let _elapsed = timeout(query.wait, waiting).await;
        let mut news = self.lock().news(&query, LARGEST_ANSWER, now());
        news.arriving = self.arriving.load(Ordering::Relaxed);
        self.count_sent(news.items.iter().map(Item::size).sum());
        news
    }

    /// Answers a member that asks for chunks with the first of them that are held, waiting for
    /// a time at most until any is.
    pub async fn chunks(&self, hashes: &[u64], wait: Duration) -> Vec<Vec<u8>> {
        let mut arrived = self.arrived.subscribe();
        let held = async {
            loop {
                let first = self.lock_chunks().first(hashes, LARGEST_ANSWER);
                if !first.is_empty() || arrived.changed().await.is_err() {
                    return first;
                }
            }
        };
        let first = timeout(wait, held).await.unwrap_or_default();
        self.count_sent(first.iter().map(Vec::len).sum());
        first
    }

    /// Tells the item of one key, if there is one.
    pub fn item(&self, key: &str) -> Option<Item> {
        let item = self.lock().get(key).cloned();
        self.count_sent(item.as_ref().map_or(0, Item::size));
        item
    }

    /// Tells whether nothing newer can have been published than what is known here.
    pub fn is_fresh(&self) -> bool {
        self.lock().age(now()).is_some_and(|age| age <= STALE)
    }

    /// Returns how many bytes of records this member has sent to others.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns how many bytes of chunks this member holds.
    pub fn held(&self) -> usize {
        self.lock_chunks().size()
    }

    /// Reads the mirror.
    pub fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes what travels of a record, and holds the chunks of a large one.
    pub(crate) fn cut(&self, record: Record) -> Item {
        let rank = record.rank();
        let Record { key, value, position, version } = record;
        let value = match value {
            None => Value::Deleted,
            Some(value) => self.lock_chunks().cut(&key, rank, value),
        };
        if matches!(value, Value::Chunked(_)) {
            self.note_arrival();
        }
        Item { key, value, position, version }
    }

    /// Changes the mirror, and tells those who wait for news.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Mirror) -> Change) -> Change {
        let mut mirror = self.lock();
        let change = change(&mut mirror);
        let at = mirror.at();
        drop(mirror);
        for item in &change.items {
            if let Value::Chunked(manifest) = &item.value {
                self.lock_chunks().want(&item.key, item.rank(), manifest);
            }
        }
        self.changed.send_replace(at);
        change
    }

    /// Puts the record of an item together, unless chunks of it are missing.
    pub(crate) fn record(&self, item: &Item) -> Option<Record> {
        let value = match &item.value {
            Value::Deleted => None,
            Value::Inline(value) => Some(value.clone()),
            Value::Chunked(manifest) => Some(self.lock_chunks().assemble(manifest)?),
        };
        let Item { position, version, .. } = *item;
        Some(Record { key: Name::clone(&item.key), value, position, version })
    }

    /// Notes that an item waits for its chunks, in place of an older one of its key.
    pub(crate) fn await_chunks(&self, item: Item) {
        if self.lock_awaited().add(item) {
            self.wanted.notify_one();
        }
    }

    /// Waits for an item whose chunks are missing, and begins its fetch: its chunks are held
    /// until the fetch ends.
    pub(crate) async fn begin_fetch(&self) -> Item {
        loop {
            let begun = self.lock_awaited().begin();
            if let Some(item) = begun {
                if let Value::Chunked(manifest) = &item.value {
                    self.lock_chunks().pin(manifest);
                }
                return item;
            }
            self.wanted.notified().await;
        }
    }

    /// Ends a fetch.
    pub(crate) fn end_fetch(&self) {
        self.lock_awaited().end();
        self.lock_chunks().unpin();
    }

    /// Tells whether an item is still to be fetched.
    pub(crate) fn is_fetched(&self, item: &Item) -> bool {
        self.lock_awaited().is_fetched(item)
    }

    /// Returns the item of a key that waits for its chunks, if one does.
    pub(crate) fn awaited(&self, key: &Name) -> Option<Item> {
        self.lock_awaited().get(key).cloned()
    }

    /// Notes that an item of a key, or a newer one, needs no chunks any more.
    pub(crate) fn settle(&self, key: &Name, rank: Rank) {
        self.lock_awaited().settle(key, rank);
    }

    /// Lists the chunks of a manifest that are not held.
    pub(crate) fn missing(&self, manifest: &Manifest) -> Vec<u64> {
        self.lock_chunks().missing(manifest)
    }

    /// Takes in chunks, and tells whether any of them was wanted.
    pub(crate) fn take_chunks(&self, bodies: &[Vec<u8>]) -> bool {
        let mut chunks = self.lock_chunks();
        // All are taken in, whether or not the first of them is of use.
        let taken = bodies.iter().filter(|body| chunks.take(body)).count();
        drop(chunks);
        if taken > 0 {
            self.note_arrival();
        }
        taken > 0
    }

    fn note_arrival(&self) {
        self.arrived.send_modify(|count| *count += 1);
    }

    fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn lock_chunks(&self) -> MutexGuard<'_, Chunks> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_awaited(&self) -> MutexGuard<'_, Awaited> {
        self.awaited.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
