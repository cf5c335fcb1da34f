//! The memory of all messages of one kind in a process, with the bytes themselves.
//!
//! The [`Ledger`] decides; here its decisions are shared among tasks. A message that was discarded
//! frees its bytes at once, and its reader learns it at once, also while no byte comes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::ledger::{Exhausted, Ledger, MemoryLimits, Usage};

/// Bounds the memory of all messages of one kind.
#[derive(Debug)]
pub struct Memory {
    limits: MemoryLimits,
    ledger: Mutex<Ledger>,
    /// Notified when a message was discarded.
    discarded: Notify,
}

impl Default for Memory {
    fn default() -> Self {
        Self::with_limits(MemoryLimits::default())
    }
}

impl Memory {
    /// Creates a bound of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self::with_limits(MemoryLimits { bytes: limit, ..MemoryLimits::default() }))
    }

    /// Creates a memory with its bounds.
    pub fn with_limits(limits: MemoryLimits) -> Self {
        Self { limits, ledger: Mutex::new(Ledger::new(limits)), discarded: Notify::new() }
    }

    /// Returns the counters.
    pub fn usage(&self) -> Usage {
        self.lock().usage()
    }

    /// Returns the bound, in bytes.
    pub fn limit(&self) -> usize {
        self.limits.bytes
    }

    /// Begins a message of unknown length.
    pub fn begin(self: &Arc<Self>) -> Buffer {
        self.begin_within(usize::MAX)
    }

    /// Begins a message of at most `expected` bytes, none of which count before they are received.
    pub fn begin_within(self: &Arc<Self>, expected: usize) -> Buffer {
        Buffer { entry: self.entry(None), expected }
    }

    /// Begins a message whose bytes are held elsewhere. `close` is cancelled when it is discarded;
    /// whoever holds the bytes then frees them and drops the reservation.
    pub fn reservation(self: &Arc<Self>, close: CancellationToken) -> Reservation {
        Reservation { entry: self.entry(Some(close)) }
    }

    /// Adds bytes of a complete message that are held elsewhere, if there is room.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Result<Hold, Exhausted> {
        if bytes == 0 {
            return Ok(Hold { memory: Arc::clone(self), bytes });
        }
        self.decide(|ledger, now| ledger.hold(now, bytes))?;
        Ok(Hold { memory: Arc::clone(self), bytes })
    }

    /// Counts the bytes of a complete message until the last reference to them is dropped, if there is
    /// room.
    pub fn complete(self: &Arc<Self>, bytes: Vec<u8>) -> Result<Bytes, Exhausted> {
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let hold = self.hold(bytes.capacity())?;
        Ok(Bytes::from_owner(Complete { bytes, _hold: hold }))
    }

    fn entry(self: &Arc<Self>, close: Option<CancellationToken>) -> Entry {
        let id = self.lock().begin(Instant::now(), close);
        Entry { memory: Arc::clone(self), id }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a decision, and notifies the readers of messages that were discarded by it.
    fn decide<T>(&self, decide: impl FnOnce(&mut Ledger, Instant) -> T) -> T {
        let mut ledger = self.lock();
        let before = ledger.usage().discarded;
        let result = decide(&mut ledger, Instant::now());
        let is_discarded = ledger.usage().discarded != before;
        drop(ledger);
        if is_discarded {
            self.discarded.notify_waiters();
        }
        result
    }
}

/// The place of an incomplete message in the ledger, which is freed on drop.
#[derive(Debug)]
struct Entry {
    memory: Arc<Memory>,
    id: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Whoever asked learned why it was discarded.
        drop(self.memory.lock().take(self.id));
    }
}

/// An incomplete message. Its memory is freed on drop.
#[derive(Debug)]
pub struct Buffer {
    entry: Entry,
    expected: usize,
}

impl Buffer {
    /// Appends bytes; fails if the message was discarded.
    pub fn append(&self, bytes: &[u8]) -> Result<(), Exhausted> {
        let Entry { memory, id } = &self.entry;
        memory.decide(|ledger, now| ledger.append(now, *id, bytes, self.expected))
    }

    /// Sets the number of bytes that the message holds elsewhere; fails if it was discarded.
    pub fn reserve(&self, bytes: usize) -> Result<(), Exhausted> {
        let Entry { memory, id } = &self.entry;
        memory.decide(|ledger, now| ledger.reserve(now, *id, bytes))
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.entry.memory.lock().len(self.entry.id)
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the message is discarded.
    pub async fn discarded(&self) -> Exhausted {
        let Entry { memory, id } = &self.entry;
        loop {
            let mut notified = std::pin::pin!(memory.discarded.notified());
            notified.as_mut().enable();
            if let Some(exhausted) = memory.lock().discarded(*id) {
                return exhausted;
            }
            notified.await;
        }
    }

    /// Completes the message. Its bytes count until the last reference to them is dropped.
    pub fn finish(self) -> Result<Bytes, Exhausted> {
        let Entry { memory, id } = &self.entry;
        let mut ledger = memory.lock();
        let (mut bytes, reserved) = ledger.take(*id)?;
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        bytes.shrink_to_fit();
        let held = bytes.capacity() + reserved;
        ledger.add(held);
        drop(ledger);
        let hold = Hold { memory: Arc::clone(memory), bytes: held };
        Ok(Bytes::from_owner(Complete { bytes, _hold: hold }))
    }
}

/// An incomplete message whose bytes are held elsewhere. They no longer count after its drop.
#[derive(Debug)]
pub struct Reservation {
    entry: Entry,
}

impl Reservation {
    /// Sets the number of bytes; fails if the message was discarded.
    pub fn set(&self, bytes: usize) -> Result<(), Exhausted> {
        let Entry { memory, id } = &self.entry;
        memory.decide(|ledger, now| ledger.reserve(now, *id, bytes))
    }
}

/// Bytes of a complete message, which count until the drop.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.lock().subtract(self.bytes);
        }
    }
}

/// A complete message.
struct Complete {
    bytes: Vec<u8>,
    _hold: Hold,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
