//! A fleet that follows a store, on virtual time: the feed as it is, over links and a store that
//! are functions.
//!
//! Each member has a link of a given rate, which carries one message after the other each way;
//! messages take a time between members, longer between regions. The store answers after a
//! time and carries as much at once as is asked of it. Processor time isn't charged.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError, atomic};
use std::time::Duration;

use bergamot_base::Name;
use bergamot_feed::{
    Duty, Members, News, Outcome, Question, Reading, Record, Roster, Settings, Shared, Sink,
    Source, Trouble, ancestors, follow,
};
use bergamot_wire::Item;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::store::{KEY, Store, decode};

/// How large a message is besides what it carries, in bytes.
const HEAD: usize = 200;

/// How long a message takes within a region, and between two.
const NEAR: Duration = Duration::from_micros(1400);
const FAR: Duration = Duration::from_millis(8);

/// How long an answer with news and one with chunks may take beyond the time that the question
/// may wait, as the daemon has it.
const ANSWER: Duration = Duration::from_millis(250);
const ANSWER_WITH_CHUNKS: Duration = Duration::from_millis(800);

/// How long the fleet runs before the first change, and after the last one.
pub const CALM: Duration = Duration::from_secs(3);

/// What happens.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub members: usize,
    pub regions: usize,
    /// How many routes the declaration has.
    pub routes: usize,
    /// The pause between a change and the next one.
    pub pause: Duration,
    /// How long changes go on.
    pub lasts: Duration,
    /// What a member's link carries in a second, in bytes.
    pub rate: u64,
    /// How much longer the store takes to answer.
    pub store_late: Duration,
    /// When the reader of the first region is lost, from the first change on.
    pub killed: Option<Duration>,
    /// Whether the store is restored from a copy.
    pub restored: Option<Restored>,
}

/// A restore of the store from a copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Restored {
    /// When the store goes away, from the first change on.
    pub at: Duration,
    /// For how long.
    pub away: Duration,
    /// How many versions the copy lacks.
    pub lost: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            members: 6,
            regions: 3,
            routes: 18,
            pause: Duration::from_millis(50),
            lasts: Duration::from_secs(8),
            rate: 125_000_000,
            store_late: Duration::ZERO,
            killed: None,
            restored: None,
        }
    }
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The longest time for which a member had an older version in force than the operator had
    /// seen acknowledged.
    pub latest: Duration,
    /// How many members don't have the last version in force at the end.
    pub behind: usize,
    /// How many bytes the busiest member sent.
    pub busiest: u64,
    /// How many calls the store had.
    pub calls: usize,
    /// The most bytes of chunks that any member held.
    pub held: usize,
}

/// A link that carries one message after the other.
#[derive(Debug, Default)]
struct Lane {
    free: Option<Instant>,
}

impl Lane {
    /// Takes up a message, and tells when all of it has passed.
    fn carry(&mut self, now: Instant, bytes: usize, rate: u64) -> Instant {
        let begins = self.free.map_or(now, |free| free.max(now));
        let ends = begins + Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.free = Some(ends);
        ends
    }
}

#[derive(Debug, Default)]
struct Link {
    up: Mutex<Lane>,
    down: Mutex<Lane>,
}

struct Member {
    ip: Ipv4Addr,
    region: usize,
    shared: Arc<Shared>,
    link: Link,
    stop: CancellationToken,
}

impl Member {
    fn is_lost(&self) -> bool {
        self.stop.is_cancelled()
    }
}

struct World {
    load: Load,
    members: Vec<Member>,
    store: Store,
    /// When each member put which version in force.
    in_force: Mutex<Vec<Vec<(Instant, u64)>>>,
}

/// Returns the position of the member at an address.
fn index(ip: Ipv4Addr) -> usize {
    let [_, _, a, b] = ip.octets();
    u16::from_be_bytes([a, b]).into()
}

impl World {
    fn new(load: Load) -> Self {
        let member = |index: usize| {
            let [a, b] = (index as u16).to_be_bytes();
            Member {
                ip: Ipv4Addr::new(10, 1, a, b),
                region: index % load.regions,
                shared: Arc::default(),
                link: Link::default(),
                stop: CancellationToken::new(),
            }
        };
        Self {
            members: (0..load.members).map(member).collect(),
            store: Store::new(load.routes, load.store_late),
            in_force: Mutex::new(vec![Vec::new(); load.members]),
            load,
        }
    }

    /// Carries a message between members, or to one from the store.
    async fn carry(&self, from: Option<usize>, to: usize, bytes: usize) {
        let lock = |lane: &Mutex<Lane>| {
            let (now, rate) = (Instant::now(), self.load.rate);
            lane.lock().unwrap_or_else(PoisonError::into_inner).carry(now, bytes + HEAD, rate)
        };
        let to = &self.members[to];
        if let Some(from) = from.map(|from| &self.members[from]) {
            sleep_until(lock(&from.link.up)).await;
            sleep(if from.region == to.region { NEAR } else { FAR }).await;
        }
        sleep_until(lock(&to.link.down)).await;
        if to.is_lost() || from.is_some_and(|from| self.members[from].is_lost()) {
            std::future::pending::<()>().await;
        }
    }

    /// Asks a member a question, and brings its answer back.
    async fn exchange<T>(
        &self,
        (asker, asked): (usize, usize),
        within: Duration,
        answer: impl AsyncFnOnce(&Shared) -> (T, usize),
    ) -> Result<T, Trouble> {
        let exchange = async {
            self.carry(Some(asker), asked, 0).await;
            let (answer, bytes) = answer(&self.members[asked].shared).await;
            self.carry(Some(asked), asker, bytes).await;
            answer
        };
        timeout(within, exchange).await.map_err(|_elapsed| Trouble::Silent)
    }

    /// Says who does what for a member's news, as the daemon does where all know each other.
    fn roster(&self, own: usize) -> Roster {
        let load = &self.load;
        let alive: Vec<usize> =
            (0..load.members).filter(|member| !self.members[*member].is_lost()).collect();
        let of = |region: usize| {
            let near = alive.iter().copied().filter(move |member| member % load.regions == region);
            near.collect::<Vec<usize>>()
        };
        let here = own % load.regions;
        let order = std::iter::once(here).chain((0..load.regions).filter(|region| *region != here));
        let regions: Vec<Vec<usize>> = order.map(of).collect();
        let at = |rank: usize| {
            let members = regions.iter().filter_map(move |members| members.get(rank).copied());
            members.collect::<Vec<usize>>()
        };
        let (first, second) = (at(0), at(1));
        let duty = match () {
            () if first.contains(&own) => Duty::Reader,
            () if second.contains(&own) => Duty::Deputy,
            () => Duty::Follower,
        };
        let ip = |member: usize| self.members[member].ip;
        let others = first.into_iter().chain(second).filter(|member| *member != own);
        let readers: Vec<Ipv4Addr> = others.map(ip).collect();
        let position = regions[0].iter().position(|member| *member == own).unwrap_or(0);
        let mut lineage: Vec<Ipv4Addr> =
            ancestors(position).map(|position| ip(regions[0][position])).collect();
        let further: Vec<Ipv4Addr> =
            readers.iter().filter(|ip| !lineage.contains(ip)).copied().collect();
        lineage.extend(further);
        Roster { duty, readers, lineage, fleet: alive.len() }
    }

    /// Brings what the store has told to a member.
    async fn bring(&self, own: usize, outcome: Outcome) -> Outcome {
        let (records, at) = outcome?;
        self.carry(None, own, bytes_of(&records)).await;
        Ok((records, at))
    }

    /// Names a member that has a later version in force, as probes tell within a second.
    fn ahead(&self, version: u64) -> Option<Ipv4Addr> {
        let in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = (0..self.load.members).filter(|member| !self.members[*member].is_lost());
        let known = |member: &usize| in_force[*member].last().map_or(0, |(_, known)| *known);
        let first = alive.max_by_key(known).filter(|member| known(member) > version);
        first.map(|member| self.members[member].ip)
    }

    fn note(&self, own: usize, revision: u64) {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        // The declaration in force never falls: the daemon's floor sees to it.
        if in_force[own].last().is_none_or(|(_, known)| *known < revision) {
            in_force[own].push((Instant::now(), revision));
        }
    }

    /// Returns the longest time for which a member was behind, until a moment.
    fn lag(&self, own: usize, end: Instant) -> Duration {
        let in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let steps = &in_force[own];
        let ends = steps.iter().skip(1).map(|(at, _)| *at).chain([end]);
        let gap = |((_, revision), until): (&(Instant, u64), Instant)| {
            let next = self.store.next_after(*revision);
            next.map_or(Duration::ZERO, |acknowledged| until.duration_since(acknowledged))
        };
        steps.iter().zip(ends).map(gap).max().unwrap_or_default()
    }
}

fn bytes_of(records: &[Record]) -> usize {
    records.iter().filter_map(|record| record.value.as_ref()).map(Vec::len).sum()
}

/// The store as a member reaches it.
fn source(world: &Arc<World>, own: usize) -> Source {
    let w = || Arc::clone(world);
    let (listing, watching, looking) = (w(), w(), w());
    Source {
        list: Box::new(move || {
            let world = Arc::clone(&listing);
            Box::pin(async move { world.bring(own, world.store.list().await).await }) as Reading
        }),
        watch: Box::new(move |after, scope, wait| {
            let world = Arc::clone(&watching);
            Box::pin(async move {
                let told = world.store.watch(after, scope, wait.news).await;
                wait.arriving.store(true, atomic::Ordering::Relaxed);
                world.bring(own, told).await
            })
        }),
        lookup: Box::new(move |_key| {
            let world = Arc::clone(&looking);
            Box::pin(async move {
                let found = world.store.lookup().await?;
                world.carry(None, own, bytes_of(found.record.as_slice())).await;
                Ok(found)
            })
        }),
        declaration: Name::from(KEY),
        decode,
    }
}

/// The other members as one of them knows and reaches them.
fn others(world: &Arc<World>, own: usize) -> Members {
    let w = || Arc::clone(world);
    let (rostering, asking, fetching, comparing, adopting) = (w(), w(), w(), w(), w());
    Members {
        roster: Box::new(move || Some(rostering.roster(own))),
        ask: Box::new(move |ip, query| {
            let world = Arc::clone(&asking);
            Box::pin(async move {
                let peers = (own, index(ip));
                let answer = async |shared: &Shared| {
                    let news = shared.news(query).await;
                    let bytes = news.items.iter().map(Item::size).sum();
                    (news, bytes)
                };
                world.exchange(peers, query.wait + ANSWER, answer).await
            }) as Question<bergamot_wire::News>
        }),
        fetch: Box::new(move |ip, hashes, wait| {
            let world = Arc::clone(&fetching);
            Box::pin(async move {
                let peers = (own, index(ip));
                let answer = async |shared: &Shared| {
                    let bodies = shared.chunks(&hashes, wait).await;
                    let bytes = bodies.iter().map(Vec::len).sum();
                    (bodies, bytes)
                };
                world.exchange(peers, wait + ANSWER_WITH_CHUNKS, answer).await
            })
        }),
        ahead: Box::new(move |version| comparing.ahead(version)),
        record: Box::new(move |ip, key| {
            let world = Arc::clone(&adopting);
            Box::pin(async move {
                let answer = async |shared: &Shared| {
                    let item = shared.item(&key);
                    let bytes = item.as_ref().map_or(0, Item::size);
                    (item, bytes)
                };
                world.exchange((own, index(ip)), ANSWER, answer).await
            })
        }),
    }
}

fn start(world: &Arc<World>, own: usize) {
    let noting = Arc::clone(world);
    let sink = Sink {
        news: Box::new(move |news| {
            if let News::Declared(declaration) = news {
                noting.note(own, declaration.version);
            }
        }),
        away: Box::new(|_, _| {}),
        restored: Box::new(|_, _| {}),
        behind: Box::new(|| false),
        wanted: Box::new(|| false),
        asked: Box::new(|_| {}),
    };
    let member = &world.members[own];
    let (shared, stop) = (Arc::clone(&member.shared), member.stop.clone());
    tokio::spawn(follow(
        source(world, own),
        others(world, own),
        sink,
        shared,
        Settings::default(),
        stop,
    ));
}

/// Lets the store go away, and come back from a copy.
async fn restore(world: &World, Restored { away, lost, .. }: Restored) {
    world.store.leave();
    sleep(away).await;
    world.store.restore(lost);
}

async fn play(load: Load) -> Seen {
    let world = Arc::new(World::new(load));
    world.store.publish();
    for own in 0..load.members {
        start(&world, own);
    }
    sleep(CALM).await;
    let sent_before: Vec<u64> = world.members.iter().map(|member| member.shared.sent()).collect();
    let calls_before = world.store.calls();
    let begun = Instant::now();
    let (mut held, mut restored) = (0, false);
    while begun.elapsed() < load.lasts {
        world.store.publish();
        sleep(load.pause).await;
        if load.restored.is_some_and(|restored| begun.elapsed() >= restored.at) && !restored {
            restored = true;
            restore(&world, load.restored.unwrap_or_default()).await;
        }
        if load.killed.is_some_and(|killed| begun.elapsed() >= killed) {
            world.members[0].stop.cancel();
        }
        held = held.max(world.members.iter().map(|member| member.shared.held()).max().unwrap_or(0));
    }
    let end = Instant::now();
    sleep(CALM).await;
    let alive: BTreeSet<usize> =
        (0..load.members).filter(|own| !world.members[*own].is_lost()).collect();
    let last = world.store.last();
    let sent = (0..load.members).map(|own| world.members[own].shared.sent() - sent_before[own]);
    let in_force = world.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let has_last = |own: &usize| in_force[*own].last().is_some_and(|(_, known)| *known == last);
    let seen = Seen {
        latest: alive.iter().map(|own| world.lag(*own, end)).max().unwrap_or_default(),
        behind: alive.iter().filter(|own| !has_last(own)).count(),
        busiest: sent.max().unwrap_or(0),
        calls: world.store.calls() - calls_before,
        held,
    };
    for member in &world.members {
        member.stop.cancel();
    }
    seen
}

/// Plays a load on virtual time.
pub fn run(load: Load) -> Seen {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(play(load))
}
