//! The discrete-event simulation of a [`Load`]: requests, attempts and their events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_declaration::{Gather, Idempotency, Residency, Route, Target};
use bergamot_dispatch::{AttemptPriority, Distance, GatherDecision, Tally};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::load::{Load, Stream};
use crate::member::{Member, distance};
use crate::report::{Outcome, Report};
use crate::searcher::{Arrival, Searcher};

/// A simulated time or a duration, in microseconds.
pub(crate) type Micros = u64;

/// The maximum deviation of the work of a request from its mean, as a fraction of the mean.
const WORK_VARIATION: f64 = 0.5;

/// One request in this many has [`TAIL_FACTOR`] times as much work.
const ONE_IN_TAIL: u32 = 100;

/// The factor by which the work of those requests is larger.
const TAIL_FACTOR: f64 = 5.0;

/// The part of the target latency that is spent outside the members. Equals the margin that the
/// policy assumes when it has no better estimate.
const EXTERNAL_LATENCY: Duration = Duration::from_millis(26);

pub(crate) fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

/// The placement of searchers: which shard and which region each one serves.
#[derive(Debug)]
pub(crate) struct Shards {
    /// The searchers of each shard.
    pub(crate) replicas: Vec<Vec<usize>>,
    /// The region of each searcher.
    regions: Vec<usize>,
}

impl Shards {
    /// Distributes the replicas of each shard over the regions.
    fn new(load: &Load) -> Self {
        let mut regions = Vec::new();
        let shard = |shard: usize| {
            let place = |replica: usize| {
                regions.push((shard + replica) % load.regions);
                regions.len() - 1
            };
            (0..load.replicas).map(place).collect()
        };
        let replicas = (0..load.shards).map(shard).collect();
        Self { replicas, regions }
    }

    pub(crate) fn region(&self, searcher: usize) -> usize {
        self.regions[searcher]
    }

    pub(crate) fn searcher_count(&self) -> usize {
        self.regions.len()
    }
}

/// A simulated event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of a stream arrives at a member.
    Request(usize),
    /// An attempt reaches its searcher.
    Arrive(usize),
    /// A searcher completes an attempt.
    Complete(usize),
    /// The response to an attempt reaches the member; `true` on success, `false` on rejection.
    Response(usize, bool),
    /// The cancellation of an attempt reaches its searcher.
    Cancel(usize),
    /// The hedge delay of a request has elapsed; shards without a response are hedged.
    Hedge(usize),
    /// The target latency of a request has elapsed.
    TargetLatency(usize),
    /// The deadline of a request has passed.
    Deadline(usize),
    /// All members lose their state.
    StateLoss,
}

/// A sub-request to one searcher.
#[derive(Debug)]
struct Attempt {
    request: usize,
    shard: usize,
    searcher: usize,
    sent: Micros,
    work: Micros,
    /// Whether the member still waits for the response.
    open: bool,
}

/// A gathered request.
#[derive(Debug)]
struct Request {
    member: usize,
    stream: usize,
    started_at: Micros,
    tally: Tally,
    /// The attempts at each shard.
    attempts: Vec<Vec<usize>>,
    /// Whether each shard has responded or finally failed.
    resolved: Vec<bool>,
    target_passed: bool,
    open: bool,
}

/// Simulates a load until no events are left.
pub fn run(load: &Load) -> Report {
    Simulation::new(load).run()
}

struct Simulation<'a> {
    load: &'a Load,
    routes: Vec<Route>,
    shards: Shards,
    searchers: Vec<Searcher>,
    members: Vec<Member>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    last_sequence: u64,
    now: Micros,
    start: Instant,
    rng: StdRng,
    report: Report,
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load) -> Self {
        let start = Instant::now();
        let shards = Shards::new(load);
        let mut rng = Seed(load.seed).generator("searchers");
        let searcher = |number| Searcher::new(load, number, shards.region(number), &mut rng);
        let searchers = (0..shards.searcher_count()).map(searcher).collect();
        let outcomes = load.streams.iter().map(|stream| Outcome::new(stream.name)).collect();
        let report = Report {
            outcomes,
            first_attempts: 0,
            additional_attempts: 0,
            paused: 0,
            turned_away: 0,
        };
        let mut simulation = Self {
            load,
            routes: load.streams.iter().map(|stream| route(load, stream)).collect(),
            shards,
            searchers,
            members: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            last_sequence: 0,
            now: 0,
            start,
            rng: Seed(load.seed).generator("requests"),
            report,
        };
        simulation.reset_members();
        simulation
    }

    fn run(mut self) -> Report {
        for stream in 0..self.load.streams.len() {
            self.schedule_request(stream);
        }
        if let Some(state_loss_at) = self.load.state_loss_at {
            self.schedule(micros(state_loss_at), Event::StateLoss);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Request(stream) => self.start_request(stream),
                Event::Arrive(attempt) => self.arrive(attempt),
                Event::Complete(attempt) => self.complete(attempt),
                Event::Response(attempt, succeeded) => self.response(attempt, succeeded),
                Event::Cancel(attempt) => self.remove_attempt(attempt),
                Event::Hedge(request) => self.hedge(request),
                Event::TargetLatency(request) => {
                    self.requests[request].target_passed = true;
                    self.try_finish(request);
                }
                Event::Deadline(request) => self.finish(request, false),
                Event::StateLoss => self.reset_members(),
            }
        }
        self.report
    }

    /// Replaces all members by new ones without state.
    fn reset_members(&mut self) {
        let now = self.instant(self.now);
        let member = |number: usize| {
            let rng = Seed(self.load.seed).generator(&format!("member {number}"));
            Member::new(self.load, &self.shards, number % self.load.regions, now, rng)
        };
        self.members = (0..self.load.members).map(member).collect();
    }

    fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time)
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((time, self.last_sequence, event)));
    }

    fn schedule_request(&mut self, stream: usize) {
        let mean = 1e6 / self.load.streams[stream].rate_per_s;
        let gap = -mean * self.rng.random_range(1e-9..1.0_f64).ln();
        let next = self.now + gap as Micros;
        if next < micros(self.load.duration) {
            self.schedule(next, Event::Request(stream));
        }
    }

    fn start_request(&mut self, stream: usize) {
        self.schedule_request(stream);
        let member = self.rng.random_range(0..self.load.members);
        let now = self.instant(self.now);
        let timeouts = self.members[member].timeouts(&self.routes[stream], stream);
        let required = required_shards(self.load, &self.load.streams[stream]);
        let number = self.requests.len();
        self.requests.push(Request {
            member,
            stream,
            started_at: self.now,
            tally: Tally::new(self.load.shards, required),
            attempts: vec![Vec::new(); self.load.shards],
            resolved: vec![false; self.load.shards],
            target_passed: false,
            open: true,
        });
        if !self.members[member].admit(&self.shards, timeouts, required, now) {
            self.finish(number, false);
            return;
        }
        for shard in 0..self.load.shards {
            self.members[member].record_request(shard, now);
            self.send(number, shard);
        }
        if self.members[member].policy().hedge.on {
            self.schedule(self.now + micros(timeouts.hedge), Event::Hedge(number));
        }
        self.schedule(self.now + micros(timeouts.target), Event::TargetLatency(number));
        self.schedule(self.now + micros(timeouts.end), Event::Deadline(number));
    }

    /// Sends an attempt for a shard. Returns `false` if every searcher of the shard was tried.
    fn send(&mut self, request: usize, shard: usize) -> bool {
        let now = self.instant(self.now);
        let Request { member, stream, attempts, .. } = &self.requests[request];
        let (member, stream) = (*member, *stream);
        let tried: Vec<usize> =
            attempts[shard].iter().map(|attempt| self.attempts[*attempt].searcher).collect();
        let chosen = self.members[member].select_searcher(&self.shards, shard, &tried, now);
        let Some(searcher) = chosen else { return false };
        self.members[member].record_send(searcher, now);
        let work = self.draw_work(stream);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, shard, searcher, sent: self.now, work, open: true });
        self.requests[request].attempts[shard].push(attempt);
        let arrival_time = self.now + self.network_delay(member, searcher);
        if self.is_measured(request) {
            let extra = !tried.is_empty();
            self.report.first_attempts += usize::from(!extra);
            self.report.additional_attempts += usize::from(extra);
            let paused = self.searchers[searcher].pauses_within(arrival_time, arrival_time + work);
            self.report.paused += usize::from(paused);
        }
        self.schedule(arrival_time, Event::Arrive(attempt));
        true
    }

    fn draw_work(&mut self, stream: usize) -> Micros {
        let mean = micros(self.load.streams[stream].work) as f64;
        let factor = if self.rng.random_ratio(1, ONE_IN_TAIL) { TAIL_FACTOR } else { 1.0 };
        (mean * factor * (1.0 - WORK_VARIATION + 2.0 * WORK_VARIATION * self.rng.random::<f64>()))
            as Micros
    }

    fn network_delay(&self, member: usize, searcher: usize) -> Micros {
        match distance(self.searchers[searcher].region, self.members[member].region) {
            Distance::Zone | Distance::Region => micros(self.load.intra_region_latency),
            Distance::Far => micros(self.load.inter_region_latency),
        }
    }

    /// Returns the network delay of the response to an attempt.
    fn response_delay(&self, attempt: usize) -> Micros {
        let Attempt { request, searcher, .. } = self.attempts[attempt];
        self.network_delay(self.requests[request].member, searcher)
    }

    fn arrive(&mut self, number: usize) {
        let Attempt { searcher, work, .. } = self.attempts[number];
        let arrival = if self.searchers[searcher].is_crashed(self.now) {
            Arrival::Rejected
        } else {
            self.searchers[searcher].arrive(number, work, self.now)
        };
        match arrival {
            Arrival::Started(end) => self.schedule(end, Event::Complete(number)),
            Arrival::Queued => {}
            Arrival::Rejected => {
                if self.is_measured(self.attempts[number].request) {
                    self.report.turned_away += 1;
                }
                self.schedule(
                    self.now + self.response_delay(number),
                    Event::Response(number, false),
                );
            }
        }
    }

    fn complete(&mut self, number: usize) {
        if self.searchers[self.attempts[number].searcher].is_running(number) {
            self.remove_attempt(number);
            self.schedule(self.now + self.response_delay(number), Event::Response(number, true));
        }
    }

    /// Removes an attempt from its searcher, which then starts the next queued one.
    fn remove_attempt(&mut self, number: usize) {
        let searcher = self.attempts[number].searcher;
        if let Some((next, end)) = self.searchers[searcher].remove_attempt(number, self.now) {
            self.schedule(end, Event::Complete(next));
        }
    }

    fn response(&mut self, number: usize, succeeded: bool) {
        let Attempt { request, shard, searcher, sent, open, .. } = self.attempts[number];
        if !open {
            return;
        }
        self.attempts[number].open = false;
        let (now, sent) = (self.instant(self.now), self.instant(sent));
        let Request { member, stream, .. } = self.requests[request];
        if succeeded {
            self.members[member].record_answer(searcher, stream, sent, now);
            self.requests[request].resolved[shard] = true;
            self.requests[request].tally.record_arrived();
            self.cancel_attempts(request, shard);
        } else {
            self.members[member].record_failure(searcher, sent, now);
            self.retry(request, shard);
        }
        self.try_finish(request);
    }

    /// Retries a shard whose attempts have all failed, if the retry budget allows it.
    fn retry(&mut self, request: usize, shard: usize) {
        let attempts = &self.requests[request].attempts[shard];
        if attempts.iter().any(|attempt| self.attempts[*attempt].open) {
            return;
        }
        let now = self.instant(self.now);
        let member = self.requests[request].member;
        let retries = self.members[member].policy().retry.on;
        let within_budget =
            retries && self.members[member].try_spend(shard, AttemptPriority::Optional, now);
        if !(within_budget && self.send(request, shard)) {
            self.requests[request].resolved[shard] = true;
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
            let Request { resolved, attempts, tally, .. } = &self.requests[request];
            if resolved[shard] || attempts[shard].len() != 1 {
                continue;
            }
            let priority = if tally.is_below_coverage() {
                AttemptPriority::Required
            } else {
                AttemptPriority::Optional
            };
            if self.members[member].try_spend(shard, priority, now) {
                self.send(request, shard);
            }
        }
    }

    /// Completes a request if the dispatch logic decides so.
    fn try_finish(&mut self, request: usize) {
        let Request { tally, target_passed, open, .. } = &self.requests[request];
        if !open {
            return;
        }
        match tally.decide(*target_passed) {
            GatherDecision::Wait => {}
            GatherDecision::Answer => self.finish(request, true),
            GatherDecision::Fail => self.finish(request, false),
        }
    }

    fn finish(&mut self, number: usize, succeeded: bool) {
        let Request { stream, started_at, tally, open, .. } = &mut self.requests[number];
        if !std::mem::take(open) {
            return;
        }
        let took = Duration::from_micros(self.now - *started_at);
        let share = tally.arrived() as f64 / self.load.shards as f64;
        let stream = *stream;
        let in_time = took <= self.load.streams[stream].target.saturating_sub(EXTERNAL_LATENCY);
        if self.is_measured(number) {
            let outcome = &mut self.report.outcomes[stream];
            if succeeded {
                outcome.record_response(took, share, in_time);
            } else {
                outcome.record_rejection();
            }
        }
        for shard in 0..self.load.shards {
            self.cancel_attempts(number, shard);
        }
    }

    /// Cancels the open attempts at a shard.
    fn cancel_attempts(&mut self, request: usize, shard: usize) {
        let now = self.instant(self.now);
        let member = self.requests[request].member;
        for number in self.requests[request].attempts[shard].clone() {
            let Attempt { searcher, sent, .. } = self.attempts[number];
            let sent = self.instant(sent);
            if std::mem::take(&mut self.attempts[number].open) {
                self.members[member].record_abandon(searcher, sent, now);
                self.schedule(
                    self.now + self.network_delay(member, searcher),
                    Event::Cancel(number),
                );
            }
        }
    }

    fn is_measured(&self, request: usize) -> bool {
        self.requests[request].started_at >= micros(self.load.measure_from)
    }
}

fn required_shards(load: &Load, stream: &Stream) -> usize {
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
        residency: Residency::default(),
        target: Target::Gather(gather),
    }
}
