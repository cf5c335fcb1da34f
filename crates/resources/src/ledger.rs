//! Which messages are held, and which one goes first when there is no room.
//!
//! Algorithm: a message that grows beyond the bound makes room for itself. First goes the largest of
//! those that have got no byte for a while ([`MemoryLimits::stall`]), then the largest one if it is
//! not smaller than the growing message, and else the growing message itself. Complete messages stay,
//! because their requests may run. Invariants: the sum of all messages never exceeds the bound, nor by
//! more than a quarter of it with those of discarded messages that their holders have yet to free; the
//! last part of the bound is left to small messages ([`MemoryLimits::small_bytes`]), so that one finds
//! room beside any number of large ones; only bytes that were received count, not declared ones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use snafu::Snafu;
use tokio_util::sync::CancellationToken;

/// The part of the bound that is left to small messages.
const SMALL_RESERVE: usize = 8;

/// The part of the bound that discarded messages may take in addition until they are freed.
const DISCARDED_RESERVE: usize = 4;

/// The bounds of a [`Memory`](crate::Memory).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The bound of all messages, in bytes.
    pub bytes: usize,
    /// The largest message that may use the whole bound, in bytes. Larger ones leave an eighth of it
    /// to these.
    pub small_bytes: usize,
    /// The time without a further byte after which an incomplete message goes before others.
    pub stall: Duration,
}

impl Default for MemoryLimits {
    fn default() -> Self {
        // Four answers of the largest size, and a quarter of a machine of 260 MB.
        Self { bytes: 64 << 20, small_bytes: 16 << 10, stall: Duration::from_secs(1) }
    }
}

impl MemoryLimits {
    /// Returns the bound for a message of some size.
    fn bound(&self, size: usize) -> usize {
        if size <= self.small_bytes { self.bytes } else { self.bytes - self.bytes / SMALL_RESERVE }
    }
}

/// Why a message was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was the largest of those that got no byte for a while.
    Stalled,
    /// It was the largest one.
    Largest,
    /// It found no room.
    NoRoom,
}

impl Cause {
    /// Returns the name in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Largest => "largest",
            Self::NoRoom => "no_room",
        }
    }
}

/// The memory was exhausted, and this message was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the memory of all messages is exhausted ({}): {bytes} bytes of this one, {held} of {limit} held",
    cause.label()
))]
pub struct Exhausted {
    /// Why this one.
    pub cause: Cause,
    /// The bytes of this message, in memory, with those for which it found no room.
    pub bytes: usize,
    /// The bytes of all messages at that time.
    pub held: usize,
    /// The bound of all messages, in bytes.
    pub limit: usize,
}

/// The counters of a [`Memory`](crate::Memory).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes held by messages, complete or not.
    pub held: usize,
    /// The maximum of `held` so far.
    pub peak: usize,
    /// How many messages were discarded because the memory was exhausted.
    pub discarded: u64,
}

/// A message that is not complete.
#[derive(Debug)]
struct Message {
    buffer: Vec<u8>,
    /// Bytes that are held elsewhere.
    reserved: usize,
    /// Cancelled when it is discarded, so that its holder frees these bytes.
    close: Option<CancellationToken>,
    /// When its last byte came.
    progressed: Instant,
    /// Why it holds nothing any more, if it was discarded.
    discarded: Option<Exhausted>,
}

impl Message {
    fn size(&self) -> usize {
        self.buffer.capacity() + self.reserved
    }
}

/// The incomplete messages and the sum of all, by the time that its caller states.
#[derive(Debug, Default)]
pub struct Ledger {
    limits: MemoryLimits,
    usage: Usage,
    /// Bytes held elsewhere of discarded messages that their holders have yet to free.
    discarded: usize,
    next: u64,
    incomplete: BTreeMap<u64, Message>,
}

impl Ledger {
    /// Creates a ledger without messages.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the counters.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Begins a message and returns its number. `close` is cancelled when it is discarded.
    pub fn begin(&mut self, now: Instant, close: Option<CancellationToken>) -> u64 {
        let id = self.next;
        self.next += 1;
        let (buffer, reserved, discarded) = (Vec::new(), 0, None);
        let message = Message { buffer, reserved, close, progressed: now, discarded };
        self.incomplete.insert(id, message);
        id
    }

    /// Returns the number of bytes of a message.
    pub fn len(&self, id: u64) -> usize {
        self.incomplete.get(&id).map_or(0, |message| message.buffer.len())
    }

    /// Returns why a message was discarded, if it was.
    pub fn discarded(&self, id: u64) -> Option<Exhausted> {
        self.incomplete.get(&id)?.discarded
    }

    /// Appends bytes to a message, which will have at most `expected` bytes.
    pub fn append(
        &mut self,
        now: Instant,
        id: u64,
        bytes: &[u8],
        expected: usize,
    ) -> Result<(), Exhausted> {
        let message = self.message(id, now)?;
        let (length, capacity) = (message.buffer.len() + bytes.len(), message.buffer.capacity());
        if length > capacity {
            let wanted = length.max(expected.min(capacity * 2));
            let size = message.size() - capacity + wanted;
            self.make_room(now, id, size)?;
            let message = self.message(id, now)?;
            message.buffer.reserve_exact(wanted - message.buffer.len());
            let grown = message.buffer.capacity() - capacity;
            self.add(grown);
        }
        self.message(id, now)?.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Sets the bytes that a message holds elsewhere.
    pub fn reserve(&mut self, now: Instant, id: u64, bytes: usize) -> Result<(), Exhausted> {
        let message = self.message(id, now)?;
        let (size, reserved) = (message.buffer.capacity() + bytes, message.reserved);
        if bytes > reserved {
            self.make_room(now, id, size)?;
        }
        self.message(id, now)?.reserved = bytes;
        self.usage.held -= reserved;
        self.add(bytes);
        Ok(())
    }

    /// Ends a message as an incomplete one and returns its buffer and the bytes held elsewhere, which
    /// no longer count.
    pub fn take(&mut self, id: u64) -> Result<(Vec<u8>, usize), Exhausted> {
        let Some(message) = self.incomplete.remove(&id) else { return Ok((Vec::new(), 0)) };
        if let Some(discarded) = message.discarded {
            self.discarded -= message.reserved;
            return Err(discarded);
        }
        self.usage.held -= message.size();
        Ok((message.buffer, message.reserved))
    }

    /// Adds bytes that are not discarded, if there is room.
    pub fn hold(&mut self, now: Instant, bytes: usize) -> Result<(), Exhausted> {
        let id = self.begin(now, None);
        self.reserve(now, id, bytes)?;
        let (_, bytes) = self.take(id)?;
        self.add(bytes);
        Ok(())
    }

    /// Adds bytes that are known to have room.
    pub fn add(&mut self, bytes: usize) {
        self.usage.held += bytes;
        self.usage.peak = self.usage.peak.max(self.usage.held + self.discarded);
    }

    /// Subtracts bytes that are no longer held.
    pub fn subtract(&mut self, bytes: usize) {
        self.usage.held -= bytes;
    }

    /// Returns a message that gets bytes now.
    fn message(&mut self, id: u64, now: Instant) -> Result<&mut Message, Exhausted> {
        let limit = self.limits.bytes;
        let gone = Exhausted { cause: Cause::NoRoom, bytes: 0, held: self.usage.held, limit };
        let message = self.incomplete.get_mut(&id).ok_or(gone)?;
        if let Some(discarded) = message.discarded {
            return Err(discarded);
        }
        message.progressed = now;
        Ok(message)
    }

    /// Discards messages until one has room to grow to `size` bytes.
    fn make_room(&mut self, now: Instant, id: u64, size: usize) -> Result<(), Exhausted> {
        let current = self.incomplete.get(&id).map_or(0, Message::size);
        while self.usage.held - current + size > self.limits.bound(size) {
            let Some((other, cause)) = self.first_to_go(now, id, size) else {
                return Err(self.discard(id, Cause::NoRoom, size));
            };
            let bytes = self.incomplete.get(&other).map_or(0, Message::size);
            self.discard(other, cause, bytes);
        }
        let most = self.limits.bytes + self.limits.bytes / DISCARDED_RESERVE;
        if self.usage.held - current + size + self.discarded > most {
            return Err(self.discard(id, Cause::NoRoom, size));
        }
        Ok(())
    }

    /// Returns the message that makes room for another one of `size` bytes, if one does.
    fn first_to_go(&self, now: Instant, id: u64, size: usize) -> Option<(u64, Cause)> {
        let others = || {
            let sizes = self.incomplete.iter().map(|(other, message)| (*other, message));
            sizes.filter(|(other, message)| {
                *other != id && message.size() > 0 && message.discarded.is_none()
            })
        };
        let is_stalled = |message: &Message| {
            now.saturating_duration_since(message.progressed) >= self.limits.stall
                && message.size() >= size.min(self.limits.small_bytes)
        };
        let stalled = others().filter(|(_, message)| is_stalled(message));
        if let Some((other, _)) = stalled.max_by_key(|(_, message)| message.size()) {
            return Some((other, Cause::Stalled));
        }
        let (other, largest) = others().max_by_key(|(_, message)| message.size())?;
        (largest.size() >= size).then_some((other, Cause::Largest))
    }

    /// Frees what a message holds, and records why.
    fn discard(&mut self, id: u64, cause: Cause, bytes: usize) -> Exhausted {
        let (held, limit) = (self.usage.held, self.limits.bytes);
        let exhausted = Exhausted { cause, bytes, held, limit };
        if let Some(message) = self.incomplete.get_mut(&id) {
            self.usage.held -= message.size();
            self.discarded += message.reserved;
            message.buffer = Vec::new();
            message.discarded = Some(exhausted);
            if let Some(close) = &message.close {
                close.cancel();
            }
            self.usage.discarded += 1;
        }
        exhausted
    }
}
