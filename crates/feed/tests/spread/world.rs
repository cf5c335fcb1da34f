//! A fleet that follows a store, on virtual time: the feed as it is, over links and a store that
//! are functions.
//!
//! Each member has a link of a given rate, which carries one message after the other each way;
//! messages take a time between members, longer between regions. The store answers after a
//! time and carries as much at once as is asked of it. Processor time isn't charged.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, Position, hash_bytes};
use bergamot_declaration::Declaration;
use bergamot_feed::{
    Duty, Found, Members, News, Outcome, Question, Reading, Record, Roster, Scope, Settings,
    Shared, Sink, Source, Trouble, Wait, ancestors, follow,
};
use bergamot_wire::Item;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// The only key of the store.
const KEY: &str = "declaration";

/// How large a message is besides what it carries, in bytes.
const HEAD: usize = 200;

/// How long the store takes to answer.
const STORE: Duration = Duration::from_millis(4);

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

/// The versions of the declaration, with the moment at which each was acknowledged.
#[derive(Debug, Default)]
struct History {
    /// By revision; the first is revision 2.
    versions: Vec<(Instant, Arc<[u8]>)>,
    calls: usize,
}

impl History {
    fn revision(&self) -> u64 {
        1 + self.versions.len() as u64
    }

    fn after(&self, revision: u64) -> Vec<Record> {
        let newer = self.versions.iter().enumerate().skip(revision.saturating_sub(1) as usize);
        newer
            .map(|(index, (_, value))| Record {
                key: Name::from(KEY),
                value: Some(value.to_vec()),
                position: Position::from(index as u64 + 2),
                version: Some(index as u64 + 2),
            })
            .collect()
    }
}

struct World {
    load: Load,
    members: Vec<Member>,
    history: Mutex<History>,
    published: watch::Sender<u64>,
    /// When each member put which revision in force.
    in_force: Mutex<Vec<Vec<(Instant, u64)>>>,
}

/// Returns how many bytes a declaration of so many routes has.
pub fn size(routes: usize) -> usize {
    // Later versions are some bytes longer.
    declaration(routes, 1 << 20).len()
}

/// Returns the position of the member at an address.
fn index(ip: Ipv4Addr) -> usize {
    let [_, _, a, b] = ip.octets();
    u16::from_be_bytes([a, b]).into()
}

/// A declaration of so many routes, of which one has changed since the version before.
fn declaration(routes: usize, version: u64) -> Arc<[u8]> {
    let head = format!("{version:020}{}", "service ".repeat(600));
    let route = |number: usize| {
        let name = hash_bytes(&number.to_le_bytes());
        // The last version that changed this route.
        let turns = version.saturating_sub(number as u64) / routes as u64;
        let filler = format!("{name:x}").repeat(12);
        format!(r#"{{"name":"r{name:x}","service":"s{turns}","for":"{filler}"}},"#)
    };
    let body: String = (0..routes).map(route).collect();
    Arc::from(format!("{head}{body}").into_bytes())
}

#[allow(clippy::unnecessary_wraps, reason = "it is a source's")]
fn decode(record: &Record) -> Option<News> {
    let declared = Declaration { version: record.position.revision, ..Declaration::default() };
    Some(News::Declared(Box::new(declared)))
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
            history: Mutex::default(),
            published: watch::Sender::new(0),
            in_force: Mutex::new(vec![Vec::new(); load.members]),
            load,
        }
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self) {
        let mut history = self.lock();
        let value = declaration(self.load.routes, history.revision() + 1);
        history.versions.push((Instant::now(), value));
        let revision = history.revision();
        drop(history);
        self.published.send_replace(revision);
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

    async fn list(&self, own: usize) -> Outcome {
        self.lock().calls += 1;
        sleep(STORE + self.load.store_late).await;
        let (mut records, at) = {
            let history = self.lock();
            (history.after(1), Position::from(history.revision()))
        };
        // A listing names each record once.
        let records: Vec<Record> = records.pop().into_iter().collect();
        self.carry(None, own, bytes_of(&records)).await;
        Ok((records, at))
    }

    async fn watch(&self, own: usize, after: Position, scope: Scope, wait: Wait) -> Outcome {
        self.lock().calls += 1;
        let mut published = self.published.subscribe();
        sleep(STORE + self.load.store_late).await;
        let newer = published.wait_for(|revision| *revision > after.revision);
        // Searchers don't change here.
        if scope == Scope::All {
            drop(timeout(wait.news, newer).await);
        }
        let (records, at) = {
            let history = self.lock();
            let told = if scope == Scope::All { history.after(after.revision) } else { Vec::new() };
            (told, Position::from(history.revision()))
        };
        wait.arriving.store(true, std::sync::atomic::Ordering::Relaxed);
        self.carry(None, own, bytes_of(&records)).await;
        Ok((records, at))
    }

    async fn lookup(&self, own: usize) -> Result<Found, Trouble> {
        self.lock().calls += 1;
        sleep(STORE + self.load.store_late).await;
        let record = self.lock().after(1).pop();
        self.carry(None, own, bytes_of(record.as_slice())).await;
        Ok(Found { record, era: 0 })
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
        let history = self.lock();
        let steps = &in_force[own];
        let acked =
            |revision: u64| history.versions.get((revision - 2) as usize).map(|(at, _)| *at);
        let ends = steps.iter().skip(1).map(|(at, _)| *at).chain([end]);
        let gap = |((_, revision), until): (&(Instant, u64), Instant)| {
            acked(revision + 1).map_or(Duration::ZERO, |acked| until.duration_since(acked))
        };
        steps.iter().zip(ends).map(gap).max().unwrap_or_default()
    }
}

fn bytes_of(records: &[Record]) -> usize {
    records.iter().filter_map(|record| record.value.as_ref()).map(Vec::len).sum()
}

fn start(world: &Arc<World>, own: usize) {
    let w = || Arc::clone(world);
    let (listing, watching, looking, rostering) = (w(), w(), w(), w());
    let (asking, fetching, noting) = (w(), w(), w());
    let source = Source {
        list: Box::new(move || {
            let world = Arc::clone(&listing);
            Box::pin(async move { world.list(own).await }) as Reading
        }),
        watch: Box::new(move |after, scope, wait| {
            let world = Arc::clone(&watching);
            Box::pin(async move { world.watch(own, after, scope, wait).await })
        }),
        lookup: Box::new(move |_key| {
            let world = Arc::clone(&looking);
            Box::pin(async move { world.lookup(own).await })
        }),
        declaration: Name::from(KEY),
        decode,
    };
    let members = Members {
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
        ahead: Box::new(|_| None),
        record: Box::new(|_, _| Box::pin(async { Err(Trouble::Silent) })),
    };
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
    tokio::spawn(follow(source, members, sink, shared, Settings::default(), stop));
}

async fn play(load: Load) -> Seen {
    let world = Arc::new(World::new(load));
    world.publish();
    for own in 0..load.members {
        start(&world, own);
    }
    sleep(CALM).await;
    let sent_before: Vec<u64> = world.members.iter().map(|member| member.shared.sent()).collect();
    let calls_before = world.lock().calls;
    let begun = Instant::now();
    let mut held = 0;
    while begun.elapsed() < load.lasts {
        world.publish();
        sleep(load.pause).await;
        if load.killed.is_some_and(|killed| begun.elapsed() >= killed) {
            world.members[0].stop.cancel();
        }
        held = held.max(world.members.iter().map(|member| member.shared.held()).max().unwrap_or(0));
    }
    let end = Instant::now();
    sleep(CALM).await;
    let alive: BTreeSet<usize> =
        (0..load.members).filter(|own| !world.members[*own].is_lost()).collect();
    let last = world.lock().revision();
    let sent = (0..load.members).map(|own| world.members[own].shared.sent() - sent_before[own]);
    let in_force = world.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let has_last = |own: &usize| in_force[*own].last().is_some_and(|(_, known)| *known == last);
    let seen = Seen {
        latest: alive.iter().map(|own| world.lag(*own, end)).max().unwrap_or_default(),
        behind: alive.iter().filter(|own| !has_last(own)).count(),
        busiest: sent.max().unwrap_or(0),
        calls: world.lock().calls - calls_before,
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
