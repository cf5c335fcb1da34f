//! A model of the searchers that serve one region, with a coordinator.
//!
//! Each request queries all shards and is covered when `fewest` of them have answered. It ends at its
//! target if it is covered by then, or else at its coverage or deadline; its unstarted work is then
//! dropped. Requests arrive at random from three zones. Service times
//! are exponential around their mean, with a constant half. Times are in seconds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use bergamot_admission::{Changes, Coordinator, Coverage, Decision, Demand, Grant, Outcome, Pool};
use bergamot_base::Seed;
use rand::RngExt;
use rand::rngs::StdRng;

/// The round trip between a member and the searchers.
const TRIP: f64 = 0.004;

/// The searchers and the requests.
pub struct Load {
    /// The slots of each shard.
    pub slots: Vec<usize>,
    /// The shards that a request needs.
    pub fewest: usize,
    /// The mean service time, at a time and an occupied part of the slots.
    pub work: fn(f64, f64) -> f64,
    /// The requests per second at a time.
    pub rate: Box<dyn Fn(f64) -> f64>,
    pub target: Duration,
    /// The part of the requests that has priority 0; the others have priority 1.
    pub urgent: f64,
    pub seconds: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    pub arrived: f64,
    pub priority: u32,
    pub covered: Option<f64>,
    granted: f64,
    answers: usize,
    ended: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Tick,
    Done(usize, usize),
    Covered(usize),
    Timeout(usize),
}

pub struct Model {
    load: Load,
    coordinator: Coordinator,
    start: Instant,
    now: f64,
    draws: StdRng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    /// The occupied slots and the queue of each shard.
    shards: Vec<(usize, VecDeque<usize>)>,
    /// The requests in the order of their arrival, which is that of their grants.
    pub requests: Vec<Request>,
    /// The limit at each tick.
    pub limits: Vec<usize>,
}

impl Model {
    /// Plays a load.
    pub fn play(load: Load, seed: u64) -> Self {
        let mut model = Self {
            coordinator: Coordinator::default(),
            start: Instant::now(),
            now: 0.0,
            draws: Seed(seed).generator("model"),
            events: BinaryHeap::new(),
            shards: vec![(0, VecDeque::new()); load.slots.len()],
            requests: Vec::new(),
            limits: Vec::new(),
            load,
        };
        model.schedule(0.0, Event::Arrive);
        model.schedule(0.0, Event::Tick);
        while model.now < model.load.seconds {
            let Some(Reverse((at, event))) = model.events.pop() else { break };
            model.now = at.as_secs_f64();
            match event {
                Event::Arrive => model.arrive(),
                Event::Tick => model.tick(),
                Event::Done(id, shard) => model.finish_work(id, shard),
                Event::Covered(id) => model.cover(id),
                Event::Timeout(id) => model.time_out(id),
            }
        }
        model
    }

    fn schedule(&mut self, after: f64, event: Event) {
        let at = Duration::from_secs_f64(self.now + after);
        self.events.push(Reverse((at, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.draws.random::<f64>()).ln()
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn tick(&mut self) {
        let changes = self.coordinator.expire(self.at());
        self.apply(&changes);
        self.limits.extend(self.coordinator.status().iter().map(|pool| pool.limit));
        self.schedule(0.01, Event::Tick);
    }

    fn arrive(&mut self) {
        let gap = self.exponential() / (self.load.rate)(self.now);
        self.schedule(gap, Event::Arrive);
        let (id, arrived, target) = (self.requests.len(), self.now, self.load.target);
        let priority = u32::from(self.draws.random::<f64>() >= self.load.urgent);
        self.requests.push(Request { arrived, priority, ..Request::default() });
        self.schedule(target.as_secs_f64(), Event::Timeout(id));
        let mut slots = self.load.slots.clone();
        slots.sort_unstable();
        let slots = slots[slots.len() - self.load.fewest];
        let origin = ["a", "b", "c"][self.draws.random_range(0..3)].into();
        let demand = Demand { priority, origin, target, deadline: target * 4, slots };
        match self.coordinator.request(self.at(), Pool::from_id(1), demand) {
            Decision::Granted(_) => self.run(id),
            Decision::Queued(_) => (),
            Decision::Refused(_) => self.requests[id].ended = true,
        }
    }

    fn apply(&mut self, changes: &Changes) {
        for (grant, _) in &changes.refused {
            self.requests[grant.0 as usize].ended = true;
        }
        for grant in &changes.granted {
            self.run(grant.0 as usize);
        }
    }

    fn run(&mut self, id: usize) {
        self.requests[id].granted = self.now;
        for shard in 0..self.shards.len() {
            self.shards[shard].1.push_back(id);
            self.start_work(shard);
        }
    }

    fn start_work(&mut self, shard: usize) {
        let slots = self.load.slots[shard];
        while self.shards[shard].0 < slots {
            let Some(id) = self.shards[shard].1.pop_front() else { return };
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
        self.requests[id].answers += 1;
        if self.requests[id].answers == self.load.fewest {
            self.schedule(TRIP, Event::Covered(id));
        }
    }

    fn cover(&mut self, id: usize) {
        let Request { arrived, granted, ended, .. } = self.requests[id];
        if !ended {
            self.requests[id].covered = Some(self.now);
            self.requests[id].ended = self.now > arrived + self.load.target.as_secs_f64();
            let took = Duration::from_secs_f64(self.now - granted);
            self.complete(id, Outcome::Covered(Coverage { took, is_congested: true }));
        }
    }

    /// Ends a request at its target if it is covered, and at four times its target in any case.
    fn time_out(&mut self, id: usize) {
        let Request { arrived, covered, ended, .. } = self.requests[id];
        let target = self.load.target.as_secs_f64();
        if covered.is_some() || ended {
            self.requests[id].ended = true;
        } else if self.now > arrived + target * 3.0 {
            self.requests[id].ended = true;
            self.complete(id, Outcome::Ended);
        } else {
            self.schedule(target * 3.0, Event::Timeout(id));
        }
    }

    fn complete(&mut self, id: usize, outcome: Outcome) {
        let changes = self.coordinator.complete(self.at(), Grant(id as u64), outcome);
        self.apply(&changes);
    }
}
