//! The simulated network of a fleet and the timers of its members.

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
use crate::simulation::{Micros, micros};

/// The interval between samples of the views.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// One-way latencies within a zone, between zones of a region, and between regions.
const ONE_WAY_LATENCIES: [Micros; 3] = [200, 1_400, 8_000];

/// The fingerprint of the request that [`Step::Condemn`] condemns.
const CONDEMNED_REQUEST: Fingerprint = Fingerprint(1);

/// The maximum delay with which timers fire.
const MAX_TIMER_DELAY: Micros = 2_000;

/// The protocol periods that the users' platform is configured with.
const TIMING: Timing = Timing {
    probe: Duration::from_millis(300),
    answer: Duration::from_millis(120),
    suspicion: Duration::from_millis(1200),
};

/// Simulates a fleet to the end of its run.
pub fn run(fleet: &Fleet) -> Report {
    Simulation::new(fleet).run()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    Start(usize),
    /// The timer of a member, with the number of its run.
    Timer(usize, u32),
    /// A datagram in flight reaches its receiver.
    Arrive(usize),
    Sample,
}

struct InFlight {
    to: usize,
    datagram: Datagram,
}

struct Instance {
    zone: usize,
    run: u32,
    member: Option<Membership>,
    suspicions: Suspicions,
    quarantine: Arc<Quarantine>,
    /// The network partition that it belongs to.
    partition: usize,
    busy_until: Micros,
    /// The time at which its timer fires.
    timer_at: Micros,
    sent: Traffic,
}

impl Instance {
    fn digest(&self) -> Digest {
        Digest { suspicions: self.suspicions.hash(), fresh: true, ..Digest::default() }
    }
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    base: Instant,
    now: Micros,
    instances: Vec<Instance>,
    indices: HashMap<Endpoint, usize>,
    seeds: Vec<usize>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    last_sequence: u64,
    flights: HashMap<usize, InFlight>,
    next_flight: usize,
    rng: StdRng,
    report: Report,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let instance = |number: usize| Instance {
            zone: number % fleet.zones,
            run: 0,
            member: None,
            suspicions: Suspicions::new(Arc::default()),
            quarantine: Arc::default(),
            partition: 0,
            busy_until: 0,
            timer_at: 0,
            sent: Traffic::default(),
        };
        let mut simulation = Self {
            fleet,
            base: Instant::now(),
            now: 0,
            instances: (0..fleet.members).map(instance).collect(),
            indices: (0..fleet.members).map(|number| (endpoint(number), number)).collect(),
            seeds: fleet.seeds.clone(),
            events: BinaryHeap::new(),
            last_sequence: 0,
            flights: HashMap::new(),
            next_flight: 0,
            rng: Seed(fleet.seed).generator("fleet"),
            report: Report { samples: Vec::new(), sent: Vec::new() },
        };
        for (index, (at, _)) in fleet.steps.iter().enumerate() {
            simulation.schedule(micros(*at), Event::Step(index));
        }
        simulation.schedule(0, Event::Sample);
        simulation
    }

    fn run(mut self) -> Report {
        let end = micros(self.fleet.duration);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match event {
                Event::Step(index) => self.apply_step(&self.fleet.steps[index].1),
                Event::Start(number) => self.start(number),
                Event::Timer(number, run) => self.timer(number, run),
                Event::Arrive(flight) => self.arrive(flight),
                Event::Sample => {
                    self.sample_views();
                    self.schedule(at + micros(SAMPLE_INTERVAL), Event::Sample);
                }
            }
        }
        self.report
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((at, self.last_sequence, event)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Start(members, within) => {
                for member in members {
                    let delay = self.rng.random_range(0..=micros(*within));
                    self.schedule(self.now + delay, Event::Start(*member));
                }
            }
            Step::Stop(members) => {
                for member in members {
                    self.instances[*member].member = None;
                }
            }
            Step::Partition(members) => {
                for member in members {
                    self.instances[*member].partition = 1;
                }
            }
            Step::Heal => self.instances.iter_mut().for_each(|instance| instance.partition = 0),
            Step::Condemn(member) => self.condemn(*member),
            Step::SetSeeds(seeds) => {
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
            quarantine.record_strike(now, CONDEMNED_REQUEST, strike, &Name::from("shard"));
        }
        suspicions.gossip_new(now, member);
        self.set_timer(number);
    }

    fn seed_endpoints(&self) -> Vec<Endpoint> {
        self.seeds.iter().map(|number| endpoint(*number)).collect()
    }

    fn start(&mut self, number: usize) {
        let (now, seeds) = (self.instant(), self.seed_endpoints());
        let clock_offset = self.rng.random_range(0..=micros(self.fleet.max_clock_skew)) / 1000;
        // An arbitrary offset, so that no clock starts at zero.
        let clock = 1_000_000 + self.now / 1000 + clock_offset;
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
            protocol: 0,
        };
        let rng = Seed(self.rng.random()).generator("member");
        instance.member = Some(Membership::new(now, TIMING, me, seeds, rng));
        instance.quarantine = Arc::default();
        instance.suspicions = Suspicions::new(Arc::clone(&instance.quarantine));
        instance.timer_at = Micros::MAX;
        self.set_timer(number);
    }

    /// Schedules the timer of a member for the next time at which the member is due.
    fn set_timer(&mut self, number: usize) {
        let late = self.rng.random_range(0..=MAX_TIMER_DELAY);
        let instance = &mut self.instances[number];
        let Some(member) = &instance.member else { return };
        let due = micros(member.due().saturating_duration_since(self.base)).max(self.now) + late;
        if due < instance.timer_at || instance.timer_at <= self.now {
            instance.timer_at = due;
            let run = instance.run;
            self.schedule(due, Event::Timer(number, run));
        }
    }

    fn timer(&mut self, number: usize, run: u32) {
        let now = self.instant();
        let instance = &mut self.instances[number];
        if instance.run != run || instance.timer_at != self.now {
            return;
        }
        let digest = instance.digest();
        let Some(member) = &mut instance.member else { return };
        let out = if member.due() <= now { member.tick(now, digest) } else { Vec::new() };
        instance.timer_at = 0;
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
        let Some(InFlight { datagram, .. }) = self.flights.remove(&flight) else { return };
        let instance = &mut self.instances[to];
        let digest = instance.digest();
        let Instance { member: Some(member), suspicions, .. } = instance else { return };
        let mut out = member.receive(now, &datagram, digest);
        suspicions.merge_received(now, member);
        out.extend(suspicions.send_missing(now, member, &datagram, digest));
        instance.busy_until = self.now + micros(self.fleet.processing_time);
        self.send(to, out);
        self.set_timer(to);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, datagram } in out {
            let Some(to) = self.indices.get(&to).copied() else { continue };
            let distance = self.distance(from, to);
            let size = bergamot_wire::encode(datagram.clone()).len() as u64;
            let sent = &mut self.instances[from].sent;
            sent.messages += 1;
            sent.bytes += size;
            sent.between_zones += if distance > 0 { size } else { 0 };
            sent.between_regions += if distance > 1 { size } else { 0 };
            if self.instances[from].partition != self.instances[to].partition
                || self.rng.random_bool(self.fleet.loss)
            {
                continue;
            }
            let latency = ONE_WAY_LATENCIES[distance];
            let jitter = self.rng.random_range(0..=latency / 10);
            let flight = self.next_flight;
            self.next_flight += 1;
            self.flights.insert(flight, InFlight { to, datagram });
            self.schedule(self.now + latency + jitter, Event::Arrive(flight));
        }
    }

    /// Returns the index into [`ONE_WAY_LATENCIES`] for two members.
    fn distance(&self, a: usize, b: usize) -> usize {
        let (a, b) = (self.instances[a].zone, self.instances[b].zone);
        match () {
            () if a == b => 0,
            () if a / 2 == b / 2 => 1,
            () => 2,
        }
    }

    fn sample_views(&mut self) {
        let indexed = || self.instances.iter().enumerate();
        let stopped = indexed().filter(|(_, instance)| instance.member.is_none());
        let stopped: Vec<Endpoint> = stopped.map(|(number, _)| endpoint(number)).collect();
        let members = || self.instances.iter().filter_map(|instance| instance.member.as_ref());
        let mut known = Vec::new();
        let mut max_stale = 0;
        for view in members().map(Membership::view) {
            let stale = stopped.iter().filter(|endpoint| view.takes_work(**endpoint)).count();
            known.push(view.available_count() - stale);
            max_stale = max_stale.max(stale);
        }
        let all = known.len().max(1) as f64;
        known.sort_unstable();
        let share = |index: usize| known.get(index).map_or(1.0, |known| *known as f64 / all);
        let same = |view: &View| {
            let mut others = members().map(|member| member.view().available().map(record_endpoint));
            others.all(|other| view.available().map(record_endpoint).eq(other))
        };
        let now = self.instant();
        let condemned = |instance: &&Instance| {
            matches!(
                instance.quarantine.standing(now, || CONDEMNED_REQUEST),
                Standing::Condemned(_)
            )
        };
        let running = self.instances.iter().filter(|instance| instance.member.is_some());
        let condemned_count = running.filter(condemned).count();
        self.report.samples.push(Sample {
            at: Duration::from_micros(self.now),
            min_known: share(0),
            median_known: share(known.len() / 2),
            max_stale,
            condemned: condemned_count as f64 / all,
            agreed: members().next().is_none_or(|member| same(member.view())),
        });
        self.report.sent.push(self.instances.iter().map(|instance| instance.sent).collect());
    }
}

fn record_endpoint(record: &Record) -> Endpoint {
    record.endpoint
}

fn endpoint(number: usize) -> Endpoint {
    let [a, b] = ((number + 1) as u16).to_be_bytes();
    Endpoint { ip: Ipv4Addr::new(10, 0, a, b), role: Role::Entry }
}
