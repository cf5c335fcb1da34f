//! A simulated fleet that follows a store, on virtual time. It runs the real feed over simulated
//! links and a simulated store.
//!
//! Each member has a link of a given rate, which carries one message at a time in each direction.
//! Messages have a latency between members, which is higher between regions. The store answers
//! after its response time and has unlimited bandwidth. Processor time is not simulated.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError, atomic};
use std::time::Duration;

use bergamot_base::{Name, hash_bytes};
use bergamot_feed::{
    FeedState, Members, QueryError, QueryFuture, ReadFuture, ReadResult, ReadRole, Record,
    RecordEvent, Settings, Sink, Source, Topology, ancestors, follow,
};
use bergamot_wire::Item;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::load::{Cut, Load, Restore, Results};
use crate::store::{KEY, Store, decode};

/// The overhead of a message in bytes.
const MESSAGE_OVERHEAD: usize = 200;

/// The latency of a message within a region, and between two regions.
const LATENCY_WITHIN_REGION: Duration = Duration::from_micros(1400);
const LATENCY_BETWEEN_REGIONS: Duration = Duration::from_millis(8);

/// How long a reply with updates and one with chunks may take beyond the wait of the query, as in
/// the daemon.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
const CHUNK_REPLY_MARGIN: Duration = Duration::from_millis(800);

/// How long a call to the store waits for a reply.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// The period of the probes between members. In each, a member hears from the one that it probes and
/// from one that probes it.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
const HEARD_PER_PERIOD: usize = 2;

/// For how many periods a member relies on what another stated, as in the daemon.
const STATEMENT_PERIODS: u128 = 3;

/// How many members with the latest updates a member queries, as in the daemon.
const MAX_UP_TO_DATE: usize = 3;

/// How long the fleet runs before the first change, and after the last one.
pub const IDLE_PERIOD: Duration = Duration::from_secs(3);

/// One direction of a link, which carries one message at a time.
#[derive(Debug, Default)]
struct LinkDirection {
    free: Option<Instant>,
}

impl LinkDirection {
    /// Queues a message, and returns when all of it has been transmitted.
    fn transmit(&mut self, now: Instant, bytes: usize, rate: u64) -> Instant {
        let begins = self.free.map_or(now, |free| free.max(now));
        let ends = begins + Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.free = Some(ends);
        ends
    }
}

#[derive(Debug, Default)]
struct Link {
    up: Mutex<LinkDirection>,
    down: Mutex<LinkDirection>,
}

struct Member {
    ip: Ipv4Addr,
    region: usize,
    shared: Arc<FeedState>,
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
    started: Instant,
    members: Vec<Member>,
    store: Store,
    /// When each member put which version in force.
    in_force: Mutex<Vec<Vec<(Instant, u64)>>>,
}

/// Returns the index of the member with an address.
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
            store: Store::new(load.routes, load.store_delay),
            in_force: Mutex::new(vec![Vec::new(); load.members]),
            load,
            started: Instant::now(),
        }
    }

    fn cut(&self, member: usize) -> Cut {
        (self.load.cut)(member, self.started.elapsed())
    }

    /// Returns when the last cut of a member ends, if it is ever cut off.
    fn healed_at(&self, member: usize) -> Option<Instant> {
        let steps = (0..).map(|step| PROBE_PERIOD * step);
        let until = self.started.elapsed();
        let cut = |at: &Duration| (self.load.cut)(member, *at) != Cut::None;
        let last = steps.take_while(|at| *at <= until).filter(cut).last();
        last.map(|last| self.started + last + PROBE_PERIOD)
    }

    /// Returns the members from which a member has heard recently, by probes to random members.
    fn heard(&self, own: usize) -> Vec<usize> {
        let period = self.started.elapsed().as_nanos() / PROBE_PERIOD.as_nanos();
        let recent = period.saturating_sub(STATEMENT_PERIODS - 1)..=period;
        let draws = recent.flat_map(|period| (0..HEARD_PER_PERIOD).map(move |draw| (period, draw)));
        let partner = |(period, draw): (u128, usize)| {
            let draw = hash_bytes(format!("{own} {period} {draw}").as_bytes());
            draw as usize % self.load.members
        };
        let is_reachable = |member: &usize| {
            !self.members[*member].is_lost() && self.cut(*member) != Cut::Everything
        };
        let is_cut_off = self.cut(own) == Cut::Everything;
        let partners = draws.map(partner).filter(|member| *member != own && !is_cut_off);
        partners.filter(is_reachable).collect()
    }

    /// Transmits a message between members, or from the store to a member.
    async fn transmit(&self, from: Option<usize>, to: usize, bytes: usize) {
        let lock = |direction: &Mutex<LinkDirection>| {
            let (now, rate) = (Instant::now(), self.load.rate);
            direction.lock().unwrap_or_else(PoisonError::into_inner).transmit(
                now,
                bytes + MESSAGE_OVERHEAD,
                rate,
            )
        };
        let is_cut = from.is_some()
            && [from, Some(to)]
                .into_iter()
                .flatten()
                .any(|member| self.cut(member) == Cut::Everything);
        let to = &self.members[to];
        if let Some(from) = from.map(|from| &self.members[from]) {
            sleep_until(lock(&from.link.up)).await;
            sleep(if from.region == to.region {
                LATENCY_WITHIN_REGION
            } else {
                LATENCY_BETWEEN_REGIONS
            })
            .await;
        }
        sleep_until(lock(&to.link.down)).await;
        if to.is_lost() || from.is_some_and(|from| self.members[from].is_lost()) || is_cut {
            std::future::pending::<()>().await;
        }
    }

    /// Sends a query to a member, and transmits its reply.
    async fn exchange<T>(
        &self,
        (asker, asked): (usize, usize),
        within: Duration,
        answer: impl AsyncFnOnce(&FeedState) -> (T, usize),
    ) -> Result<T, QueryError> {
        let exchange = async {
            self.transmit(Some(asker), asked, 0).await;
            let (answer, bytes) = answer(&self.members[asked].shared).await;
            self.transmit(Some(asked), asker, bytes).await;
            answer
        };
        timeout(within, exchange).await.map_err(|_elapsed| QueryError::Silent)
    }

    /// Returns a member's role and the members it queries, as the daemon determines them once all
    /// members know each other.
    fn topology(&self, own: usize) -> Topology {
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
        let role = match () {
            () if first.contains(&own) => ReadRole::Reader,
            () if second.contains(&own) => ReadRole::Deputy,
            () => ReadRole::Follower,
        };
        let ip = |member: usize| self.members[member].ip;
        let others = first.into_iter().chain(second).filter(|member| *member != own);
        let mut readers: Vec<Ipv4Addr> = others.map(ip).collect();
        let position = regions[0].iter().position(|member| *member == own).unwrap_or(0);
        let mut chunk_sources: Vec<Ipv4Addr> =
            ancestors(position).map(|position| ip(regions[0][position])).collect();
        let further: Vec<Ipv4Addr> =
            readers.iter().filter(|ip| !chunk_sources.contains(ip)).copied().collect();
        chunk_sources.extend(further);
        let heard = self.heard(own);
        let (member_count, is_isolated) = (alive.len(), heard.is_empty());
        let fresh = heard.into_iter().filter(|other| self.members[*other].shared.is_fresh());
        for up_to_date in fresh.map(ip).take(MAX_UP_TO_DATE) {
            if !readers.contains(&up_to_date) {
                readers.push(up_to_date);
            }
        }
        Topology { role, readers, chunk_sources, member_count, is_isolated }
    }

    /// Calls the store, which doesn't answer a member that is cut off.
    async fn call_store<T>(
        &self,
        own: usize,
        call: impl Future<Output = Result<T, QueryError>>,
    ) -> Result<T, QueryError> {
        if self.cut(own) != Cut::None {
            sleep(STORE_TIMEOUT).await;
            return Err(QueryError::Silent);
        }
        call.await
    }

    /// Transmits a reply of the store to a member.
    async fn transmit_from_store(&self, own: usize, outcome: ReadResult) -> ReadResult {
        let (records, at) = outcome?;
        self.transmit(None, own, bytes_of(&records)).await;
        Ok((records, at))
    }

    /// Returns a member that has recently stated to have a later version in force.
    fn member_ahead(&self, own: usize, version: u64) -> Option<Ipv4Addr> {
        let in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let known = |member: &usize| in_force[*member].last().map_or(0, |(_, known)| *known);
        let first =
            self.heard(own).into_iter().max_by_key(known).filter(|member| known(member) > version);
        first.map(|member| self.members[member].ip)
    }

    fn record_in_force(&self, own: usize, revision: u64) {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        // The declaration in force never reverts to an older version; in the daemon, a version
        // floor ensures this.
        if in_force[own].last().is_none_or(|(_, known)| *known < revision) {
            in_force[own].push((Instant::now(), revision));
        }
    }

    /// Returns the longest time for which a member was behind, up to `end`.
    fn lag(&self, own: usize, end: Instant) -> Duration {
        let in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let (steps, healed_at) = (&in_force[own], self.healed_at(own));
        let ends = steps.iter().skip(1).map(|(at, _)| *at).chain([end]);
        let gap = |((_, revision), until): (&(Instant, u64), Instant)| {
            let next = self.store.acknowledged_after(*revision);
            let since =
                next.map(|acknowledged| healed_at.map_or(acknowledged, |at| at.max(acknowledged)));
            since.map_or(Duration::ZERO, |since| until.saturating_duration_since(since))
        };
        steps.iter().zip(ends).map(gap).max().unwrap_or_default()
    }
}

fn bytes_of(records: &[Record]) -> usize {
    records.iter().filter_map(|record| record.value.as_ref()).map(Vec::len).sum()
}

/// The store as seen by one member.
fn source(world: &Arc<World>, own: usize) -> Source {
    let w = || Arc::clone(world);
    let (list_world, watch_world, lookup_world) = (w(), w(), w());
    Source {
        list: Box::new(move |_scope| {
            let world = Arc::clone(&list_world);
            Box::pin(async move {
                let listed = world.call_store(own, world.store.list()).await;
                world.transmit_from_store(own, listed).await
            }) as ReadFuture
        }),
        watch: Box::new(move |after, scope, wait| {
            let world = Arc::clone(&watch_world);
            Box::pin(async move {
                let watch = world.store.watch(after, scope, wait.max_wait);
                let told = world.call_store(own, watch).await;
                wait.arriving.store(told.is_ok(), atomic::Ordering::Relaxed);
                world.transmit_from_store(own, told).await
            })
        }),
        lookup: Box::new(move |_key| {
            let world = Arc::clone(&lookup_world);
            Box::pin(async move {
                let found = world.call_store(own, world.store.lookup()).await?;
                world.transmit(None, own, bytes_of(found.record.as_slice())).await;
                Ok(found)
            })
        }),
        declaration: Name::from(KEY),
        is_operator_key: |key| key == KEY,
        decode,
    }
}

/// The other members as seen by one member.
fn others(world: &Arc<World>, own: usize) -> Members {
    let w = || Arc::clone(world);
    let (topology_world, ask_world, fetch_world, ahead_world, record_world) =
        (w(), w(), w(), w(), w());
    Members {
        topology: Box::new(move || Some(topology_world.topology(own))),
        query_news: Box::new(move |ip, query| {
            let world = Arc::clone(&ask_world);
            Box::pin(async move {
                let peers = (own, index(ip));
                let answer = async |shared: &FeedState| {
                    let news = shared.news(query).await;
                    let bytes = news.items.iter().map(Item::size).sum();
                    (news, bytes)
                };
                world.exchange(peers, query.wait + REPLY_MARGIN, answer).await
            }) as QueryFuture<bergamot_wire::News>
        }),
        fetch_chunks: Box::new(move |ip, hashes, wait| {
            let world = Arc::clone(&fetch_world);
            Box::pin(async move {
                let peers = (own, index(ip));
                let answer = async |shared: &FeedState| {
                    let bodies = shared.chunks(&hashes, wait).await;
                    let bytes = bodies.iter().map(Vec::len).sum();
                    (bodies, bytes)
                };
                world.exchange(peers, wait + CHUNK_REPLY_MARGIN, answer).await
            })
        }),
        find_newer: Box::new(move |version| ahead_world.member_ahead(own, version)),
        fetch_record: Box::new(move |ip, key| {
            let world = Arc::clone(&record_world);
            Box::pin(async move {
                let answer = async |shared: &FeedState| {
                    let item = shared.item(&key);
                    let bytes = item.as_ref().map_or(0, Item::size);
                    (item, bytes)
                };
                world.exchange((own, index(ip)), REPLY_MARGIN, answer).await
            })
        }),
    }
}

fn start(world: &Arc<World>, own: usize) {
    let sink_world = Arc::clone(world);
    let sink = Sink {
        on_record: Box::new(move |news| {
            if let RecordEvent::Declared(declaration) = news {
                sink_world.record_in_force(own, declaration.version);
            }
        }),
        on_store_away: Box::new(|_, _| {}),
        on_restore: Box::new(|_, _| {}),
        was_suspended: Box::new(|| false),
        has_waiting_callers: Box::new(|| false),
        on_query_end: Box::new(|_| {}),
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

/// Takes the store down, and restores it from a copy.
async fn restore(world: &World, Restore { downtime, lost_versions, .. }: Restore) {
    world.store.go_down();
    sleep(downtime).await;
    world.store.restore(lost_versions);
}

async fn simulate(load: Load) -> Results {
    let world = Arc::new(World::new(load));
    world.store.publish();
    for own in 0..load.members {
        start(&world, own);
    }
    sleep(IDLE_PERIOD).await;
    let sent_before: Vec<u64> =
        world.members.iter().map(|member| member.shared.bytes_sent()).collect();
    let calls_before = world.store.calls();
    let begun = Instant::now();
    let (mut max_chunk_bytes, mut restored) = (0, false);
    while begun.elapsed() < load.duration {
        world.store.publish();
        sleep(load.pause).await;
        if load.restore.is_some_and(|restore| begun.elapsed() >= restore.at) && !restored {
            restored = true;
            restore(&world, load.restore.unwrap_or_default()).await;
        }
        if load.reader_lost_at.is_some_and(|reader_lost_at| begun.elapsed() >= reader_lost_at) {
            world.members[0].stop.cancel();
        }
        max_chunk_bytes = max_chunk_bytes
            .max(world.members.iter().map(|member| member.shared.chunk_bytes()).max().unwrap_or(0));
    }
    let end = Instant::now();
    sleep(IDLE_PERIOD).await;
    let alive: BTreeSet<usize> =
        (0..load.members).filter(|own| !world.members[*own].is_lost()).collect();
    let last = world.store.last_published();
    let sent =
        (0..load.members).map(|own| world.members[own].shared.bytes_sent() - sent_before[own]);
    let in_force = world.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let has_last = |own: &usize| in_force[*own].last().is_some_and(|(_, known)| *known == last);
    let max_lag = |is_meant: &dyn Fn(usize) -> bool| {
        let meant = alive.iter().filter(|own| is_meant(**own));
        meant.map(|own| world.lag(*own, end)).max().unwrap_or_default()
    };
    let results = Results {
        max_lag: max_lag(&|own| world.healed_at(own).is_none()),
        max_lag_after_cut: max_lag(&|own| world.healed_at(own).is_some()),
        members_behind: alive.iter().filter(|own| !has_last(own)).count(),
        max_bytes_sent: sent.max().unwrap_or(0),
        store_calls: world.store.calls() - calls_before,
        max_chunk_bytes,
    };
    for member in &world.members {
        member.stop.cancel();
    }
    results
}

/// Runs a simulation on virtual time.
pub fn run(load: Load) -> Results {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(simulate(load))
}
