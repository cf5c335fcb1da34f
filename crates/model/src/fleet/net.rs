//! The run of a fleet: what is sent, when it arrives, and the members' timers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed};
use bergamot_members::{
    Datagram, Digest, Endpoint, Membership, Outgoing, Record, Role, State, Suspicions, Timing, View,
};
use bergamot_quarantine::{Fingerprint, Quarantine, Standing, Strike};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::fleet::report::{Report, Sample, Traffic};
use crate::fleet::{Fleet, Step};
use crate::world::{Micros, micros};

/// How often the views are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// One way within a zone, between zones of a region, and between regions.
const WAYS: [Micros; 3] = [200, 1_400, 8_000];

/// The request that a member condemns.
const FATAL: Fingerprint = Fingerprint(1);

/// How late timers fire at most.
const TIMER_LATE: Micros = 2_000;

/// The periods of the users' platform.
const TIMING: Timing = Timing {
    probe: Duration::from_millis(300),
    answer: Duration::from_millis(120),
    suspicion: Duration::from_millis(1200),
};

/// Runs a fleet to its end.
pub fn run(fleet: &Fleet) -> Report {
    World::new(fleet).run()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    Start(usize),
    /// The timer of a run of a member.
    Timer(usize, u32),
    /// A message in flight reaches its member.
    Arrive(usize),
    Look,
}

struct Flight {
    to: usize,
    datagram: Datagram,
}

struct Instance {
    zone: usize,
    run: u32,
    member: Option<Membership>,
    suspicions: Suspicions,
    quarantine: Arc<Quarantine>,
    /// The side of a cut on which it is.
    side: usize,
    busy_until: Micros,
    /// When its timer is set to.
    timer: Micros,
    sent: Traffic,
}

impl Instance {
    fn digest(&self) -> Digest {
        Digest { suspicions: self.suspicions.hash(), fresh: true, ..Digest::default() }
    }
}

struct World<'a> {
    fleet: &'a Fleet,
    base: Instant,
    now: Micros,
    instances: Vec<Instance>,
    numbers: HashMap<Endpoint, usize>,
    seeds: Vec<usize>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    serial: u64,
    flights: HashMap<usize, Flight>,
    next_flight: usize,
    rng: StdRng,
    report: Report,
}

impl<'a> World<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let instance = |number: usize| Instance {
            zone: number % fleet.zones,
            run: 0,
            member: None,
            suspicions: Suspicions::new(Arc::default()),
            quarantine: Arc::default(),
            side: 0,
            busy_until: 0,
            timer: 0,
            sent: Traffic::default(),
        };
        let mut world = Self {
            fleet,
            base: Instant::now(),
            now: 0,
            instances: (0..fleet.members).map(instance).collect(),
            numbers: (0..fleet.members).map(|number| (endpoint(number), number)).collect(),
            seeds: fleet.seeds.clone(),
            events: BinaryHeap::new(),
            serial: 0,
            flights: HashMap::new(),
            next_flight: 0,
            rng: Seed(fleet.seed).generator("fleet"),
            report: Report { samples: Vec::new(), sent: Vec::new() },
        };
        for (index, (at, _)) in fleet.steps.iter().enumerate() {
            world.schedule(micros(*at), Event::Step(index));
        }
        world.schedule(0, Event::Look);
        world
    }

    fn run(mut self) -> Report {
        let end = micros(self.fleet.lasts);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match event {
                Event::Step(index) => self.step(&self.fleet.steps[index].1),
                Event::Start(number) => self.start(number),
                Event::Timer(number, run) => self.timer(number, run),
                Event::Arrive(flight) => self.arrive(flight),
                Event::Look => {
                    self.look();
                    self.schedule(at + micros(LOOK), Event::Look);
                }
            }
        }
        self.report
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Start(members, within) => {
                for member in members {
                    let wait = self.rng.random_range(0..=micros(*within));
                    self.schedule(self.now + wait, Event::Start(*member));
                }
            }
            Step::Stop(members) => {
                for member in members {
                    self.instances[*member].member = None;
                }
            }
            Step::Cut(members) => {
                for member in members {
                    self.instances[*member].side = 1;
                }
            }
            Step::Heal => self.instances.iter_mut().for_each(|instance| instance.side = 0),
            Step::Condemn(member) => self.condemn(*member),
            Step::Seeds(seeds) => {
                self.seeds.clone_from(seeds);
                let (now, seeds) = (self.instant(), self.seed_endpoints());
                for number in 0..self.instances.len() {
                    if let Some(member) = &mut self.instances[number].member {
                        member.set_seeds(now, seeds.clone());
                        self.set_timer(number);
                    }
                }
            }
        }
    }

    fn condemn(&mut self, number: usize) {
        let now = self.instant();
        let Instance { member, suspicions, quarantine, .. } = &mut self.instances[number];
        let Some(member) = member else { return };
        for id in 1..=3 {
            let strike = Strike { id, trial: true, searcher: id, cleared: false };
            quarantine.record_strike(now, FATAL, strike, &Name::from("shard"));
        }
        suspicions.gossip_new(now, member);
        self.set_timer(number);
    }

    fn seed_endpoints(&self) -> Vec<Endpoint> {
        self.seeds.iter().map(|number| endpoint(*number)).collect()
    }

    fn start(&mut self, number: usize) {
        let (now, seeds) = (self.instant(), self.seed_endpoints());
        let ahead = self.rng.random_range(0..=micros(self.fleet.clocks)) / 1000;
        // Some moment of the day by which the members' clocks show more than nothing.
        let clock = 1_000_000 + self.now / 1000 + ahead;
        let instance = &mut self.instances[number];
        instance.run += 1;
        instance.busy_until = self.now;
        let me = Record {
            endpoint: endpoint(number),
            zone: Name::from(format!("zone-{}", instance.zone)),
            incarnation: clock << 16 | number as u64,
            counter: 0,
            state: State::Alive,
            weight: 250,
        };
        let rng = Seed(self.rng.random()).generator("member");
        instance.member = Some(Membership::new(now, TIMING, me, seeds, rng));
        instance.quarantine = Arc::default();
        instance.suspicions = Suspicions::new(Arc::clone(&instance.quarantine));
        instance.timer = Micros::MAX;
        self.set_timer(number);
    }

    /// Sets the timer of a member to what it is due for.
    fn set_timer(&mut self, number: usize) {
        let late = self.rng.random_range(0..=TIMER_LATE);
        let instance = &mut self.instances[number];
        let Some(member) = &instance.member else { return };
        let due = micros(member.due().saturating_duration_since(self.base)).max(self.now) + late;
        if due < instance.timer || instance.timer <= self.now {
            instance.timer = due;
            let run = instance.run;
            self.schedule(due, Event::Timer(number, run));
        }
    }

    fn timer(&mut self, number: usize, run: u32) {
        let now = self.instant();
        let instance = &mut self.instances[number];
        if instance.run != run || instance.timer != self.now {
            return;
        }
        let digest = instance.digest();
        let Some(member) = &mut instance.member else { return };
        let out = if member.due() <= now { member.tick(now, digest) } else { Vec::new() };
        instance.timer = 0;
        self.send(number, out);
        self.set_timer(number);
    }

    fn arrive(&mut self, flight: usize) {
        let to = self.flights[&flight].to;
        let now = self.instant();
        let instance = &mut self.instances[to];
        if instance.busy_until > self.now {
            let until = instance.busy_until;
            self.schedule(until, Event::Arrive(flight));
            return;
        }
        let Some(Flight { datagram, .. }) = self.flights.remove(&flight) else { return };
        let instance = &mut self.instances[to];
        let digest = instance.digest();
        let Instance { member: Some(member), suspicions, .. } = instance else { return };
        let mut out = member.receive(now, &datagram, digest);
        suspicions.merge_received(now, member);
        out.extend(suspicions.send_missing(now, member, &datagram, digest));
        instance.busy_until = self.now + micros(self.fleet.work);
        self.send(to, out);
        self.set_timer(to);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, datagram } in out {
            let Some(to) = self.numbers.get(&to).copied() else { continue };
            let distance = self.distance(from, to);
            let size = bergamot_wire::encode(datagram.clone()).len() as u64;
            let sent = &mut self.instances[from].sent;
            sent.messages += 1;
            sent.bytes += size;
            sent.between_zones += if distance > 0 { size } else { 0 };
            sent.between_regions += if distance > 1 { size } else { 0 };
            if self.instances[from].side != self.instances[to].side
                || self.rng.random_bool(self.fleet.loss)
            {
                continue;
            }
            let way = WAYS[distance];
            let jitter = self.rng.random_range(0..=way / 10);
            let flight = self.next_flight;
            self.next_flight += 1;
            self.flights.insert(flight, Flight { to, datagram });
            self.schedule(self.now + way + jitter, Event::Arrive(flight));
        }
    }

    /// Returns the index into [`WAYS`].
    fn distance(&self, a: usize, b: usize) -> usize {
        let (a, b) = (self.instances[a].zone, self.instances[b].zone);
        match () {
            () if a == b => 0,
            () if a / 2 == b / 2 => 1,
            () => 2,
        }
    }

    fn look(&mut self) {
        let numbers = || self.instances.iter().enumerate();
        let dead = numbers().filter(|(_, instance)| instance.member.is_none());
        let dead: Vec<Endpoint> = dead.map(|(number, _)| endpoint(number)).collect();
        let living = || self.instances.iter().filter_map(|instance| instance.member.as_ref());
        let mut known = Vec::new();
        let mut mourned = 0;
        for view in living().map(Membership::view) {
            let wrongly = dead.iter().filter(|dead| view.takes_work(**dead)).count();
            known.push(view.available_count() - wrongly);
            mourned = mourned.max(wrongly);
        }
        let all = known.len().max(1) as f64;
        known.sort_unstable();
        let share = |index: usize| known.get(index).map_or(1.0, |known| *known as f64 / all);
        let same = |view: &View| {
            let mut others = living().map(|member| member.view().available().map(place));
            others.all(|other| view.available().map(place).eq(other))
        };
        let now = self.instant();
        let condemns = |instance: &&Instance| {
            matches!(instance.quarantine.standing(now, || FATAL), Standing::Condemned(_))
        };
        let alive = self.instances.iter().filter(|instance| instance.member.is_some());
        let condemning = alive.filter(condemns).count();
        self.report.samples.push(Sample {
            at: Duration::from_micros(self.now),
            least: share(0),
            median: share(known.len() / 2),
            mourned,
            condemning: condemning as f64 / all,
            agreed: living().next().is_none_or(|member| same(member.view())),
        });
        self.report.sent.push(self.instances.iter().map(|instance| instance.sent).collect());
    }
}

fn place(record: &Record) -> Endpoint {
    record.endpoint
}

fn endpoint(number: usize) -> Endpoint {
    let [a, b] = ((number + 1) as u16).to_be_bytes();
    Endpoint { ip: Ipv4Addr::new(10, 0, a, b), role: Role::Entry }
}
