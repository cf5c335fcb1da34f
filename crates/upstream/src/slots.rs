//! The queue before a searcher's slots, in the order of deadlines.
//!
//! Work that can't be done by its deadline is refused at once, with the time after
//! which a slot should be free, instead of waiting for nothing. Invariant: at most
//! `slots` waiters have been let through and not yet left.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;

/// The weight of a new sample in the mean service time, as a divisor.
const SMOOTHING: u32 = 8;

/// The mean service time assumed before the first sample.
const FIRST_GUESS: Duration = Duration::from_millis(2);

/// What became of a unit of work at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A slot is free: go.
    Go,
    /// Wait until the waiter is handed back by [`Slots::leave`].
    Wait,
    /// There is no room before the deadline; ask again after the given time.
    Refuse(Duration),
}

/// The slots of one searcher as one home uses them, with its queue of waiters.
#[derive(Debug)]
pub struct Slots<T> {
    width: usize,
    longest: usize,
    busy: usize,
    serial: u64,
    queue: BTreeMap<(Deadline, u64), T>,
    mean: Duration,
}

impl<T> Slots<T> {
    /// Makes the queue for a number of slots and at most `longest` waiters.
    pub fn new(slots: usize, longest: usize) -> Self {
        let queue = BTreeMap::new();
        Self { width: slots, longest, busy: 0, serial: 0, queue, mean: FIRST_GUESS }
    }

    /// Changes the number of slots; work already let through stays.
    pub fn resize(&mut self, slots: usize) {
        self.width = slots;
    }

    /// Returns the number of slots.
    pub fn width(&self) -> usize {
        self.width
    }

    /// Returns how much work is let through or waits.
    pub fn load(&self) -> usize {
        self.busy + self.queue.len()
    }

    /// Lets work through, queues it or refuses it at once.
    pub fn enter(&mut self, now: Instant, deadline: Deadline, waiter: T) -> Entry {
        if self.busy < self.width {
            self.busy += 1;
            return Entry::Go;
        }
        let ahead = self.queue.range(..(deadline, u64::MAX)).count();
        let wait = self.wait(ahead);
        if self.queue.len() >= self.longest || wait + self.mean > deadline.left(now) {
            return Entry::Refuse(wait.max(Duration::from_millis(1)));
        }
        self.serial += 1;
        self.queue.insert((deadline, self.serial), waiter);
        Entry::Wait
    }

    /// Frees a slot and hands it to the waiter with the earliest live deadline.
    ///
    /// Waiters whose deadline has passed are dropped; they have timed out already.
    pub fn leave(&mut self, now: Instant, took: Option<Duration>) -> Option<T> {
        if let Some(took) = took {
            self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
        }
        self.busy = self.busy.saturating_sub(1);
        if self.busy >= self.width {
            return None;
        }
        while let Some(((deadline, _), waiter)) = self.queue.pop_first() {
            if !deadline.passed(now) {
                self.busy += 1;
                return Some(waiter);
            }
        }
        None
    }

    fn wait(&self, ahead: usize) -> Duration {
        self.mean * (ahead + 1) as u32 / self.width.max(1) as u32
    }
}

impl<T> fmt::Display for Slots<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = self.mean.as_secs_f64() * 1e3;
        write!(
            f,
            "slots {}/{} queued {} mean {mean:.1} ms",
            self.busy,
            self.width,
            self.queue.len()
        )
    }
}
