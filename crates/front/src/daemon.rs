//! Start, operation and planned stop of the daemon.
//!
//! A planned stop is announced to the other members and the platform at once, so that no further
//! callers are directed here. Callers that hold this instance's address are served until their
//! address responses have expired, as far as the time left holds their requests; others are refused
//! at once. Then the listener closes, requests in flight are completed or get their final answer,
//! and the process ends. Invariant: every request that was read is answered before the process ends.

mod roles;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bergamot_base::{Name, TaskSupervisor};
use bergamot_declaration::Limits;
use bergamot_dispatch::{Spenders, SpendingTimes};
use bergamot_feed::{
    FeedState, Members, Origin, QueryKind, QueryReport, ReadRole, RecordEvent, Sink, Source, follow,
};
use bergamot_members::{Record, Role, State};
use bergamot_net::{
    Body, ConnectionLimits, ConnectionTimeouts, HeadLimit, Intake, Intakes, NetworkError, listen,
    serve_bounded, text,
};
use bergamot_peers::{Caller, InstanceLocation, Peers, select_instances};
use bergamot_relay::{Dialect, Relay};
use bergamot_wire::Channels;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode, Uri};
use prometheus::TextEncoder;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::caller;
use crate::member;
use crate::protocol::{AddressQuery, CallerProtocol};
use crate::settings::Settings;
use roles::{SelectionBasis, Shares};

/// The interval of the periodic work: members are counted, and searchers whose entries are missing
/// are removed.
const TICK: Duration = Duration::from_millis(100);

/// The number of ticks per summary line in the log: one line every ten seconds.
const TICKS_PER_SUMMARY: u32 = 100;

/// How long before the end of a planned stop the last answers are given: on a small machine,
/// hundreds of them take some tenths of a second to reach their callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// State shared by the request handlers and the background tasks.
pub(crate) struct Inner {
    settings: Settings,
    pub(crate) protocol: CallerProtocol,
    pub(crate) relay: Arc<Relay>,
    pub(crate) peers: Arc<Peers>,
    feed: Arc<FeedState>,
    tasks: TaskSupervisor,
    pub(crate) intakes: Arc<Intakes>,
    leaving: AtomicBool,
    /// The members that serve callers, as of the last tick.
    serving: Mutex<BTreeSet<Ipv4Addr>>,
    /// What they were selected from.
    selection_basis: Mutex<Option<SelectionBasis>>,
    shares: Mutex<Shares>,
}

/// A running daemon.
pub struct Daemon {
    inner: Arc<Inner>,
    stop: CancellationToken,
    close_listener: CancellationToken,
    caller_listener: JoinHandle<()>,
}

impl std::fmt::Debug for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Daemon({})", self.inner.settings.callers)
    }
}

impl Daemon {
    /// Binds the listeners and starts to follow the store.
    pub async fn start(
        settings: Settings,
        protocol: CallerProtocol,
        dialect: Dialect,
        relay: bergamot_relay::Settings,
        peers: bergamot_peers::Settings,
        source: Source,
    ) -> Result<Self, NetworkError> {
        let (stop, close_listener) = (CancellationToken::new(), CancellationToken::new());
        let channels = Arc::new(Channels::new(relay.address));
        let port = settings.members.port();
        let relay = Relay::new(relay, dialect, member::relay_calls(&channels, port));
        let feed = Arc::new(FeedState::default());
        let tasks = TaskSupervisor::new(stop.clone());
        let memory = Arc::clone(relay.request_memory());
        let intakes = Intakes::new(settings.shares, memory, relay.metrics());
        let listener = listen(settings.members).await?;
        let intake = intakes.for_members("members");
        let (for_members, for_feed) = (Arc::clone(&relay), Arc::clone(&feed));
        let server = member::serve(listener, intake, for_members, for_feed, stop.clone());
        tasks.spawn("members", server);
        let quarantine = Arc::clone(relay.quarantine());
        let peers = Peers::start(peers, quarantine, &tasks, stop.clone()).await?;
        let times = SpendingTimes {
            window: relay.settings().retry_budget_limits.window,
            stop: settings.stop_timeout,
        };
        let spenders = Spenders::new(Instant::now().into(), relay.settings().address, times);
        let inner = Arc::new(Inner {
            settings,
            protocol,
            relay,
            peers,
            feed: Arc::clone(&feed),
            tasks: tasks.clone(),
            intakes,
            leaving: AtomicBool::new(false),
            serving: Mutex::default(),
            selection_basis: Mutex::default(),
            shares: Mutex::new(Shares { spenders, serving: BTreeSet::new() }),
        });
        // Requests are served only with a known share.
        inner.update_serving();
        let sink = feed_sink(&inner);
        let (for_topology, for_versions) = (Arc::clone(&inner), Arc::clone(&inner));
        let members = Members {
            topology: Box::new(move || for_topology.topology()),
            query_news: member::news_query(&channels, port),
            fetch_chunks: member::chunk_query(&channels, port),
            find_newer: Box::new(move |version| for_versions.peers.member_ahead_of(version)),
            fetch_record: Box::new(member::record_query(&channels, port)),
        };
        let startup_wait = if inner.peers.seeds().contains(&inner.relay.settings().address) {
            inner.settings.seed_startup_wait
        } else {
            inner.settings.startup_wait
        };
        let feed_settings = bergamot_feed::Settings { startup_wait, ..Default::default() };
        tasks.spawn("follower", follow(source, members, sink, feed, feed_settings, stop.clone()));
        tasks.spawn("tick", run_periodic_work(Arc::clone(&inner), stop.clone()));
        let addresses = &inner.settings;
        let pages = |name| inner.intakes.for_pages(name);
        let (metrics, readiness) = (pages("metrics"), pages("readiness"));
        serve_pages(addresses.metrics, metrics, &inner, &stop, Inner::metrics).await?;
        serve_pages(addresses.readiness, readiness, &inner, &stop, Inner::readiness).await?;
        serve_pages(addresses.directory, pages("directory"), &inner, &stop, Inner::directory)
            .await?;
        let listener = listen(inner.settings.callers).await?;
        let (for_callers, for_limit) = (Arc::clone(&inner), Arc::clone(&inner));
        let limits = move || for_limit.connection_limits();
        let respond = move |request, _peer| {
            let inner = Arc::clone(&for_callers);
            async move {
                let mut response = caller::handle_request(&inner, request).await;
                if inner.is_leaving() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        };
        let intake = inner.intakes.for_callers();
        let server = serve_bounded(listener, close_listener.clone(), intake, limits, respond);
        // The listener closes before the other tasks stop; until then its end counts as a failure.
        let caller_listener = tasks.with_stop(close_listener.clone()).spawn("callers", server);
        Ok(Self { inner, stop, close_listener, caller_listener })
    }

    /// Applies the seeds of changed settings; all other changes need a restart.
    pub fn reload(&self, peers: &bergamot_peers::Settings) {
        self.inner.peers.set_seeds(peers.seeds.clone());
    }

    /// Waits until an essential task has ended unexpectedly. The daemon is then no longer ready
    /// and should be restarted.
    pub async fn failed(&self) {
        self.inner.tasks.wait_for_failure().await;
    }

    /// Performs a planned stop; returns once every request that was read is answered, or when the
    /// time for the stop is over.
    pub async fn stop(self) {
        let settings = &self.inner.settings;
        let (close_at, end) =
            (Instant::now() + settings.drain_period, Instant::now() + settings.stop_timeout);
        log::info!("front: event=leaving linger_ms={}", settings.drain_period.as_millis());
        self.inner.leaving.store(true, Ordering::Relaxed);
        self.inner.peers.announce_leaving();
        let answer_by = end.checked_sub(LAST_ANSWERS_TIME).unwrap_or(end);
        self.inner.relay.begin_stop(answer_by.into());
        sleep_until(close_at).await;
        self.close_listener.cancel();
        if tokio::time::timeout_at(end, self.caller_listener).await.is_err() {
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
        let quarantine_synced = self.relay.quarantine().is_synced();
        !self.is_leaving()
            && !self.tasks.has_failed()
            && self.relay.version() > 0
            && quarantine_synced
    }

    /// Returns the limits that the declaration in force sets, or before the first one the defaults.
    fn connection_limits(&self) -> ConnectionLimits {
        let declaration = self.relay.declaration();
        let limits = declaration.map_or_else(Limits::default, |found| found.limits.clone());
        ConnectionLimits {
            head: Some(HeadLimit::new(limits.header_bytes)),
            timeouts: Some(ConnectionTimeouts {
                head: limits.header_timeout,
                idle: limits.idle_timeout,
            }),
        }
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

    /// Returns this instance's state as text, for operators.
    fn dump(&self) -> String {
        let members = self.peers.with_view(ToString::to_string);
        let serving: Vec<String> = self.serving().iter().map(ToString::to_string).collect();
        let (ready, leaving) = (self.is_ready(), self.is_leaving());
        let role = self.topology().unwrap_or_default().role;
        format!(
            "ready {ready} leaving {leaving} duty {role:?}\nserving {}\n{members}{}{}",
            serving.join(" "),
            self.intakes.dump(),
            self.relay.dump()
        )
    }

    fn readiness(&self, uri: &Uri) -> Response<Body> {
        if !(self.protocol.is_readiness_probe)(uri) {
            return text(StatusCode::NOT_FOUND, "no such question");
        }
        let status = if self.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        text(status, "")
    }

    fn directory(&self, uri: &Uri) -> Response<Body> {
        let Some(AddressQuery { host, zone, region }) = (self.protocol.parse_address_query)(uri)
        else {
            return text(StatusCode::NOT_FOUND, "no such question");
        };
        let residency = self.relay.host_residency(&host);
        let caller = Caller { zone: &zone, region: &region, residency: &residency };
        let addresses =
            select_instances(caller, &self.ready_instances(), &self.relay.coverage().regions);
        if addresses.is_empty() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no instance is ready");
        }
        (self.protocol.encode_addresses)(&addresses, self.settings.ttl)
    }

    /// Logs changes of searchers; a member that reads the store logs the name of every changed
    /// searcher.
    fn log_changes(&self) {
        self.relay.log_changes(|| {
            let is_reader =
                self.topology().is_some_and(|topology| topology.role == ReadRole::Reader);
            (self.feed.mirror().position(), is_reader)
        });
    }

    /// Returns the region of a zone; an unknown zone counts as a region of its own.
    pub(crate) fn region(&self, zone: &Name) -> Name {
        Name::clone(self.relay.settings().regions.get(zone).unwrap_or(zone))
    }

    /// Returns the instances to which callers can be directed.
    ///
    /// Every alive member is assumed to be ready: one without a declaration receives it before an
    /// address response that names the member could reach a caller.
    fn ready_instances(&self) -> Vec<InstanceLocation<SocketAddr>> {
        if !self.peers.is_settled() {
            // The addresses that callers already have are better than the few members known here.
            return Vec::new();
        }
        let port = self.settings.callers.port();
        let own = self.settings.callers.ip();
        let location = |record: &Record| {
            let instance = SocketAddr::from((record.endpoint.ip, port));
            let (zone, region) = (Name::clone(&record.zone), self.region(&record.zone));
            InstanceLocation { instance, zone, region }
        };
        let serving = self.serving();
        let is_ready = |record: &&Record| {
            let is_self = own == record.endpoint.ip;
            let ready = if is_self { self.is_ready() } else { record.state == State::Alive };
            record.endpoint.role == Role::Entry && ready
        };
        self.peers.with_view(|view| {
            let ready: Vec<&Record> = view.iter().filter(is_ready).collect();
            let selected: Vec<_> = ready
                .iter()
                .filter(|record| serving.contains(&record.endpoint.ip))
                .map(|record| location(record))
                .collect();
            // If no serving member is ready, any ready instance is better for a caller than none.
            if selected.is_empty() { ready.into_iter().map(location).collect() } else { selected }
        })
    }
}

/// Serves pages that depend only on the path and query of a request, until `stop`.
async fn serve_pages(
    address: SocketAddr,
    intake: Arc<Intake>,
    inner: &Arc<Inner>,
    stop: &CancellationToken,
    respond: fn(&Inner, &Uri) -> Response<Body>,
) -> Result<(), NetworkError> {
    let (listener, for_pages) = (listen(address).await?, Arc::clone(inner));
    let for_limit = Arc::clone(inner);
    // The platform may poll these pages less often than callers send requests.
    let limits = move || ConnectionLimits { timeouts: None, ..for_limit.connection_limits() };
    let server = serve_bounded(listener, stop.clone(), intake, limits, move |request, _peer| {
        let response = respond(&for_pages, request.uri());
        async move { response }
    });
    inner.tasks.spawn("pages", server);
    Ok(())
}

/// Runs the periodic work every [`TICK`] until `stop`.
async fn run_periodic_work(inner: Arc<Inner>, stop: CancellationToken) {
    let mut ticks = 0_u32;
    while !stop.is_cancelled() {
        inner.update_serving();
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

/// Returns the feed's callbacks, which apply its events to the relay.
fn feed_sink(inner: &Arc<Inner>) -> Sink {
    let (for_records, for_outages) = (Arc::clone(inner), Arc::clone(inner));
    let (for_suspension, for_queries) = (Arc::clone(inner), Arc::clone(inner));
    let (for_callers, for_restores) = (Arc::clone(inner), Arc::clone(inner));
    Sink {
        on_record: Box::new(move |event| apply_record_event(&for_records.relay, event)),
        on_store_away: Box::new(move |unavailable, age| {
            for_outages.relay.set_store_unavailable(unavailable, age);
        }),
        on_restore: Box::new(move |former, at| for_restores.relay.record_restore(former, at)),
        was_suspended: Box::new(move || for_suspension.relay.is_behind()),
        has_waiting_callers: Box::new(move || for_callers.relay.has_early_request()),
        on_query_end: Box::new(move |report| record_query_report(&for_queries.relay, report)),
    }
}

/// Counts a query of the feed, and records the time of a successful query for updates.
fn record_query_report(relay: &Relay, report: &QueryReport) {
    let origin = if report.origin == Origin::Store { "store" } else { "member" };
    relay.count_store_update(origin, report.error.unwrap_or("answered"), report.bytes);
    if report.error.is_none() && report.kind == QueryKind::News {
        relay.record_store_update(report.at);
    }
}

fn apply_record_event(relay: &Relay, event: RecordEvent) {
    match event {
        RecordEvent::Declared(declaration) => {
            relay.apply_declaration(*declaration);
        }
        RecordEvent::Published(upstream) => relay.publish(upstream),
        RecordEvent::Removed(id) => relay.remove_entry(&id),
        RecordEvent::EvacuationBegun { zone, position } => relay.begin_evacuation(&zone, position),
        RecordEvent::EvacuationEnded(zone) => relay.end_evacuation(&zone),
        RecordEvent::Unreadable { searcher } => {
            relay.count_unreadable();
            if let Some(id) = searcher {
                relay.overwrite_entry(&id);
            }
        }
    }
}
