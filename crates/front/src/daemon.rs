//! Start, service and planned stop of the daemon.
//!
//! A planned stop: the members and the platform are told at once, so no caller is sent here
//! any more; callers who were sent here before are served until their address answers have
//! expired; then the listener closes, what is in flight is finished, and the process ends.
//! Invariant: every request that was read gets its answer before the process ends.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bergamot_base::{Name, TaskSupervisor};
use bergamot_feed::{
    FeedState, Members, Origin, QueryKind, QueryReport, ReadRole, RecordEvent, Sink, Source,
    Topology, ancestors, follow,
};
use bergamot_members::{Endpoint, Record, Role, State, ranked};
use bergamot_net::{Body, NetworkError, listen, serve, text};
use bergamot_peers::{
    Caller, Candidate, InstanceLocation, Peers, select_instances, select_serving,
};
use bergamot_relay::{DelegateMember, Dialect, Relay};
use bergamot_wire::Channels;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode, Uri};
use prometheus::TextEncoder;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::caller;
use crate::face::Face;
use crate::member;
use crate::settings::Settings;

/// How often members are counted and searchers whose entries are missing are removed.
const TICK: Duration = Duration::from_millis(100);

/// How many ticks share one line of counts in the log: one line in ten seconds.
const TICKS_PER_SUMMARY: u32 = 100;

/// What the handlers share.
struct Inner {
    settings: Settings,
    face: Face,
    relay: Arc<Relay>,
    peers: Arc<Peers>,
    feed: Arc<FeedState>,
    tasks: TaskSupervisor,
    leaving: AtomicBool,
    /// The members that take callers, as of the last tick.
    serving: Mutex<BTreeSet<Ipv4Addr>>,
}

/// A running daemon.
pub struct Daemon {
    inner: Arc<Inner>,
    stop: CancellationToken,
    close: CancellationToken,
    callers: JoinHandle<()>,
}

impl std::fmt::Debug for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Daemon({})", self.inner.settings.callers)
    }
}

impl Daemon {
    /// Binds the listeners and starts to follow what is published.
    pub async fn start(
        settings: Settings,
        face: Face,
        dialect: Dialect,
        relay: bergamot_relay::Settings,
        peers: bergamot_peers::Settings,
        source: Source,
    ) -> Result<Self, NetworkError> {
        let (stop, close) = (CancellationToken::new(), CancellationToken::new());
        let links = Arc::new(Channels::new(relay.address));
        let port = settings.members.port();
        let relay = Relay::new(relay, dialect, member::helping(&links, port));
        let feed = Arc::new(FeedState::default());
        let tasks = TaskSupervisor::new(stop.clone());
        let listener = listen(settings.members).await?;
        let serving = (Arc::clone(&relay), Arc::clone(&feed), stop.clone());
        tasks.spawn("members", member::serve(listener, serving.0, serving.1, serving.2));
        let quarantine = Arc::clone(relay.quarantine());
        let peers = Peers::start(peers, quarantine, &tasks, stop.clone()).await?;
        let inner = Arc::new(Inner {
            settings,
            face,
            relay,
            peers,
            feed: Arc::clone(&feed),
            tasks: tasks.clone(),
            leaving: AtomicBool::new(false),
            serving: Mutex::default(),
        });
        let sink = sink(&inner);
        let (asking, comparing) = (Arc::clone(&inner), Arc::clone(&inner));
        let members = Members {
            topology: Box::new(move || asking.roster()),
            query_news: member::asking(&links, port),
            fetch_chunks: member::fetching(&links, port),
            find_newer: Box::new(move |version| comparing.peers.member_ahead_of(version)),
            fetch_record: Box::new(member::looking_up(&links, port)),
        };
        let join = if inner.peers.seeds().contains(&inner.relay.settings().address) {
            inner.settings.join
        } else {
            inner.settings.settle
        };
        let periods = bergamot_feed::Settings { startup_wait: join, ..Default::default() };
        tasks.spawn("follower", follow(source, members, sink, feed, periods, stop.clone()));
        tasks.spawn("tick", tick(Arc::clone(&inner), stop.clone()));
        let addresses = &inner.settings;
        serve_pages(addresses.metrics, &inner, &stop, Inner::metrics).await?;
        serve_pages(addresses.readiness, &inner, &stop, Inner::readiness).await?;
        serve_pages(addresses.directory, &inner, &stop, Inner::directory).await?;
        let listener = listen(inner.settings.callers).await?;
        let answering = Arc::clone(&inner);
        let serving = serve(listener, close.clone(), move |request, _peer| {
            let inner = Arc::clone(&answering);
            async move {
                let relay = Arc::clone(&inner.relay);
                let mut response = caller::answer(relay, inner.face, request).await;
                if inner.is_leaving() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        });
        // The listener closes before the other tasks stop, and is watched until then.
        let callers = tasks.with_stop(close.clone()).spawn("callers", serving);
        Ok(Self { inner, stop, close, callers })
    }

    /// Takes the seeds of changed settings; everything else needs a restart.
    pub fn reload(&self, peers: &bergamot_peers::Settings) {
        self.inner.peers.set_seeds(peers.seeds.clone());
    }

    /// Waits until a task has ended without which the daemon can't go on; it is not ready any
    /// more, and should be stopped and started anew.
    pub async fn failed(&self) {
        self.inner.tasks.wait_for_failure().await;
    }

    /// Stops as planned; returns once everything that was read is answered.
    pub async fn stop(self) {
        let settings = &self.inner.settings;
        let (linger, end) = (Instant::now() + settings.linger, Instant::now() + settings.stop);
        log::info!("front: event=leaving linger_ms={}", settings.linger.as_millis());
        self.inner.leaving.store(true, Ordering::Relaxed);
        self.inner.peers.announce_leaving();
        sleep_until(linger).await;
        self.close.cancel();
        if tokio::time::timeout_at(end, self.callers).await.is_err() {
            log::warn!("front: event=stopped_late cause=\"requests are still in flight\"");
        }
        self.stop.cancel();
        log::info!("front: event=stopped");
    }
}

impl Inner {
    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn is_ready(&self) -> bool {
        let informed = self.relay.quarantine().is_synced();
        !self.is_leaving() && !self.tasks.has_failed() && self.relay.version() > 0 && informed
    }

    fn metrics(&self, uri: &Uri) -> Response<Body> {
        match uri.path() {
            "/metrics" => {
                let families = self.relay.metrics().gather();
                match TextEncoder::new().encode_to_string(&families) {
                    Ok(metrics) => text(StatusCode::OK, metrics),
                    Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
                }
            }
            "/state" => text(StatusCode::OK, self.dump()),
            _ => text(StatusCode::NOT_FOUND, "GET /metrics or GET /state\n"),
        }
    }

    /// Writes what this instance believes, for an operator.
    fn dump(&self) -> String {
        let members = self.peers.with_view(ToString::to_string);
        let serving: Vec<String> = self.serving().iter().map(ToString::to_string).collect();
        let (ready, leaving) = (self.is_ready(), self.is_leaving());
        let duty = self.roster().unwrap_or_default().role;
        format!(
            "ready {ready} leaving {leaving} duty {duty:?}\nserving {}\n{members}{}",
            serving.join(" "),
            self.relay.dump()
        )
    }

    fn readiness(&self, uri: &Uri) -> Response<Body> {
        if !(self.face.asks_ready)(uri) {
            return text(StatusCode::NOT_FOUND, "no such question");
        }
        let status = if self.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        text(status, "")
    }

    fn directory(&self, uri: &Uri) -> Response<Body> {
        let Some(origin) = (self.face.origin)(uri) else {
            return text(StatusCode::NOT_FOUND, "no such question");
        };
        let caller = Caller { zone: &origin.zone, region: &origin.region };
        let addresses =
            select_instances(caller, &self.ready_instances(), &self.relay.coverage().regions);
        if addresses.is_empty() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no instance is ready");
        }
        (self.face.addresses)(&addresses, self.settings.ttl)
    }

    /// Tells who does what for the others' news; nothing while it can't be told yet.
    ///
    /// The first member of each region reads, the second is its deputy. Those with the most
    /// processor come first: their links carry more as well, and what is read passes there.
    fn roster(&self) -> Option<Topology> {
        if !self.peers.is_settled() {
            return self.early_roster();
        }
        let settings = self.relay.settings();
        let (own, region) = (settings.address, self.region(&settings.zone));
        let (fresh, fleet) = (self.peers.up_to_date_members(), self.peers.size());
        self.peers.with_view(|view| {
            let mut regions: Vec<_> =
                ranked(view, |record| self.region(&record.zone)).into_iter().collect();
            for (_, members) in &mut regions {
                let weight = |endpoint| view.get(endpoint).map_or(0, |record| record.weight);
                members.sort_by_cached_key(|endpoint| Reverse(weight(*endpoint)));
            }
            regions.sort_by_key(|(name, _)| *name != region);
            let at = |rank: usize| {
                let members = regions.iter().filter_map(move |(_, members)| members.get(rank));
                members.map(|endpoint| endpoint.ip).collect::<Vec<_>>()
            };
            let (first, second) = (at(0), at(1));
            let duty = match () {
                () if first.contains(&own) || !settings.policy.readers.on => ReadRole::Reader,
                () if second.contains(&own) => ReadRole::Deputy,
                () => ReadRole::Follower,
            };
            let others = first.into_iter().chain(second).filter(|ip| *ip != own);
            let mut readers: Vec<Ipv4Addr> = others.collect();
            let near = regions.first().map(|(_, members)| lineage(members, own));
            let mut lineage = near.unwrap_or_default();
            append(&mut lineage, &readers);
            append(&mut readers, &fresh);
            Some(Topology { role: duty, readers, chunk_sources: lineage, member_count: fleet })
        })
    }

    /// Tells who does what before this member knows all others.
    fn early_roster(&self) -> Option<Topology> {
        let own = self.relay.settings().address;
        let is_there = |ip| {
            let endpoint = Endpoint { ip, role: Role::Entry };
            self.peers.with_view(|view| view.takes_work(endpoint))
        };
        let (seeds, fresh) = (self.peers.seeds(), self.peers.up_to_date_members());
        Topology::bootstrap(own, &seeds, is_there, fresh, self.peers.size())
    }

    /// Logs what changed of the searchers; who reads the store names all of them.
    fn log_changes(&self) {
        self.relay.log_changes(|| {
            let reads = self.roster().is_some_and(|roster| roster.role == ReadRole::Reader);
            (self.feed.mirror().position(), reads)
        });
    }

    /// Returns the region of a zone; a zone that is not known is a region of its own.
    fn region(&self, zone: &Name) -> Name {
        Name::clone(self.relay.settings().regions.get(zone).unwrap_or(zone))
    }

    /// Returns the members that take callers and hold connections.
    fn serving(&self) -> BTreeSet<Ipv4Addr> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Chooses the members that take callers, and takes its own part.
    ///
    /// A member that doesn't know all others yet takes no seat: it would take itself for one of
    /// few. What it is asked it answers with the connections that one of so many may have.
    fn seat(&self) {
        self.relay.set_members(
            self.peers.with_view(|view| view.working().map(|record| record.endpoint.ip).collect()),
        );
        if !self.peers.is_settled() {
            self.relay.tick(self.peers.size(), false);
            return;
        }
        let settings = self.relay.settings();
        let coverage = self.relay.coverage();
        let count = |zone: &Name| coverage.zones.get(zone).copied().unwrap_or(0);
        let best = coverage.zones.values().copied().max().unwrap_or(0);
        // A zone with searchers of most services; some services have one in every zone.
        let beside = |zone: &Name| count(zone) * 2 > best;
        let seat = |record: &Record| Candidate {
            ip: record.endpoint.ip,
            region: self.region(&record.zone),
            in_searcher_zone: beside(&record.zone),
            weight: record.weight,
        };
        let seats: Vec<Candidate> = self.peers.with_view(|view| {
            view.iter().filter(|record| record.state.takes_work()).map(seat).collect()
        });
        let connections = coverage.fewest_connections.unwrap_or(usize::MAX);
        let chosen = select_serving(&seats, connections, &settings.policy.seats);
        let serves = chosen.contains(&settings.address);
        let members = if serves { chosen.len() } else { self.peers.size() };
        *self.serving.lock().unwrap_or_else(PoisonError::into_inner) = chosen;
        self.relay.tick(members, serves);
        self.relay.set_delegate_members(self.helpers());
    }

    /// Lists the members that may be asked for shards in their region.
    fn helpers(&self) -> Vec<DelegateMember> {
        let settings = self.relay.settings();
        let helper = |record: &Record| {
            let (zone, region) = (Name::clone(&record.zone), self.region(&record.zone));
            DelegateMember { ip: record.endpoint.ip, zone, region }
        };
        let serving = self.serving();
        let can_help = |record: &&Record| {
            let ip = record.endpoint.ip;
            record.state == State::Alive && ip != settings.address && serving.contains(&ip)
        };
        self.peers.with_view(|view| view.iter().filter(can_help).map(helper).collect())
    }

    /// Lists the instances to which callers may be sent.
    ///
    /// A member that is alive is taken to be ready: one that has no declaration yet gets it
    /// before an address answer could reach a caller.
    fn ready_instances(&self) -> Vec<InstanceLocation<SocketAddr>> {
        if !self.peers.is_settled() {
            // What callers were told before is better than the few that are known here.
            return Vec::new();
        }
        let port = self.settings.callers.port();
        let own = self.settings.callers.ip();
        let place = |record: &Record| {
            let instance = SocketAddr::from((record.endpoint.ip, port));
            let (zone, region) = (Name::clone(&record.zone), self.region(&record.zone));
            InstanceLocation { instance, zone, region }
        };
        let serving = self.serving();
        let may_serve = |record: &&Record| {
            let here = own == record.endpoint.ip;
            let ready = if here { self.is_ready() } else { record.state == State::Alive };
            record.endpoint.role == Role::Entry && ready
        };
        self.peers.with_view(|view| {
            let ready: Vec<&Record> = view.iter().filter(may_serve).collect();
            let chosen: Vec<_> = ready
                .iter()
                .filter(|record| serving.contains(&record.endpoint.ip))
                .map(|record| place(record))
                .collect();
            // Any ready instance is better for a caller than none.
            if chosen.is_empty() { ready.into_iter().map(place).collect() } else { chosen }
        })
    }
}

/// Answers each request at an address by its path and query alone, until `stop`.
async fn serve_pages(
    address: SocketAddr,
    inner: &Arc<Inner>,
    stop: &CancellationToken,
    answer: fn(&Inner, &Uri) -> Response<Body>,
) -> Result<(), NetworkError> {
    let (listener, answering) = (listen(address).await?, Arc::clone(inner));
    let serving = serve(listener, stop.clone(), move |request, _peer| {
        let reply = answer(&answering, request.uri());
        async move { reply }
    });
    inner.tasks.spawn("pages", serving);
    Ok(())
}

/// Appends those that aren't there yet.
fn append(ips: &mut Vec<Ipv4Addr>, others: &[Ipv4Addr]) {
    let further = others.iter().filter(|ip| !ips.contains(ip)).copied();
    let further: Vec<Ipv4Addr> = further.collect();
    ips.extend(further);
}

/// Lists whom a member asks for chunks among the ranked members of its region.
fn lineage(members: &[Endpoint], own: Ipv4Addr) -> Vec<Ipv4Addr> {
    let position = members.iter().position(|endpoint| endpoint.ip == own);
    position
        .into_iter()
        .flat_map(ancestors)
        .filter_map(|position| members.get(position))
        .map(|endpoint| endpoint.ip)
        .collect()
}

async fn tick(inner: Arc<Inner>, stop: CancellationToken) {
    let mut ticks = 0_u32;
    while !stop.is_cancelled() {
        inner.seat();
        inner.peers.set_revision(inner.relay.version(), inner.feed.is_fresh());
        inner.relay.set_update_bytes_sent(inner.feed.bytes_sent());
        inner.relay.set_store_era(inner.feed.mirror().position().era);
        inner.log_changes();
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_SUMMARY) {
            inner.relay.log_summary();
        }
        sleep(TICK).await;
    }
}

fn sink(inner: &Arc<Inner>) -> Sink {
    let (news, away) = (Arc::clone(inner), Arc::clone(inner));
    let (behind, asked) = (Arc::clone(inner), Arc::clone(inner));
    let (wanted, restored) = (Arc::clone(inner), Arc::clone(inner));
    Sink {
        on_record: Box::new(move |record| take(&news.relay, record)),
        on_store_away: Box::new(move |is_away, age| away.relay.set_store_unavailable(is_away, age)),
        on_restore: Box::new(move |former, at| restored.relay.note_restore(former, at)),
        was_suspended: Box::new(move || behind.relay.is_behind()),
        has_waiting_callers: Box::new(move || wanted.relay.has_early_request()),
        on_query_end: Box::new(move |question| note(&asked.relay, question)),
    }
}

/// Counts a question of the feed, and notes that news came.
fn note(relay: &Relay, question: &QueryReport) {
    let origin = if question.origin == Origin::Store { "store" } else { "member" };
    relay.count_store_update(origin, question.error.unwrap_or("answered"), question.bytes);
    if question.error.is_none() && question.kind == QueryKind::News {
        relay.note_store_update(question.at);
    }
}

fn take(relay: &Relay, news: RecordEvent) {
    match news {
        RecordEvent::Declared(declaration) => {
            relay.apply_declaration(*declaration);
        }
        RecordEvent::Published(upstream) => relay.publish(upstream),
        RecordEvent::Removed(id) => relay.disappear(&id),
        RecordEvent::Unreadable { searcher } => {
            relay.count_unreadable();
            if let Some(id) = searcher {
                relay.overwrite(&id);
            }
        }
    }
}
