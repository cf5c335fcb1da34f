//! The run of a load: requests, attempts and their events in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_declaration::{Gather, Idempotency, Route, Target};
use bergamot_dispatch::{AttemptPriority, Distance, GatherDecision, Tally};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::load::{Load, Stream};
use crate::member::{Member, distance};
use crate::report::{Outcome, Report};
use crate::searcher::{Arrival, Searcher};

/// A moment or a length of time, in microseconds.
pub(crate) type Micros = u64;

/// How far the work of ordinary requests varies around its mean, as a part of it.
const VARIES: f64 = 0.5;

/// One request in so many has [`TAIL`] times as much work.
const TAIL_ONE_IN: u32 = 100;

/// How much more work a request of the tail has.
const TAIL: f64 = 5.0;

/// How much of the target latency passes outside the members, as the policy takes it where it
/// knows no better.
const AWAY: Duration = Duration::from_millis(26);

pub(crate) fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

/// The searchers of each shard.
#[derive(Debug)]
pub(crate) struct Shards(pub(crate) Vec<Vec<usize>>, Vec<usize>);

impl Shards {
    /// Spreads the replicas of each shard over the regions.
    fn new(load: &Load) -> Self {
        let mut regions = Vec::new();
        let shard = |shard: usize| {
            let place = |replica: usize| {
                regions.push((shard + replica) % load.regions);
                regions.len() - 1
            };
            (0..load.replicas).map(place).collect()
        };
        Self((0..load.shards).map(shard).collect(), regions)
    }

    /// Returns the region of a searcher.
    pub(crate) fn region(&self, searcher: usize) -> usize {
        self.1[searcher]
    }

    /// Returns how many searchers there are.
    pub(crate) fn searchers(&self) -> usize {
        self.1.len()
    }
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of a stream comes to a member.
    Request(usize),
    /// An attempt reaches its searcher.
    Arrive(usize),
    /// A searcher is done with an attempt.
    Done(usize),
    /// An answer, or a refusal, reaches the member.
    Answer(usize, bool),
    /// Word that nobody waits for an attempt reaches its searcher.
    Cut(usize),
    /// The silent shards of a request are hedged.
    Hedge(usize),
    /// The target latency of a request has come.
    Due(usize),
    /// The caller of a request waits no longer.
    End(usize),
    /// All members lose what they know.
    Forget,
}

/// One attempt at a searcher.
#[derive(Debug)]
struct Attempt {
    request: usize,
    shard: usize,
    searcher: usize,
    sent: Micros,
    work: Micros,
    /// Whether its member still waits for it.
    open: bool,
}

/// One request.
#[derive(Debug)]
struct Request {
    member: usize,
    stream: usize,
    begun: Micros,
    tally: Tally,
    /// The attempts at each shard.
    attempts: Vec<Vec<usize>>,
    /// Whether each shard is in, or can't be had.
    settled: Vec<bool>,
    late: bool,
    open: bool,
}

/// Runs a load to its end.
pub fn run(load: &Load) -> Report {
    World::new(load).run()
}

struct World<'a> {
    load: &'a Load,
    routes: Vec<Route>,
    shards: Shards,
    searchers: Vec<Searcher>,
    members: Vec<Member>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    serial: u64,
    now: Micros,
    start: Instant,
    rng: StdRng,
    report: Report,
}

impl<'a> World<'a> {
    fn new(load: &'a Load) -> Self {
        let start = Instant::now();
        let shards = Shards::new(load);
        let mut rng = Seed(load.seed).generator("searchers");
        let searcher = |number| Searcher::new(load, number, shards.region(number), &mut rng);
        let searchers = (0..shards.searchers()).map(searcher).collect();
        let outcomes = load.streams.iter().map(|stream| Outcome::new(stream.name)).collect();
        let report = Report { outcomes, first: 0, additional: 0, paused: 0, turned_away: 0 };
        let mut world = Self {
            load,
            routes: load.streams.iter().map(|stream| route(load, stream)).collect(),
            shards,
            searchers,
            members: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            serial: 0,
            now: 0,
            start,
            rng: Seed(load.seed).generator("requests"),
            report,
        };
        world.forget();
        world
    }

    fn run(mut self) -> Report {
        for stream in 0..self.load.streams.len() {
            self.schedule_request(stream);
        }
        if let Some(forgets) = self.load.forgets {
            self.at(micros(forgets), Event::Forget);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Request(stream) => self.request(stream),
                Event::Arrive(attempt) => self.arrive(attempt),
                Event::Done(attempt) => self.done(attempt),
                Event::Answer(attempt, served) => self.answer(attempt, served),
                Event::Cut(attempt) => self.leave(attempt),
                Event::Hedge(request) => self.hedge(request),
                Event::Due(request) => {
                    self.requests[request].late = true;
                    self.judge(request);
                }
                Event::End(request) => self.finish(request, false),
                Event::Forget => self.forget(),
            }
        }
        self.report
    }

    /// Starts all members anew.
    fn forget(&mut self) {
        let now = self.instant(self.now);
        let member = |number: usize| {
            let rng = Seed(self.load.seed).generator(&format!("member {number}"));
            Member::new(self.load, &self.shards, number % self.load.regions, now, rng)
        };
        self.members = (0..self.load.members).map(member).collect();
    }

    fn instant(&self, moment: Micros) -> Instant {
        self.start + Duration::from_micros(moment)
    }

    fn at(&mut self, moment: Micros, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((moment, self.serial, event)));
    }

    fn schedule_request(&mut self, stream: usize) {
        let mean = 1e6 / self.load.streams[stream].per_s;
        let gap = -mean * self.rng.random_range(1e-9..1.0_f64).ln();
        let next = self.now + gap as Micros;
        if next < micros(self.load.lasts) {
            self.at(next, Event::Request(stream));
        }
    }

    fn request(&mut self, stream: usize) {
        self.schedule_request(stream);
        let member = self.rng.random_range(0..self.load.members);
        let now = self.instant(self.now);
        let patience = self.members[member].patience(&self.routes[stream], stream);
        let fewest = fewest(self.load, &self.load.streams[stream]);
        let number = self.requests.len();
        self.requests.push(Request {
            member,
            stream,
            begun: self.now,
            tally: Tally::new(self.load.shards, fewest),
            attempts: vec![Vec::new(); self.load.shards],
            settled: vec![false; self.load.shards],
            late: false,
            open: true,
        });
        if !self.members[member].admits(&self.shards, patience, fewest, now) {
            self.finish(number, false);
            return;
        }
        for shard in 0..self.load.shards {
            self.members[member].earn(shard, now);
            self.send(number, shard);
        }
        if self.members[member].policy().hedge.on {
            self.at(self.now + micros(patience.hedge), Event::Hedge(number));
        }
        self.at(self.now + micros(patience.target), Event::Due(number));
        self.at(self.now + micros(patience.end), Event::End(number));
    }

    /// Sends an attempt for a shard, if a searcher is left, and tells whether it did.
    fn send(&mut self, request: usize, shard: usize) -> bool {
        let now = self.instant(self.now);
        let Request { member, stream, attempts, .. } = &self.requests[request];
        let (member, stream) = (*member, *stream);
        let tried: Vec<usize> =
            attempts[shard].iter().map(|attempt| self.attempts[*attempt].searcher).collect();
        let chosen = self.members[member].choose(&self.shards, shard, &tried, now);
        let Some(searcher) = chosen else { return false };
        self.members[member].sent(searcher, now);
        let work = self.work(stream);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, shard, searcher, sent: self.now, work, open: true });
        self.requests[request].attempts[shard].push(attempt);
        let arrives = self.now + self.way(member, searcher);
        if self.counts(request) {
            let extra = !tried.is_empty();
            self.report.first += usize::from(!extra);
            self.report.additional += usize::from(extra);
            let paused = self.searchers[searcher].pauses_within(arrives, arrives + work);
            self.report.paused += usize::from(paused);
        }
        self.at(arrives, Event::Arrive(attempt));
        true
    }

    fn work(&mut self, stream: usize) -> Micros {
        let mean = micros(self.load.streams[stream].work) as f64;
        let tail = if self.rng.random_ratio(1, TAIL_ONE_IN) { TAIL } else { 1.0 };
        (mean * tail * (1.0 - VARIES + 2.0 * VARIES * self.rng.random::<f64>())) as Micros
    }

    fn way(&self, member: usize, searcher: usize) -> Micros {
        match distance(self.searchers[searcher].region, self.members[member].region) {
            Distance::Zone | Distance::Region => micros(self.load.near),
            Distance::Far => micros(self.load.far),
        }
    }

    /// Returns the way back of an attempt's answer.
    fn back(&self, attempt: usize) -> Micros {
        let Attempt { request, searcher, .. } = self.attempts[attempt];
        self.way(self.requests[request].member, searcher)
    }

    fn arrive(&mut self, number: usize) {
        let Attempt { searcher, work, .. } = self.attempts[number];
        let arrival = if self.searchers[searcher].is_crashed(self.now) {
            Arrival::Refused
        } else {
            self.searchers[searcher].arrive(number, work, self.now)
        };
        match arrival {
            Arrival::Runs(end) => self.at(end, Event::Done(number)),
            Arrival::Waits => {}
            Arrival::Refused => {
                if self.counts(self.attempts[number].request) {
                    self.report.turned_away += 1;
                }
                self.at(self.now + self.back(number), Event::Answer(number, false));
            }
        }
    }

    fn done(&mut self, number: usize) {
        if self.searchers[self.attempts[number].searcher].runs(number) {
            self.leave(number);
            self.at(self.now + self.back(number), Event::Answer(number, true));
        }
    }

    /// Ends the work on an attempt, and begins that on the next.
    fn leave(&mut self, number: usize) {
        let searcher = self.attempts[number].searcher;
        if let Some((next, end)) = self.searchers[searcher].leave(number, self.now) {
            self.at(end, Event::Done(next));
        }
    }

    fn answer(&mut self, number: usize, served: bool) {
        let Attempt { request, shard, searcher, sent, open, .. } = self.attempts[number];
        if !open {
            return;
        }
        self.attempts[number].open = false;
        let (now, sent) = (self.instant(self.now), self.instant(sent));
        let Request { member, stream, .. } = self.requests[request];
        if served {
            self.members[member].answered(searcher, stream, sent, now);
            self.requests[request].settled[shard] = true;
            self.requests[request].tally.record_arrived();
            self.cut(request, shard);
        } else {
            self.members[member].failed(searcher, sent, now);
            self.follow(request, shard);
        }
        self.judge(request);
    }

    /// Makes the next attempt at a shard whose last one failed.
    fn follow(&mut self, request: usize, shard: usize) {
        let attempts = &self.requests[request].attempts[shard];
        if attempts.iter().any(|attempt| self.attempts[*attempt].open) {
            return;
        }
        let now = self.instant(self.now);
        let member = self.requests[request].member;
        let retries = self.members[member].policy().retry.on;
        let granted = retries && self.members[member].spend(shard, AttemptPriority::Optional, now);
        if !(granted && self.send(request, shard)) {
            self.requests[request].settled[shard] = true;
            self.requests[request].tally.record_missing();
        }
    }

    fn hedge(&mut self, request: usize) {
        if !self.requests[request].open {
            return;
        }
        let now = self.instant(self.now);
        let member = self.requests[request].member;
        for shard in 0..self.load.shards {
            let Request { settled, attempts, tally, .. } = &self.requests[request];
            if settled[shard] || attempts[shard].len() != 1 {
                continue;
            }
            let need = if tally.is_below_coverage() {
                AttemptPriority::Required
            } else {
                AttemptPriority::Optional
            };
            if self.members[member].spend(shard, need, now) {
                self.send(request, shard);
            }
        }
    }

    /// Answers a request if it is time to.
    fn judge(&mut self, request: usize) {
        let Request { tally, late, open, .. } = &self.requests[request];
        if !open {
            return;
        }
        match tally.decide(*late) {
            GatherDecision::Wait => {}
            GatherDecision::Answer => self.finish(request, true),
            GatherDecision::Fail => self.finish(request, false),
        }
    }

    fn finish(&mut self, number: usize, answered: bool) {
        let Request { stream, begun, tally, open, .. } = &mut self.requests[number];
        if !std::mem::take(open) {
            return;
        }
        let took = Duration::from_micros(self.now - *begun);
        let share = tally.arrived() as f64 / self.load.shards as f64;
        let stream = *stream;
        let in_time = took <= self.load.streams[stream].target.saturating_sub(AWAY);
        if self.counts(number) {
            let outcome = &mut self.report.outcomes[stream];
            if answered { outcome.answer(took, share, in_time) } else { outcome.refuse() }
        }
        for shard in 0..self.load.shards {
            self.cut(number, shard);
        }
    }

    /// Cuts what still runs for a shard.
    fn cut(&mut self, request: usize, shard: usize) {
        let now = self.instant(self.now);
        let member = self.requests[request].member;
        for number in self.requests[request].attempts[shard].clone() {
            let Attempt { searcher, sent, .. } = self.attempts[number];
            let sent = self.instant(sent);
            if std::mem::take(&mut self.attempts[number].open) {
                self.members[member].abandoned(searcher, sent, now);
                self.at(self.now + self.way(member, searcher), Event::Cut(number));
            }
        }
    }

    fn counts(&self, request: usize) -> bool {
        self.requests[request].begun >= micros(self.load.counts_from)
    }
}

fn fewest(load: &Load, stream: &Stream) -> usize {
    ((load.shards as f64 * stream.coverage).ceil() as usize).clamp(1, load.shards)
}

fn route(load: &Load, stream: &Stream) -> Route {
    let shards = (0..load.shards).map(|shard| shard.to_string().into()).collect();
    let gather = Gather { shards, top_k: 1, min_coverage: stream.coverage };
    Route {
        name: stream.name.into(),
        host: "model".into(),
        prefix: "/".into(),
        kind: Idempotency::Idempotent,
        timeout: stream.deadline,
        target_latency: Some(stream.target),
        attempts: load.replicas,
        priority: 1,
        target: Target::Gather(gather),
    }
}
