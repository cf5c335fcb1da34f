//! The memory that the heads of requests take.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory of a header beside its bytes, in bytes.
const HEADER_BYTES: usize = 128;

/// The memory for each byte of a head: a buffer that grows is doubled.
const BYTES_FACTOR: usize = 2;

/// The memory of a head up to which it counts as that of its connection, in bytes.
const SMALL_HEAD_BYTES: usize = 16 << 10;

/// The unit in which the copies of heads are counted, in bytes.
const COPY_UNIT: usize = 1 << 10;

/// Returns the memory of a head with so many bytes and headers, beyond that which counts as that of its
/// connection.
pub fn head_memory(bytes: usize, headers: usize) -> usize {
    let memory = bytes * BYTES_FACTOR + headers * HEADER_BYTES;
    if memory > SMALL_HEAD_BYTES { memory } else { 0 }
}

/// Bounds the memory of the copies of large heads that are made for attempts.
///
/// A copy that finds no room waits for it: each is freed as soon as its searcher answers, and a request
/// to many shards must not fail because of its head alone.
#[derive(Clone, Debug)]
pub struct HeadCopies {
    room: Arc<Semaphore>,
    /// The bound, in units.
    limit: u32,
}

impl HeadCopies {
    /// Creates a bound of so many bytes.
    pub fn new(bytes: usize) -> Self {
        let limit = u32::try_from(bytes / COPY_UNIT).unwrap_or(u32::MAX).max(1);
        Self { room: Arc::new(Semaphore::new(limit as usize)), limit }
    }

    /// Returns the bytes that copies hold, and the bound.
    pub fn usage(&self) -> (usize, usize) {
        let limit = self.limit as usize;
        ((limit - self.room.available_permits()) * COPY_UNIT, limit * COPY_UNIT)
    }

    /// Waits until there is room for a copy of a head with this memory. It is free after the drop of what
    /// is returned, which is `None` for heads that take little.
    pub async fn acquire(&self, memory: usize) -> Option<OwnedSemaphorePermit> {
        if memory == 0 {
            return None;
        }
        let units = u32::try_from(memory.div_ceil(COPY_UNIT)).unwrap_or(u32::MAX);
        // A head beyond the bound is copied when there is no other copy.
        Arc::clone(&self.room).acquire_many_owned(units.min(self.limit)).await.ok()
    }
}
