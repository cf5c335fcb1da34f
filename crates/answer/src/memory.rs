//! The memory of all answers in progress in a process.
//!
//! Invariant: what all answers hold never exceeds the limit. When an answer grows beyond it, the
//! largest incomplete one is discarded, which may be the growing one itself: a searcher that sends
//! without end takes no room from answers of ordinary size. A complete answer counts until its
//! last reference is dropped.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use snafu::Snafu;

/// The memory was exhausted, and this answer was the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the memory of all answers in progress is exhausted"))]
pub struct Exhausted;

/// The counters of a [`Memory`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes held by answers, complete or not.
    pub held: usize,
    /// The maximum of `held` so far.
    pub peak: usize,
    /// How many answers were discarded because the memory was exhausted.
    pub discarded: u64,
}

/// The incomplete answers and the sum of all.
#[derive(Debug, Default)]
struct Ledger {
    usage: Usage,
    next: u64,
    incomplete: BTreeMap<u64, Vec<u8>>,
}

impl Ledger {
    fn add(&mut self, bytes: usize) {
        self.usage.held += bytes;
        self.usage.peak = self.usage.peak.max(self.usage.held);
    }

    /// Removes an incomplete answer and frees its memory.
    fn remove(&mut self, id: u64) -> Option<Vec<u8>> {
        let buffer = self.incomplete.remove(&id)?;
        self.usage.held -= buffer.capacity();
        Some(buffer)
    }

    fn discard(&mut self, id: u64) {
        if self.remove(id).is_some() {
            self.usage.discarded += 1;
        }
    }

    fn largest(&self) -> Option<(u64, usize)> {
        let sizes = self.incomplete.iter().map(|(id, buffer)| (*id, buffer.capacity()));
        sizes.max_by_key(|(_, size)| *size)
    }

    fn append(&mut self, id: u64, bytes: &[u8], limit: usize) -> Result<(), Exhausted> {
        let buffer = self.incomplete.get(&id).ok_or(Exhausted)?;
        let (length, capacity) = (buffer.len() + bytes.len(), buffer.capacity());
        let wanted = if length > capacity { length.max(capacity * 2) } else { capacity };
        while self.usage.held - capacity + wanted > limit {
            match self.largest() {
                Some((largest, size)) if largest != id && size >= wanted => self.discard(largest),
                _ => {
                    self.discard(id);
                    return Err(Exhausted);
                }
            }
        }
        let buffer = self.incomplete.get_mut(&id).ok_or(Exhausted)?;
        buffer.reserve_exact(wanted - buffer.len());
        buffer.extend_from_slice(bytes);
        let grown = buffer.capacity() - capacity;
        self.add(grown);
        Ok(())
    }
}

/// Bounds the memory of all answers in progress.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    ledger: Mutex<Ledger>,
}

/// Sixty-four mebibytes: four answers of the largest size, and a quarter of a machine of 260 MB.
const DEFAULT_LIMIT: usize = 64 << 20;

impl Default for Memory {
    fn default() -> Self {
        Self { limit: DEFAULT_LIMIT, ledger: Mutex::default() }
    }
}

impl Memory {
    /// Creates a bound of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, ..Self::default() })
    }

    /// Returns the counters.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Returns the bound, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Begins an answer.
    pub fn begin(self: &Arc<Self>) -> Buffer {
        let mut ledger = self.lock();
        let id = ledger.next;
        ledger.next += 1;
        ledger.incomplete.insert(id, Vec::new());
        Buffer { memory: Arc::clone(self), id }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An incomplete answer. Its memory is freed on drop.
#[derive(Debug)]
pub struct Buffer {
    memory: Arc<Memory>,
    id: u64,
}

impl Buffer {
    /// Appends bytes; fails if the answer was discarded.
    pub fn append(&self, bytes: &[u8]) -> Result<(), Exhausted> {
        self.memory.lock().append(self.id, bytes, self.memory.limit)
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.memory.lock().incomplete.get(&self.id).map_or(0, Vec::len)
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Completes the answer. Its bytes count until the last reference to them is dropped.
    pub fn finish(self) -> Result<Bytes, Exhausted> {
        let mut ledger = self.memory.lock();
        let mut bytes = ledger.remove(self.id).ok_or(Exhausted)?;
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        bytes.shrink_to_fit();
        ledger.add(bytes.capacity());
        drop(ledger);
        Ok(Bytes::from_owner(Complete { memory: Arc::clone(&self.memory), bytes }))
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.memory.lock().remove(self.id);
    }
}

/// A complete answer.
struct Complete {
    memory: Arc<Memory>,
    bytes: Vec<u8>,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Complete {
    fn drop(&mut self) {
        self.memory.lock().usage.held -= self.bytes.capacity();
    }
}
