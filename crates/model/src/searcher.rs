//! A searcher: slots, a queue, a speed and pauses.

use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::load::{Load, Pauses};
use crate::world::{Micros, micros};

/// The number of an attempt.
pub(crate) type Attempt = usize;

/// What becomes of an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It runs, and ends at this moment.
    Runs(Micros),
    /// It waits in the queue.
    Waits,
    /// It is refused.
    Refused,
}

/// A searcher.
#[derive(Debug)]
pub(crate) struct Searcher {
    slots: usize,
    longest: usize,
    speed: f64,
    pub(crate) region: usize,
    /// The beginnings of its pauses, in order.
    pauses: Vec<Micros>,
    length: Micros,
    running: Vec<Attempt>,
    waiting: VecDeque<(Attempt, Micros)>,
    /// From when to when it refuses every connection.
    crashed: Option<(Micros, Micros)>,
}

impl Searcher {
    /// Makes the searcher of a number, with pauses that are drawn for it.
    pub(crate) fn new(load: &Load, number: usize, region: usize, rng: &mut StdRng) -> Self {
        let lasts = micros(load.lasts) * 2;
        let (pauses, length) = match load.pauses {
            Pauses::Never => (Vec::new(), 0),
            Pauses::Recurring { every, length } => {
                let every = micros(every);
                let phase = rng.random_range(0..every);
                ((0..lasts / every).map(|turn| phase + turn * every).collect(), micros(length))
            }
            Pauses::Random { every, length } => {
                (random(micros(every), micros(length), lasts, rng), micros(length))
            }
        };
        let crashed = load.crash.filter(|crash| rng.random_range(0..100) < crash.percent);
        Self {
            slots: load.slots,
            longest: load.queue,
            speed: load.speeds[number % load.speeds.len()],
            region,
            pauses,
            length,
            running: Vec::new(),
            waiting: VecDeque::new(),
            crashed: crashed.map(|crash| (micros(crash.at), micros(crash.at + crash.lasts))),
        }
    }

    /// Tells whether it refuses every connection.
    pub(crate) fn is_crashed(&self, now: Micros) -> bool {
        self.crashed.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Tells whether it pauses at some time between two moments.
    pub(crate) fn pauses_within(&self, from: Micros, until: Micros) -> bool {
        let next = self.pauses.partition_point(|begin| begin + self.length <= from);
        self.pauses.get(next).is_some_and(|begin| *begin < until)
    }

    /// Takes an attempt with so much work for a searcher of ordinary speed.
    pub(crate) fn arrive(&mut self, attempt: Attempt, work: Micros, now: Micros) -> Arrival {
        let work = (work as f64 * self.speed) as Micros;
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Arrival::Runs(self.finish(now, work));
        }
        if self.waiting.len() >= self.longest {
            return Arrival::Refused;
        }
        self.waiting.push_back((attempt, work));
        Arrival::Waits
    }

    /// Ends an attempt, done or cut; returns the one that runs in its place, and until when.
    pub(crate) fn leave(&mut self, attempt: Attempt, now: Micros) -> Option<(Attempt, Micros)> {
        self.waiting.retain(|(waiting, _)| *waiting != attempt);
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        if self.running.len() == before {
            return None;
        }
        let (next, work) = self.waiting.pop_front()?;
        self.running.push(next);
        Some((next, self.finish(now, work)))
    }

    /// Tells whether an attempt runs.
    pub(crate) fn runs(&self, attempt: Attempt) -> bool {
        self.running.contains(&attempt)
    }

    /// Returns when work that begins now ends, with the pauses that come in between.
    fn finish(&self, now: Micros, work: Micros) -> Micros {
        let mut end = now + work;
        let next = self.pauses.partition_point(|begin| begin + self.length <= now);
        for begin in &self.pauses[next..] {
            if *begin >= end {
                break;
            }
            end += begin + self.length - now.max(*begin);
        }
        end
    }
}

/// Draws pauses that don't overlap, so often on average.
fn random(every: Micros, length: Micros, lasts: Micros, rng: &mut StdRng) -> Vec<Micros> {
    let mut pauses = Vec::new();
    let mut next = 0;
    while next < lasts {
        let gap = -(every as f64) * rng.random_range(1e-9..1.0_f64).ln();
        next += length + gap as Micros;
        pauses.push(next);
    }
    pauses
}
