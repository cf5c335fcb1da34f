//! The fleet, its searchers and its callers, event by event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed, hash_pair};
use bergamot_quarantine::{
    Fingerprint, Gate, Outcome, Pass, Report, Settings, Standing, Strike, Table,
};
use rand::RngExt;
use rand::rngs::StdRng;

type Ms = u64;

const FATAL: Fingerprint = Fingerprint(1);

const REPLICAS: usize = 2;

/// How long a searcher works on a request before it ends or answers.
const WORK: Ms = 10;

/// How long a searcher that has ended is away.
const AWAY: Ms = 3_000;

/// One way between members.
const WAY: Ms = 8;

/// How soon a member that starts is told what another holds.
const TOLD: Ms = 200;

/// How soon callers come back, as refusals tell them.
const BACK: std::ops::Range<Ms> = 150..300;

/// How long after the third end requests may still be sent on.
const CONTACT: Ms = 4_000;

pub const REPEATS: u64 = 100;

/// What happens to the fleet besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Nothing,
    /// A third of all searchers ends.
    Rack,
    /// Every member starts anew, knowing nothing.
    Power,
    /// One member after another starts anew, and is told by another.
    Rolling,
    /// News doesn't cross between a third of the members and the others for 5 s.
    Cut,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub members: usize,
    pub shards: usize,
    /// The shards whose searchers the request ends.
    pub fatal_shards: usize,
    pub popular: u64,
    pub trouble: Trouble,
    pub has_fatal: bool,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The searchers that ended under the fatal request.
    pub ended: usize,
    /// When the third of them did.
    pub third: Option<Ms>,
    /// The callers' attempts that members in touch sent on later than [`CONTACT`] after that.
    pub sent_on: BTreeSet<u64>,
    /// The popular requests that were condemned.
    pub innocent: usize,
    /// The popular requests that were answered.
    pub answered: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        request: Fingerprint,
        attempt: u64,
    },
    /// A request that was granted to a member, or not.
    Granted {
        request: Fingerprint,
        attempt: u64,
        member: usize,
        granted: bool,
    },
    /// Searchers have worked on a request since a moment.
    Worked {
        request: Fingerprint,
        attempt: u64,
        member: usize,
        asked: Vec<usize>,
        trial: bool,
        since: Ms,
    },
    News {
        to: usize,
        request: Fingerprint,
        from: usize,
    },
    Trouble,
    Restart(usize),
    Inform(usize),
    Heal,
}

pub struct World {
    load: Load,
    base: Instant,
    now: Ms,
    tables: Vec<Table>,
    /// Whether each member has heard what the others hold since it started.
    informed: Vec<bool>,
    /// When each member last started, if it did.
    started: Vec<Option<Ms>>,
    /// When each searcher last ended.
    ended: Vec<Option<Ms>>,
    gates: BTreeMap<u64, Gate>,
    cut: bool,
    events: BinaryHeap<Reverse<(Ms, u64, Event)>>,
    serial: u64,
    rng: StdRng,
    seen: Seen,
}

impl World {
    pub fn run(load: Load, seed: u64) -> Seen {
        let mut world = Self {
            load,
            base: Instant::now() + Duration::from_secs(1),
            now: 0,
            tables: (0..load.members).map(|_| Table::new(Settings::default())).collect(),
            informed: vec![true; load.members],
            started: vec![None; load.members],
            ended: vec![None; load.shards * REPLICAS],
            gates: BTreeMap::new(),
            cut: false,
            events: BinaryHeap::new(),
            serial: 0,
            rng: Seed(seed).generator("fatal"),
            seen: Seen::default(),
        };
        if load.has_fatal {
            world.at(100, Event::Arrive { request: FATAL, attempt: 0 });
        }
        for request in 0..load.popular {
            world.at(request, Event::Arrive { request: Fingerprint(100 + request), attempt: 0 });
        }
        // In the midst of the first attempts, and again while the verdict stands.
        for at in [103, 700, 6_000] {
            world.at(at, Event::Trouble);
        }
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.now = at;
            world.step(event);
        }
        world.seen
    }

    fn at(&mut self, at: Ms, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { request, attempt } => self.arrive(request, attempt),
            Event::Granted { request, attempt, member, granted } => {
                if granted {
                    let shard = self.suspect_shard(member, request);
                    self.send(request, attempt, member, vec![shard], true);
                }
                self.come_back(request, attempt);
            }
            Event::Worked { request, attempt, member, asked, trial, since } => {
                self.worked((request, attempt), member, &asked, trial, since);
            }
            Event::News { to, request, from } => {
                if let Some(report) = self.tables[from].report(request, self.instant()) {
                    self.hear(to, &report);
                }
            }
            Event::Trouble => self.trouble(),
            Event::Restart(member) => self.restart(member),
            Event::Inform(member) => self.inform(member),
            Event::Heal => {
                self.cut = false;
                for to in 0..self.load.members {
                    let from = self.rng.random_range(0..self.load.members);
                    for report in self.tables[from].grave(self.instant()) {
                        let request = report.fingerprint;
                        self.at(self.now + 500, Event::News { to, request, from });
                    }
                }
            }
        }
    }

    /// A caller's attempt comes to any member.
    fn arrive(&mut self, request: Fingerprint, attempt: u64) {
        let member = self.rng.random_range(0..self.load.members);
        if !self.informed[member] {
            // It is not ready yet, and says so.
            self.come_back(request, attempt);
            return;
        }
        match self.tables[member].standing(request, self.instant()) {
            Standing::Trusted => {
                let shards = (0..self.load.shards).collect();
                self.send(request, attempt, member, shards, false);
                self.come_back(request, attempt);
            }
            Standing::Suspect(_) => {
                let owner = (0..self.load.members)
                    .max_by_key(|member| hash_pair(request.0, *member as u64))
                    .expect("there are members");
                let reached = !self.cut || side(owner) == side(member);
                let now = self.instant();
                let granted = reached && self.tables[owner].grant(now, request);
                let event = Event::Granted { request, attempt, member, granted };
                self.at(self.now + 2 * WAY, event);
            }
            Standing::Condemned(_) => {
                if request != FATAL {
                    self.seen.innocent += 1;
                }
                self.come_back(request, attempt);
            }
        }
    }

    fn restart(&mut self, member: usize) {
        self.tables[member] = Table::new(Settings::default());
        self.started[member] = Some(self.now);
        self.informed[member] = false;
        self.at(self.now + TOLD, Event::Inform(member));
    }

    /// A member that has started is told by one that knows, or finds that nobody does.
    fn inform(&mut self, member: usize) {
        let knows =
            |other: &usize| self.informed[*other] && (!self.cut || side(*other) == side(member));
        let knowing: Vec<usize> = (0..self.load.members).filter(knows).collect();
        if let Some(other) = knowing.get(self.now as usize % knowing.len().max(1)).copied() {
            for report in self.tables[other].grave(self.instant()) {
                self.hear(member, &report);
            }
        }
        self.informed[member] = true;
    }

    fn come_back(&mut self, request: Fingerprint, attempt: u64) {
        if attempt + 1 < REPEATS {
            let at = self.now + self.rng.random_range(BACK);
            self.at(at, Event::Arrive { request, attempt: attempt + 1 });
        }
    }

    /// Sends a request to one searcher of each of some shards, the living ones first.
    fn send(
        &mut self,
        request: Fingerprint,
        attempt: u64,
        member: usize,
        shards: Vec<usize>,
        trial: bool,
    ) {
        let asked: Vec<usize> = shards.into_iter().filter_map(|shard| self.living(shard)).collect();
        let long_ago = |at: Ms| self.now > at + CONTACT;
        // A member that has just started isn't in touch with the others yet.
        let in_touch = self.started[member].is_none_or(long_ago);
        let late = in_touch && self.seen.third.is_some_and(long_ago);
        if request == FATAL && !asked.is_empty() && late {
            self.seen.sent_on.insert(attempt);
        }
        let event = Event::Worked { request, attempt, member, asked, trial, since: self.now };
        self.at(self.now + WORK, event);
    }

    fn living(&mut self, shard: usize) -> Option<usize> {
        let replicas = shard * REPLICAS..(shard + 1) * REPLICAS;
        let alive = |searcher: &usize| self.ended[*searcher].is_none_or(|at| self.now >= at + AWAY);
        let alive: Vec<usize> = replicas.filter(alive).collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())])
    }

    /// The shard of a trial: one that was harmed and has a searcher left.
    fn suspect_shard(&mut self, member: usize, request: Fingerprint) -> usize {
        let standing = self.tables[member].standing(request, self.instant());
        let Standing::Suspect(services) = standing else { return 0 };
        let shards: Vec<usize> =
            services.iter().map(|name| name.parse().expect("shards are numbered")).collect();
        let can = |shard: &usize| self.living(*shard).is_some();
        let left: Vec<usize> = shards.iter().copied().filter(can).collect();
        *left.first().unwrap_or(&shards[0])
    }

    /// Searchers have answered, or ended.
    fn worked(
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
                    self.end(*searcher);
                    self.seen.ended += 1;
                    if self.seen.ended == 3 {
                        self.seen.third = Some(self.now);
                    }
                }
            }
        }
        let gone = |searcher: &&usize| self.ended[**searcher].is_some_and(|at| at > since);
        let gone: Vec<usize> = asked.iter().filter(gone).copied().collect();
        let key = hash_pair(request.0, attempt);
        if gone.is_empty() {
            if !asked.is_empty() {
                self.answered(request, member, asked);
            }
            if trial && let Some(gate) = self.gates.get_mut(&key) {
                let outcome = if asked.is_empty() { Outcome::Open } else { Outcome::Answered };
                gate.settle(outcome);
            }
            return;
        }
        let id = if trial { hash_pair(key, gone[0] as u64) } else { key };
        for searcher in &gone {
            // The incarnation that ended.
            let end = self.ended[*searcher].unwrap_or_default();
            let name = if trial { hash_pair(*searcher as u64, end) } else { 0 };
            let strike = Strike { id, trial, searcher: name, cleared: false };
            self.accuse(member, request, strike, searcher / REPLICAS);
        }
        let gate = self.gates.entry(key).or_default();
        if trial {
            gate.settle(Outcome::Ended);
            return;
        }
        gate.hold();
        // Each shard whose searcher ended wants another one; one of them may.
        let may = gone.iter().filter(|_| gate.pass() == Pass::Trial).count();
        assert_eq!(may, 1, "one further attempt at a time");
        let harmed: Vec<usize> = gone.iter().map(|searcher| searcher / REPLICAS).collect();
        let left = harmed.iter().copied().find(|shard| self.living(*shard).is_some());
        self.send(request, attempt, member, left.into_iter().collect(), true);
    }

    fn answered(&mut self, request: Fingerprint, member: usize, asked: &[usize]) {
        let services: Vec<Name> = asked.iter().map(|searcher| shard(searcher / REPLICAS)).collect();
        if request != FATAL {
            self.seen.answered += 1;
        }
        if self.tables[member].acquit(request, &services) {
            self.spread(member, request);
        }
    }

    fn accuse(&mut self, member: usize, request: Fingerprint, strike: Strike, of: usize) {
        let now = self.instant();
        if self.tables[member].accuse(now, request, strike, &shard(of)) {
            self.spread(member, request);
        }
    }

    /// Tells all others within the time that the membership takes for a fleet of this size.
    fn spread(&mut self, from: usize, request: Fingerprint) {
        let longest = if self.load.members > 100 { 200 } else { 50 };
        for to in (0..self.load.members).filter(|to| *to != from) {
            if self.cut && side(from) != side(to) {
                continue;
            }
            let at = self.now + self.rng.random_range(1..=longest);
            self.at(at, Event::News { to, request, from });
        }
    }

    fn hear(&mut self, to: usize, report: &Report) {
        let now = self.instant();
        self.tables[to].merge(now, report);
    }

    fn end(&mut self, searcher: usize) {
        self.ended[searcher] = Some(self.now);
    }

    fn trouble(&mut self) {
        match self.load.trouble {
            Trouble::Nothing => {}
            Trouble::Rack => {
                for searcher in (0..self.ended.len()).filter(|searcher| searcher % 3 == 0) {
                    self.end(searcher);
                }
            }
            Trouble::Power => {
                for member in 0..self.load.members {
                    self.restart(member);
                }
            }
            Trouble::Rolling => {
                for member in 0..self.load.members {
                    let at = self.now + 5_000 * member as Ms / self.load.members as Ms;
                    self.at(at, Event::Restart(member));
                }
            }
            Trouble::Cut => {
                self.cut = true;
                self.at(self.now + 5_000, Event::Heal);
            }
        }
    }
}

fn shard(number: usize) -> Name {
    Name::from(number.to_string())
}

/// On which side of a cut a member is.
fn side(member: usize) -> bool {
    member.is_multiple_of(3)
}
