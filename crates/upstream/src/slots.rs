//! Admission control for one searcher: a fixed number of slots and a queue of waiters,
//! ordered by deadline.
//!
//! A request that can't finish by its deadline is rejected immediately, with an estimate
//! of when a slot will be free. Invariant: no request is admitted while `slots` or more
//! admitted requests have not yet released their slots.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::Deadline;

/// Divisor of the moving average of the service time: a new sample has weight 1 / `SMOOTHING`.
const SMOOTHING: u32 = 8;

/// Mean service time that is assumed before the first sample.
const INITIAL_MEAN: Duration = Duration::from_millis(2);

/// The result of asking for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot was free and now belongs to the request.
    Admitted,
    /// The request was queued until [`Slots::release`] returns its waiter.
    Queued,
    /// The queue is full or the deadline can't be met. Retry after the given time.
    Rejected(Duration),
}

/// The slots of one searcher that this process may use, and the queue for them.
#[derive(Debug)]
pub struct Slots<T> {
    capacity: usize,
    max_queued: usize,
    in_use: usize,
    /// Orders waiters with equal deadlines by arrival.
    sequence: u64,
    queue: BTreeMap<(Deadline, u64), T>,
    mean: Duration,
}

impl<T> Slots<T> {
    /// Creates a queue for the given number of slots with at most `max_queued` waiters.
    pub fn new(slots: usize, max_queued: usize) -> Self {
        let queue = BTreeMap::new();
        Self { capacity: slots, max_queued, in_use: 0, sequence: 0, queue, mean: INITIAL_MEAN }
    }

    /// Changes the number of slots. Requests that were already admitted keep theirs.
    pub fn resize(&mut self, slots: usize) {
        self.capacity = slots;
    }

    /// Returns the number of slots.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of admitted and queued requests.
    pub fn load(&self) -> usize {
        self.in_use + self.queue.len()
    }

    /// Returns the service time that a response shows, if it shows any.
    ///
    /// A request that failed or was cancelled may have ended at once, so the time that it took is
    /// only a lower bound: it raises the mean and never lowers it.
    pub fn sample(&self, took: Duration, is_served: bool) -> Option<Duration> {
        (is_served || took > self.mean).then_some(took)
    }

    /// Admits, queues or rejects a request.
    pub fn acquire(&mut self, now: Instant, deadline: Deadline, waiter: T) -> Admission {
        if self.in_use < self.capacity {
            self.in_use += 1;
            return Admission::Admitted;
        }
        let ahead = self.queue.range(..(deadline, u64::MAX)).count();
        let wait = self.expected_wait(ahead);
        if self.queue.len() >= self.max_queued || wait + self.mean > deadline.remaining(now) {
            return Admission::Rejected(wait.max(Duration::from_millis(1)));
        }
        self.sequence += 1;
        self.queue.insert((deadline, self.sequence), waiter);
        Admission::Queued
    }

    /// Releases a slot and passes it to the waiter with the earliest deadline.
    ///
    /// Waiters whose deadline has passed are dropped, because their requests have already
    /// timed out. `took` is the service time of the finished request, if it was measured.
    pub fn release(&mut self, now: Instant, took: Option<Duration>) -> Option<T> {
        if let Some(took) = took {
            self.mean = (self.mean * (SMOOTHING - 1) + took) / SMOOTHING;
        }
        self.in_use = self.in_use.saturating_sub(1);
        if self.in_use >= self.capacity {
            return None;
        }
        while let Some(((deadline, _), waiter)) = self.queue.pop_first() {
            if !deadline.has_passed(now) {
                self.in_use += 1;
                return Some(waiter);
            }
        }
        None
    }

    /// Removes the waiters that don't wait any more, so that they take no room in the queue.
    pub fn retain(&mut self, is_waiting: impl Fn(&T) -> bool) {
        self.queue.retain(|_, waiter| is_waiting(waiter));
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        self.mean * (ahead + 1) as u32 / self.capacity.max(1) as u32
    }
}

impl<T> fmt::Display for Slots<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = self.mean.as_secs_f64() * 1e3;
        write!(
            f,
            "slots {}/{} queued {} mean {mean:.1} ms",
            self.in_use,
            self.capacity,
            self.queue.len()
        )
    }
}
