//! A model of searchers that serve one region: shards with slots and service times.
//!
//! Each request queries all shards and is covered when `fewest` of them have answered. It ends when
//! all have answered, at its target if it is covered by then, or else at its coverage or deadline;
//! its unstarted work is then dropped. Requests arrive at random from three zones. Service times
//! are exponential around their mean, with a constant half.

pub mod coordinated;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use bergamot_admission::{Demand, Outcome};
use bergamot_base::Seed;
use rand::RngExt;
use rand::rngs::StdRng;

/// The round trip between a member and the searchers, in seconds.
const TRIP: f64 = 0.004;

/// The searchers and the requests.
pub struct Load {
    /// The slots of each shard.
    pub slots: Vec<usize>,
    /// The shards that a request needs.
    pub fewest: usize,
    /// The mean service time in seconds, at a time and an occupied part of the slots.
    pub work: fn(f64, f64) -> f64,
    /// The requests per second at a time.
    pub rate: Box<dyn Fn(f64) -> f64>,
    pub target: Duration,
    /// The priorities, with the part of the requests that has each.
    pub priorities: Vec<(u32, f64)>,
    pub seconds: f64,
}

/// Decides which requests run. The second value of a change is whether the request runs.
pub trait Gate {
    fn request(&mut self, now: Instant, id: usize, demand: Demand) -> Vec<(usize, bool)>;
    fn answer(&mut self, now: Instant, id: usize, shard: usize);
    fn complete(&mut self, now: Instant, id: usize, outcome: Outcome) -> Vec<(usize, bool)>;
    fn end(&mut self, _now: Instant, _id: usize) {}
    fn tick(&mut self, now: Instant) -> Vec<(usize, bool)>;
}

/// One request. Times are in seconds since the start.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub arrived: f64,
    pub priority: u32,
    pub granted: Option<f64>,
    pub refused: Option<f64>,
    pub covered: Option<f64>,
    answers: usize,
    ended: bool,
}

impl Request {
    /// Returns whether the request was answered within a target.
    pub fn in_time(&self, target: Duration) -> bool {
        self.covered.is_some_and(|covered| covered - self.arrived <= target.as_secs_f64())
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Tick,
    Done(usize, usize),
    Target(usize),
    Deadline(usize),
}

struct Model<'a> {
    load: &'a Load,
    gate: &'a mut dyn Gate,
    start: Instant,
    now: f64,
    draws: StdRng,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    sequence: usize,
    shards: Vec<(usize, VecDeque<usize>)>,
    requests: Vec<Request>,
}

/// Plays a load and returns its requests.
pub fn play(load: &Load, gate: &mut dyn Gate, seed: u64) -> Vec<Request> {
    let mut model = Model {
        load,
        gate,
        start: Instant::now(),
        now: 0.0,
        draws: Seed(seed).generator("model"),
        events: BinaryHeap::new(),
        sequence: 0,
        shards: vec![(0, VecDeque::new()); load.slots.len()],
        requests: Vec::new(),
    };
    model.schedule(0.0, Event::Arrive);
    model.schedule(0.0, Event::Tick);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at.as_secs_f64();
        if model.now > load.seconds {
            break;
        }
        model.handle(event);
    }
    model.requests
}

impl Model<'_> {
    fn schedule(&mut self, after: f64, event: Event) {
        self.sequence += 1;
        let at = Duration::from_secs_f64(self.now + after);
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.draws.random::<f64>()).ln()
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => {
                let changes = self.gate.tick(self.at());
                self.apply(changes);
                self.schedule(0.01, Event::Tick);
            }
            Event::Done(id, shard) => self.finish_work(id, shard),
            Event::Target(id) if self.requests[id].covered.is_some() => self.end(id),
            Event::Target(_) => (),
            Event::Deadline(id) => self.end(id),
        }
    }

    fn arrive(&mut self) {
        let rate = (self.load.rate)(self.now);
        let gap = self.exponential() / rate;
        self.schedule(gap, Event::Arrive);
        let mut draw = self.draws.random::<f64>();
        let priority = self.load.priorities.iter().find(|(_, part)| {
            draw -= part;
            draw < 0.0
        });
        let priority = priority.map_or(self.load.priorities[0].0, |(priority, _)| *priority);
        let (id, arrived) = (self.requests.len(), self.now);
        let (granted, refused, covered) = (None, None, None);
        let (answers, ended) = (0, false);
        self.requests.push(Request {
            arrived,
            priority,
            granted,
            refused,
            covered,
            answers,
            ended,
        });
        let target = self.load.target;
        self.schedule(target.as_secs_f64(), Event::Target(id));
        self.schedule(target.as_secs_f64() * 4.0, Event::Deadline(id));
        let mut slots = self.load.slots.clone();
        slots.sort_unstable();
        let slots = slots[slots.len() - self.load.fewest];
        let origin = ["a", "b", "c"][self.draws.random_range(0..3)].into();
        let demand = Demand { priority, origin, target, deadline: target * 4, slots };
        let changes = self.gate.request(self.at(), id, demand);
        self.apply(changes);
    }

    fn apply(&mut self, changes: Vec<(usize, bool)>) {
        for (id, runs) in changes {
            if !runs {
                self.requests[id].refused = Some(self.now);
                self.requests[id].ended = true;
                continue;
            }
            self.requests[id].granted = Some(self.now);
            for shard in 0..self.shards.len() {
                self.shards[shard].1.push_back(id);
                self.start_work(shard);
            }
        }
    }

    fn start_work(&mut self, shard: usize) {
        let slots = self.load.slots[shard];
        while self.shards[shard].0 < slots {
            let Some(id) = self.shards[shard].1.pop_front() else {
                return;
            };
            if self.requests[id].ended {
                continue;
            }
            self.shards[shard].0 += 1;
            let work = (self.load.work)(self.now, self.shards[shard].0 as f64 / slots as f64);
            let took = work * (0.5 + 0.5 * self.exponential());
            self.schedule(took, Event::Done(id, shard));
        }
    }

    fn finish_work(&mut self, id: usize, shard: usize) {
        self.shards[shard].0 -= 1;
        self.start_work(shard);
        self.gate.answer(self.at(), id, shard);
        self.requests[id].answers += 1;
        let Request { answers, ended, granted, arrived, .. } = self.requests[id];
        if !ended && answers == self.load.fewest {
            self.requests[id].covered = Some(self.now + TRIP);
            let took = Duration::from_secs_f64(self.now - granted.unwrap_or(0.0) + TRIP);
            let changes = self.gate.complete(self.at(), id, Outcome::Covered(took));
            self.apply(changes);
        }
        let late = self.now > arrived + self.load.target.as_secs_f64();
        if answers == self.shards.len() || (answers >= self.load.fewest && late) {
            self.end(id);
        }
    }

    fn end(&mut self, id: usize) {
        let Request { ended, covered, granted, .. } = self.requests[id];
        self.requests[id].ended = true;
        self.gate.end(self.at(), id);
        if !ended && covered.is_none() && granted.is_some() {
            let changes = self.gate.complete(self.at(), id, Outcome::Ended);
            self.apply(changes);
        }
    }
}
