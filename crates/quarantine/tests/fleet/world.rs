//! Discrete-event simulation of the fleet, its searchers and its callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed, hash_pair};
use bergamot_quarantine::{
    Fingerprint, Gate, Permit, Report, Settings, Standing, Strike, Table, TrialOutcome,
};
use rand::RngExt;
use rand::rngs::StdRng;

type Ms = u64;

const FATAL: Fingerprint = Fingerprint(1);

const REPLICAS: usize = 2;

/// How long a searcher runs a request before it crashes or answers.
const SERVICE_TIME: Ms = 10;

/// How long a searcher is down after a crash.
const DOWNTIME: Ms = 3_000;

/// The one-way latency between members.
const LATENCY: Ms = 8;

/// How long a member that starts waits for the records of another.
const SYNC_DELAY: Ms = 200;

/// After how long callers retry, as rejections tell them to.
const RETRY_AFTER: std::ops::Range<Ms> = 150..300;

/// How long after the third crash requests may still be forwarded.
const PROPAGATION_LIMIT: Ms = 4_000;

/// How often each request is sent.
pub const ATTEMPTS: u64 = 100;

/// A fault that the fleet has besides the fatal request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A third of all searchers crashes.
    RackCrash,
    /// All members restart at once without any records.
    PowerFailure,
    /// The members restart one after another, and each receives the records of another.
    RollingRestart,
    /// Reports between a third of the members and the others are lost for 5 s.
    Partition,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub members: usize,
    pub shards: usize,
    /// The number of shards whose searchers crash on the fatal request.
    pub fatal_shards: usize,
    pub popular: u64,
    pub fault: Fault,
    pub has_fatal: bool,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// How many searchers the fatal request crashed.
    pub crashes: usize,
    /// When the third of them crashed.
    pub third_crash: Option<Ms>,
    /// The attempts of the fatal request that were forwarded later than [`PROPAGATION_LIMIT`] after
    /// that, by members which had been up for as long.
    pub forwarded_late: BTreeSet<u64>,
    /// How many attempts of popular requests were rejected as condemned.
    pub false_positives: usize,
    /// How many attempts of popular requests were answered.
    pub answered: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        request: Fingerprint,
        attempt: u64,
    },
    /// The reply to a member that asked for the grant of a trial.
    GrantReply {
        request: Fingerprint,
        attempt: u64,
        member: usize,
        granted: bool,
    },
    /// Searchers have answered a request that was sent at `since`, or crashed.
    Completion {
        request: Fingerprint,
        attempt: u64,
        member: usize,
        asked: Vec<usize>,
        trial: bool,
        since: Ms,
    },
    Report {
        to: usize,
        request: Fingerprint,
        from: usize,
    },
    Fault,
    Restart(usize),
    Sync(usize),
    Heal,
}

pub struct World {
    load: Load,
    base: Instant,
    now: Ms,
    tables: Vec<Table>,
    /// Whether each member has received the records of the others since it started.
    synced: Vec<bool>,
    /// When each member was last restarted.
    restarted: Vec<Option<Ms>>,
    /// When each searcher last crashed.
    crashed: Vec<Option<Ms>>,
    gates: BTreeMap<u64, Gate>,
    partitioned: bool,
    events: BinaryHeap<Reverse<(Ms, u64, Event)>>,
    /// The number of events so far, by which simultaneous events are ordered.
    sequence: u64,
    rng: StdRng,
    observed: Observed,
}

impl World {
    pub fn run(load: Load, seed: u64) -> Observed {
        let mut world = Self {
            load,
            base: Instant::now() + Duration::from_secs(1),
            now: 0,
            tables: (0..load.members).map(|_| Table::new(Settings::default())).collect(),
            synced: vec![true; load.members],
            restarted: vec![None; load.members],
            crashed: vec![None; load.shards * REPLICAS],
            gates: BTreeMap::new(),
            partitioned: false,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: Seed(seed).generator("fatal"),
            observed: Observed::default(),
        };
        if load.has_fatal {
            world.schedule(100, Event::Arrival { request: FATAL, attempt: 0 });
        }
        for request in 0..load.popular {
            world.schedule(
                request,
                Event::Arrival { request: Fingerprint(100 + request), attempt: 0 },
            );
        }
        // During the first attempts, and again once the request is condemned.
        for at in [103, 700, 6_000] {
            world.schedule(at, Event::Fault);
        }
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.now = at;
            world.step(event);
        }
        world.observed
    }

    fn schedule(&mut self, at: Ms, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival { request, attempt } => self.arrive(request, attempt),
            Event::GrantReply { request, attempt, member, granted } => {
                if granted {
                    let shard = self.suspect_shard(member, request);
                    self.send(request, attempt, member, vec![shard], true);
                }
                self.retry(request, attempt);
            }
            Event::Completion { request, attempt, member, asked, trial, since } => {
                self.complete((request, attempt), member, &asked, trial, since);
            }
            Event::Report { to, request, from } => {
                if let Some(report) = self.tables[from].report(request, self.instant()) {
                    self.merge(to, &report);
                }
            }
            Event::Fault => self.inject_fault(),
            Event::Restart(member) => self.restart(member),
            Event::Sync(member) => self.sync(member),
            Event::Heal => {
                self.partitioned = false;
                for to in 0..self.load.members {
                    let from = self.rng.random_range(0..self.load.members);
                    for report in self.tables[from].severe_reports(self.instant()) {
                        let request = report.fingerprint;
                        self.schedule(self.now + 500, Event::Report { to, request, from });
                    }
                }
            }
        }
    }

    /// Handles a caller's attempt at a random member.
    fn arrive(&mut self, request: Fingerprint, attempt: u64) {
        let member = self.rng.random_range(0..self.load.members);
        if !self.synced[member] {
            // The member is not ready yet and rejects the request.
            self.retry(request, attempt);
            return;
        }
        match self.tables[member].standing(request, self.instant()) {
            Standing::Trusted => {
                let shards = (0..self.load.shards).collect();
                self.send(request, attempt, member, shards, false);
                self.retry(request, attempt);
            }
            Standing::Suspect(_) => {
                let owner = (0..self.load.members)
                    .max_by_key(|member| hash_pair(request.0, *member as u64))
                    .expect("there are members");
                let now = self.instant();
                let granted =
                    self.can_reach(owner, member) && self.tables[owner].grant_trial(now, request);
                let event = Event::GrantReply { request, attempt, member, granted };
                self.schedule(self.now + 2 * LATENCY, event);
            }
            Standing::Condemned(_) => {
                if request != FATAL {
                    self.observed.false_positives += 1;
                }
                self.retry(request, attempt);
            }
        }
    }

    fn restart(&mut self, member: usize) {
        self.tables[member] = Table::new(Settings::default());
        self.restarted[member] = Some(self.now);
        self.synced[member] = false;
        self.schedule(self.now + SYNC_DELAY, Event::Sync(member));
    }

    /// Gives a restarted member the records of a reachable member that has them, if there is one.
    fn sync(&mut self, member: usize) {
        let can_sync = |other: &usize| self.synced[*other] && self.can_reach(*other, member);
        let sources: Vec<usize> = (0..self.load.members).filter(can_sync).collect();
        if let Some(other) = sources.get(self.now as usize % sources.len().max(1)).copied() {
            for report in self.tables[other].severe_reports(self.instant()) {
                self.merge(member, &report);
            }
        }
        self.synced[member] = true;
    }

    fn retry(&mut self, request: Fingerprint, attempt: u64) {
        if attempt + 1 < ATTEMPTS {
            let at = self.now + self.rng.random_range(RETRY_AFTER);
            self.schedule(at, Event::Arrival { request, attempt: attempt + 1 });
        }
    }

    /// Sends a request to one live searcher of each given shard that has one.
    fn send(
        &mut self,
        request: Fingerprint,
        attempt: u64,
        member: usize,
        shards: Vec<usize>,
        trial: bool,
    ) {
        let asked: Vec<usize> =
            shards.into_iter().filter_map(|shard| self.live_replica(shard)).collect();
        let long_ago = |at: Ms| self.now > at + PROPAGATION_LIMIT;
        // A member that was just restarted may not have received all reports yet.
        let up_to_date = self.restarted[member].is_none_or(long_ago);
        let late = up_to_date && self.observed.third_crash.is_some_and(long_ago);
        if request == FATAL && !asked.is_empty() && late {
            self.observed.forwarded_late.insert(attempt);
        }
        let event = Event::Completion { request, attempt, member, asked, trial, since: self.now };
        self.schedule(self.now + SERVICE_TIME, event);
    }

    /// Returns a random live replica of a shard.
    fn live_replica(&mut self, shard: usize) -> Option<usize> {
        let replicas = shard * REPLICAS..(shard + 1) * REPLICAS;
        let alive =
            |searcher: &usize| self.crashed[*searcher].is_none_or(|at| self.now >= at + DOWNTIME);
        let alive: Vec<usize> = replicas.filter(alive).collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())])
    }

    /// Returns the shard for a trial: an affected one, with a live replica if there is any such.
    fn suspect_shard(&mut self, member: usize, request: Fingerprint) -> usize {
        let standing = self.tables[member].standing(request, self.instant());
        let Standing::Suspect(services) = standing else { return 0 };
        let shards: Vec<usize> =
            services.iter().map(|name| name.parse().expect("shards are numbered")).collect();
        let is_live = |shard: &usize| self.live_replica(*shard).is_some();
        let live: Vec<usize> = shards.iter().copied().filter(is_live).collect();
        *live.first().unwrap_or(&shards[0])
    }

    /// Handles the answers or crashes of searchers.
    fn complete(
        &mut self,
        (request, attempt): (Fingerprint, u64),
        member: usize,
        asked: &[usize],
        trial: bool,
        since: Ms,
    ) {
        if request == FATAL {
            for searcher in asked {
                if searcher / REPLICAS < self.load.fatal_shards {
                    self.crash(*searcher);
                    self.observed.crashes += 1;
                    if self.observed.crashes == 3 {
                        self.observed.third_crash = Some(self.now);
                    }
                }
            }
        }
        let has_crashed = |searcher: &&usize| self.crashed[**searcher].is_some_and(|at| at > since);
        let crashed: Vec<usize> = asked.iter().filter(has_crashed).copied().collect();
        let key = hash_pair(request.0, attempt);
        if crashed.is_empty() {
            if !asked.is_empty() {
                self.answered(request, member, asked);
            }
            if trial && let Some(gate) = self.gates.get_mut(&key) {
                let outcome = if asked.is_empty() {
                    TrialOutcome::Inconclusive
                } else {
                    TrialOutcome::Answered
                };
                gate.finish_trial(outcome);
            }
            return;
        }
        let id = if trial { hash_pair(key, crashed[0] as u64) } else { key };
        for searcher in &crashed {
            // Identifies the incarnation that crashed.
            let at = self.crashed[*searcher].unwrap_or_default();
            let name = if trial { hash_pair(*searcher as u64, at) } else { 0 };
            let strike = Strike { id, trial, searcher: name, cleared: false };
            self.record_strike(member, request, strike, searcher / REPLICAS);
        }
        let gate = self.gates.entry(key).or_default();
        if trial {
            gate.finish_trial(TrialOutcome::Crashed);
            return;
        }
        gate.record_crash();
        // Every shard whose searcher crashed requests a retry; the gate admits one of them.
        let admitted = crashed.iter().filter(|_| gate.acquire() == Permit::Trial).count();
        assert_eq!(admitted, 1, "one further attempt at a time");
        let affected: Vec<usize> = crashed.iter().map(|searcher| searcher / REPLICAS).collect();
        let live = affected.iter().copied().find(|shard| self.live_replica(*shard).is_some());
        self.send(request, attempt, member, live.into_iter().collect(), true);
    }

    fn answered(&mut self, request: Fingerprint, member: usize, asked: &[usize]) {
        let services: Vec<Name> = asked.iter().map(|searcher| shard(searcher / REPLICAS)).collect();
        if request != FATAL {
            self.observed.answered += 1;
        }
        if self.tables[member].record_answer(request, &services) {
            self.broadcast(member, request);
        }
    }

    fn record_strike(&mut self, member: usize, request: Fingerprint, strike: Strike, of: usize) {
        let now = self.instant();
        if self.tables[member].record_strike(now, request, strike, &shard(of)) {
            self.broadcast(member, request);
        }
    }

    /// Reports a request to all other members, within the time that the membership takes in a fleet
    /// of this size.
    fn broadcast(&mut self, from: usize, request: Fingerprint) {
        let longest = if self.load.members > 100 { 200 } else { 50 };
        for to in (0..self.load.members).filter(|to| *to != from) {
            if !self.can_reach(from, to) {
                continue;
            }
            let at = self.now + self.rng.random_range(1..=longest);
            self.schedule(at, Event::Report { to, request, from });
        }
    }

    fn merge(&mut self, to: usize, report: &Report) {
        let now = self.instant();
        self.tables[to].merge(now, report);
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        !self.partitioned || side(one) == side(other)
    }

    fn crash(&mut self, searcher: usize) {
        self.crashed[searcher] = Some(self.now);
    }

    fn inject_fault(&mut self) {
        match self.load.fault {
            Fault::None => {}
            Fault::RackCrash => {
                for searcher in (0..self.crashed.len()).filter(|searcher| searcher % 3 == 0) {
                    self.crash(searcher);
                }
            }
            Fault::PowerFailure => {
                for member in 0..self.load.members {
                    self.restart(member);
                }
            }
            Fault::RollingRestart => {
                for member in 0..self.load.members {
                    let at = self.now + 5_000 * member as Ms / self.load.members as Ms;
                    self.schedule(at, Event::Restart(member));
                }
            }
            Fault::Partition => {
                self.partitioned = true;
                self.schedule(self.now + 5_000, Event::Heal);
            }
        }
    }
}

fn shard(number: usize) -> Name {
    Name::from(number.to_string())
}

/// Returns on which side of a partition a member is.
fn side(member: usize) -> bool {
    member.is_multiple_of(3)
}
