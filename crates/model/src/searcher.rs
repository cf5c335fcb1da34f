//! Simulated searchers with slots, a queue, a speed and pauses.

use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::load::{Load, Pauses};
use crate::simulation::{Micros, micros};

/// The index of an attempt.
pub(crate) type Attempt = usize;

/// How a searcher handles an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It occupies a slot and completes at this time.
    Started(Micros),
    /// It waits in the queue.
    Queued,
    /// The queue is full, or the searcher has crashed.
    Rejected,
}

/// A simulated searcher.
#[derive(Debug)]
pub(crate) struct Searcher {
    slots: usize,
    queue_capacity: usize,
    speed: f64,
    pub(crate) region: usize,
    /// The start times of its pauses, in ascending order.
    pauses: Vec<Micros>,
    pause_length: Micros,
    running: Vec<Attempt>,
    queue: VecDeque<(Attempt, Micros)>,
    /// The start and the end of the time in which it refuses every connection.
    crash_period: Option<(Micros, Micros)>,
}

impl Searcher {
    /// Creates a searcher and generates its pauses and its crash.
    pub(crate) fn new(load: &Load, number: usize, region: usize, rng: &mut StdRng) -> Self {
        let horizon = micros(load.duration) * 2;
        let (pauses, pause_length) = match load.pauses {
            Pauses::Never => (Vec::new(), 0),
            Pauses::Recurring { every, length } => {
                let every = micros(every);
                let phase = rng.random_range(0..every);
                ((0..horizon / every).map(|turn| phase + turn * every).collect(), micros(length))
            }
            Pauses::Random { every, length } => {
                (random_pauses(micros(every), micros(length), horizon, rng), micros(length))
            }
        };
        let crash_period = load.crash.filter(|crash| rng.random_range(0..100) < crash.percent);
        Self {
            slots: load.slots,
            queue_capacity: load.queue_capacity,
            speed: load.service_time_factors[number % load.service_time_factors.len()],
            region,
            pauses,
            pause_length,
            running: Vec::new(),
            queue: VecDeque::new(),
            crash_period: crash_period
                .map(|crash| (micros(crash.at), micros(crash.at + crash.duration))),
        }
    }

    /// Returns whether it refuses every connection.
    pub(crate) fn is_crashed(&self, now: Micros) -> bool {
        self.crash_period.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Returns whether a pause overlaps the interval from `from` to `until`.
    pub(crate) fn pauses_within(&self, from: Micros, until: Micros) -> bool {
        let next = self.pauses.partition_point(|start| start + self.pause_length <= from);
        self.pauses.get(next).is_some_and(|start| *start < until)
    }

    /// Accepts or rejects an attempt whose `work` is given for a searcher with a speed of 1.
    pub(crate) fn arrive(&mut self, attempt: Attempt, work: Micros, now: Micros) -> Arrival {
        let work = (work as f64 * self.speed) as Micros;
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Arrival::Started(self.completion_time(now, work));
        }
        if self.queue.len() >= self.queue_capacity {
            return Arrival::Rejected;
        }
        self.queue.push_back((attempt, work));
        Arrival::Queued
    }

    /// Removes a completed or cancelled attempt. Returns the attempt that takes its slot, with
    /// its completion time.
    pub(crate) fn remove_attempt(
        &mut self,
        attempt: Attempt,
        now: Micros,
    ) -> Option<(Attempt, Micros)> {
        self.queue.retain(|(queued, _)| *queued != attempt);
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        if self.running.len() == before {
            return None;
        }
        let (next, work) = self.queue.pop_front()?;
        self.running.push(next);
        Some((next, self.completion_time(now, work)))
    }

    pub(crate) fn is_running(&self, attempt: Attempt) -> bool {
        self.running.contains(&attempt)
    }

    /// Returns when work that starts now completes, including the pauses in between.
    fn completion_time(&self, now: Micros, work: Micros) -> Micros {
        let mut end = now + work;
        let next = self.pauses.partition_point(|start| start + self.pause_length <= now);
        for start in &self.pauses[next..] {
            if *start >= end {
                break;
            }
            end += start + self.pause_length - now.max(*start);
        }
        end
    }
}

/// Generates non-overlapping pauses at random intervals: the time between the end of a pause
/// and the start of the next has the mean `every`.
fn random_pauses(every: Micros, length: Micros, horizon: Micros, rng: &mut StdRng) -> Vec<Micros> {
    let mut pauses = Vec::new();
    let mut next = 0;
    while next < horizon {
        let gap = -(every as f64) * rng.random_range(1e-9..1.0_f64).ln();
        next += length + gap as Micros;
        pauses.push(next);
    }
    pauses
}
