//! Simulation of ways to limit the requests that a whole fleet sends to cold searchers.
//!
//! All replicas of one shard are cold at the same time, so that there is no other searcher to ask.
//! Members differ in what they know of each other, and a [`Way`] decides from that whether a
//! request may be sent. The [`Outcome`] compares the requests that one searcher received in a
//! second with its limit, and says how many requests could be served. Invariant: the same
//! [`ColdStart`] gives the same [`Outcome`].

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Seed, hash_pair};
use bergamot_placement::{Application, Issuer};
use bergamot_registry::Incarnation;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// The number of replicas of the shard.
const REPLICAS: usize = 3;

/// How long the searchers are cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// The time over which the requests to a searcher are limited.
const SECOND: Duration = Duration::from_secs(1);

/// The longest time from sending a request to its arrival at a searcher.
const MAX_LATENCY: Duration = Duration::from_millis(10);

/// The number of members that issue permits: the seeds of the settings.
const SEEDS: usize = 3;

/// How the requests of all members to a cold searcher are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each member may send an equal share of the limit, by the members that it knows.
    EqualShares,
    /// Only one member may send, the owner of the searcher among those that a member knows.
    Owner,
    /// The owner issues permits to the others; it counts on one other owner at the same time.
    OwnerPermits,
    /// The seeds of the settings issue permits to the others.
    SeedPermits,
    /// Nobody sends anything.
    Nothing,
}

/// What members know of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Every member knows all others.
    Complete,
    /// A third of the members and the others cannot reach each other, and take each other for gone.
    Split,
    /// A sixth of the members can reach nobody, and take all others for gone.
    Isolated,
    /// Members have just started, and each knows some of the others.
    Partial,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The seed of all random values.
    pub seed: u64,
    /// The number of members.
    pub members: usize,
    /// The number of members that receive requests.
    pub serving: usize,
    /// How requests are limited.
    pub way: Way,
    /// What members know of each other.
    pub knowledge: Knowledge,
    /// The number of requests per second that the fleet receives.
    pub requests_per_s: f64,
    /// The number of requests that a searcher may receive in any second.
    pub limit: f64,
    /// How long after the searchers became cold the last member learns of it.
    pub notice: Duration,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The most requests that a searcher received in any second.
    pub most: usize,
    /// The fraction of the requests that were sent to a searcher.
    pub served: f64,
    /// The number of messages between members for each request.
    pub messages: f64,
}

/// Simulates a cold start.
pub fn run(load: &ColdStart) -> Outcome {
    let mut fleet = Fleet::new(load);
    let gap = 1.0 / load.requests_per_s;
    let (mut at, mut requests, mut sent) = (Duration::ZERO, 0, 0);
    while at < COLD_TIME {
        let member = fleet.rng.random_range(0..load.serving);
        requests += 1;
        sent += usize::from(fleet.handle(member, at));
        at += Duration::from_secs_f64(-gap * fleet.rng.random_range(0.001..1.0_f64).ln());
    }
    let most = fleet.arrivals.values_mut().map(|times| most_in_a_second(times)).max();
    Outcome {
        most: most.unwrap_or(0),
        served: f64::from(sent as u32) / f64::from(requests),
        messages: f64::from(fleet.messages) / f64::from(requests),
    }
}

fn most_in_a_second(times: &mut [Duration]) -> usize {
    times.sort();
    let within = |first: usize| {
        let end = times[first] + SECOND;
        times[first..].partition_point(|at| *at < end)
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

struct Fleet<'a> {
    load: &'a ColdStart,
    rng: StdRng,
    /// The time at which the searchers become cold.
    start: Instant,
    /// The members that each member takes for alive, including itself.
    views: Vec<Vec<usize>>,
    /// When each member learns that the searchers are cold.
    notices: Vec<Duration>,
    /// What each member has sent to, or granted for, each searcher.
    spent: BTreeMap<(usize, usize), VecDeque<Duration>>,
    issuers: Vec<Issuer>,
    arrivals: BTreeMap<usize, Vec<Duration>>,
    messages: u32,
}

impl<'a> Fleet<'a> {
    fn new(load: &'a ColdStart) -> Self {
        let mut rng = Seed(load.seed).generator("cold");
        let views = (0..load.members).map(|member| view(load, member, &mut rng)).collect();
        let notices =
            (0..load.members).map(|_| load.notice.mul_f64(rng.random_range(0.0..=1.0))).collect();
        let begin = Instant::now();
        let has_just_started = load.knowledge == Knowledge::Partial;
        let start = if has_just_started { begin } else { begin + COLD_TIME };
        let mut issuers = vec![Issuer::default(); SEEDS.min(load.members)];
        for issuer in &mut issuers {
            issuer.set_issuers(Some(SEEDS), begin);
        }
        let (spent, arrivals) = (BTreeMap::new(), BTreeMap::new());
        Self { load, rng, start, views, notices, spent, issuers, arrivals, messages: 0 }
    }

    /// Handles a request at a member, and returns whether it was sent to a searcher.
    fn handle(&mut self, member: usize, at: Duration) -> bool {
        // Members near the same searcher prefer it.
        let searcher = member % REPLICAS;
        let knows = at >= self.notices[member];
        let is_sent = !knows || self.may_send(member, searcher, at);
        if is_sent {
            let latency = MAX_LATENCY.mul_f64(self.rng.random_range(0.0..=1.0));
            self.arrivals.entry(searcher).or_default().push(at + latency);
        }
        is_sent
    }

    fn may_send(&mut self, member: usize, searcher: usize, at: Duration) -> bool {
        let limit = self.load.limit;
        match self.load.way {
            Way::Nothing => false,
            Way::EqualShares => {
                let share = limit / self.views[member].len() as f64;
                self.spend((member, searcher), share, at)
            }
            Way::Owner => {
                self.owner(member, searcher) == member
                    && self.spend((member, searcher), limit / 2.0, at)
            }
            Way::OwnerPermits => {
                let owner = self.owner(member, searcher);
                self.messages += u32::from(owner != member);
                self.owner(owner, searcher) == owner
                    && self.spend((owner, searcher), limit / 2.0, at)
            }
            Way::SeedPermits => self.request_permit(member, searcher, at),
        }
    }

    /// Spends one of the requests that a member may send or grant in a second.
    fn spend(&mut self, key: (usize, usize), share: f64, at: Duration) -> bool {
        let spent = self.spent.entry(key).or_default();
        while spent.front().is_some_and(|first| *first + SECOND + MAX_LATENCY <= at) {
            spent.pop_front();
        }
        let has_left = ((spent.len() + 1) as f64) <= share;
        if has_left {
            spent.push_back(at);
        }
        has_left
    }

    /// Returns the owner of a searcher among the members that one takes for alive.
    fn owner(&self, member: usize, searcher: usize) -> usize {
        let weight = |other: &&usize| hash_pair(searcher as u64, **other as u64);
        self.views[member].iter().max_by_key(weight).copied().unwrap_or(member)
    }

    fn request_permit(&mut self, member: usize, searcher: usize, at: Duration) -> bool {
        let now = self.start + at;
        let id = Incarnation { id: Name::from(searcher.to_string()), start_time_ms: None };
        let application = Application { searchers: vec![(id, self.load.limit)], needed: 1 };
        let mut seeds: Vec<usize> = (0..self.issuers.len()).collect();
        seeds.shuffle(&mut self.rng);
        let reachable = |seed: &usize| can_reach(self.load, member, *seed);
        for seed in seeds.into_iter().filter(reachable) {
            self.messages += u32::from(seed != member);
            if self.issuers[seed].issue(&application, now)[0] {
                return true;
            }
        }
        false
    }
}

/// Returns whether two members can reach each other.
fn can_reach(load: &ColdStart, member: usize, other: usize) -> bool {
    let part = |member: usize| match load.knowledge {
        Knowledge::Split => usize::from(member.is_multiple_of(3)),
        Knowledge::Isolated if member.is_multiple_of(6) => member + 1,
        Knowledge::Complete | Knowledge::Isolated | Knowledge::Partial => 0,
    };
    part(member) == part(other)
}

/// Returns the members that one takes for alive.
fn view(load: &ColdStart, member: usize, rng: &mut StdRng) -> Vec<usize> {
    let known_part = match load.knowledge {
        Knowledge::Partial => rng.random_range(0.0..1.0),
        Knowledge::Complete | Knowledge::Split | Knowledge::Isolated => 1.0,
    };
    let mut is_known = |other: &usize| {
        *other == member || (can_reach(load, member, *other) && rng.random_bool(known_part))
    };
    (0..load.members).filter(|other| is_known(other)).collect()
}
