//! What is in force at this member, and the way of a request through it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::{self, Write as _};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bergamot_base::{Name, Revision, hash_bytes};
use bergamot_config::{Floor, Verdict};
use bergamot_declaration::{Declaration, Route, Split, Target};
use bergamot_dispatch::{Allowance, Distance, Need, Patience, Tally, rank};
use bergamot_logger::Sampler;
use bergamot_registry::{Registry, Upstream};
use bergamot_upstream::Pace;
use bergamot_wire::{Late, ShardQuery, ShardReply};
use hyper::header::HeaderValue;
use rand::RngExt;
use tokio::sync::Notify;

use crate::delegate::{Elsewhere, Helper, Helpers, Helping};
use crate::dialect::Dialect;
use crate::gather::gather;
use crate::helper::{self, Rests};
use crate::link::Link;
use crate::message::{Cause, Job, Refusal, Reply, Request};
use crate::meter::{Meter, outcome};
use crate::race::{Plan, Race};
use crate::settings::Settings;

/// When a caller may come back after a refusal.
///
/// Most reasons pass within this time: a pause of a searcher, a full queue, a connection
/// that is being opened. Callers heed at most a third of the time that they have left.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);

/// When a caller may come back to an instance that has just started.
const START_RETRY: Duration = Duration::from_millis(300);

/// How old the news of the store is when it counts as away.
const STALE: Duration = Duration::from_millis(1500);

/// How many of a searcher's connections no member opens: one that is being closed still
/// counts at the searcher for a moment.
const SPARE_CONNECTIONS: usize = 1;

/// The percentile of the first attempts' times that counts as usual.
///
/// Searchers pause for 4 in 100 of the time: beyond the 94th percentile, most of what is
/// still silent is paused. At 85 the allowance is spent on answers that are on their way.
const USUAL: usize = 94;

/// How many ordinary ends of requests are logged a second; the rest is counted.
const ORDINARY_LINES: u32 = 10;

/// How many connections are opened ahead of need in one tick.
const WARMED_A_TICK: usize = 6;

/// How many connections a searcher is taken to accept where that is not declared.
const ASSUMED_CONNECTIONS: usize = 16;

struct State {
    floor: Floor,
    declaration: Option<Arc<Declaration>>,
    registry: Registry,
    links: HashMap<Name, Arc<Link>>,
    splits: HashMap<Name, Split>,
    allowances: HashMap<Name, Allowance>,
    paces: HashMap<Name, Pace>,
    sampler: Sampler,
    members: usize,
    store_away_since: Option<Instant>,
}

/// What is in force at this member.
pub struct Relay {
    settings: Settings,
    dialect: Dialect,
    meter: Meter,
    state: Mutex<State>,
    helpers: Mutex<Helpers>,
    helping: Helping,
    pub(crate) rests: Mutex<Rests>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Relay({})", self.settings.address)
    }
}

impl Relay {
    /// Makes a relay that knows no declaration and no searcher yet.
    ///
    /// `helping` takes questions to other members.
    pub fn new(settings: Settings, dialect: Dialect, helping: Helping) -> Arc<Self> {
        let state = Mutex::new(State::new());
        let (helpers, rests) = (Mutex::default(), Mutex::default());
        Arc::new(Self { settings, dialect, meter: Meter::new(), state, helpers, helping, rests })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn dialect(&self) -> &Dialect {
        &self.dialect
    }

    pub(crate) fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Takes in which other members may be asked for shards in their region.
    pub fn set_helpers(&self, known: Vec<Helper>) {
        self.with_helpers(|helpers| helpers.set(known));
    }

    /// Answers the question of another member.
    pub async fn answer(self: &Arc<Self>, query: ShardQuery) -> ShardReply {
        helper::answer(self, query).await
    }

    /// Answers a member that asks for the next shards of its earlier question.
    pub async fn rest(self: &Arc<Self>, token: u64) -> Vec<Late> {
        helper::rest(self, token).await
    }

    pub(crate) fn with_helpers<T>(&self, change: impl FnOnce(&mut Helpers) -> T) -> T {
        change(&mut self.helpers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn helping(&self) -> &Helping {
        &self.helping
    }

    /// Returns where the searcher is that would be asked, if it is not in our zone.
    pub(crate) fn elsewhere(&self, service: &str) -> Option<Elsewhere> {
        let link = self.choose(service, &[])?;
        let zone = &link.upstream.zone;
        match link.distance {
            Distance::Zone => None,
            Distance::Region => Some(Elsewhere::Zone(Name::clone(zone))),
            Distance::Far => self.settings.regions.get(zone).cloned().map(Elsewhere::Region),
        }
    }

    /// Returns the metrics, for the text form.
    pub fn metrics(&self) -> &prometheus::Registry {
        self.meter.registry()
    }

    /// Writes what is in force and what is known of each searcher, one line each.
    pub fn dump(&self) -> String {
        let state = self.lock();
        let away = state.store_away_since.is_some();
        let version = state.floor.revision();
        let mut text =
            format!("declaration {version} members {} store_away {away}\n", state.members);
        let now = Instant::now();
        for upstream in state.registry.iter() {
            let line = state.links.get(&upstream.id).map_or_else(
                || "not_linked".to_owned(),
                |link| {
                    let usage = link.pool.usage();
                    let expected = link.candidate(false, now).expected;
                    let (open, share, idle) = (usage.open, usage.share, usage.idle);
                    format!("connections {open}/{share} idle {idle} expected_ms {expected:.1}")
                },
            );
            let Upstream { id, service, address, zone, state, .. } = &**upstream;
            // Writing into a string can't fail.
            let _ = writeln!(text, "searcher {id} {service} {address} {zone} {state:?} {line}");
        }
        text
    }

    /// Writes a line of counts to the log.
    pub fn log_summary(&self) {
        let paces: Vec<String> =
            self.lock().paces.iter().map(|(route, pace)| format!("{route}:{pace}")).collect();
        log::info!("relay: event=summary {} usual={paces:?}", self.meter.summary());
    }

    /// Puts a checked declaration in force if it is newer than the one that is.
    pub fn declare(&self, declaration: Declaration) -> Verdict {
        let hash = hash_bytes(format!("{:?}", declaration.routes).as_bytes());
        let mut state = self.lock();
        let verdict = state.floor.adopt(declaration.version, hash);
        if verdict == Verdict::Newer {
            let (version, routes) = (declaration.version, declaration.routes.len());
            log::info!("relay: event=declaration_in_force version={version} routes={routes}");
            let names = |name: &Name| declaration.routes.iter().any(|route| route.name == *name);
            state.splits.retain(|name, _| names(name));
            state.paces.retain(|name, _| names(name));
            self.meter.forget_routes();
            self.meter.version.set(version as i64);
            state.declaration = Some(Arc::new(declaration));
            Self::share(&state);
        }
        verdict
    }

    /// Returns the declaration in force.
    pub fn declaration(&self) -> Option<Arc<Declaration>> {
        self.lock().declaration.clone()
    }

    /// Returns the version in force, zero for none.
    pub fn version(&self) -> Revision {
        self.lock().floor.revision()
    }

    /// Changes the registry.
    pub fn with_registry<T>(&self, change: impl FnOnce(&mut Registry) -> T) -> T {
        change(&mut self.lock().registry)
    }

    /// Notes whether the store can be heard of.
    ///
    /// Only an outage as long as the silence after which entries expire puts the entries that
    /// are missing afterwards in doubt.
    pub fn set_store_away(&self, away: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        match (state.store_away_since, away) {
            (None, true) => state.store_away_since = Some(now),
            (Some(since), false) => {
                state.store_away_since = None;
                if now.saturating_duration_since(since) + STALE >= self.settings.expiry {
                    state.registry.regained(now);
                }
            }
            (None, false) | (Some(_), true) => {}
        }
        self.meter.store_away.set(i64::from(away));
    }

    /// Notes how many members share the searchers, and does what is due now and then.
    ///
    /// A member that does not serve opens no connection ahead of need.
    pub fn tick(&self, members: usize, serves: bool) {
        let mut state = self.lock();
        let away = state.store_away_since.is_some();
        for id in state.registry.expire(Instant::now(), away) {
            log::info!("relay: event=searcher_gone searcher={id} cause=\"its entry is missing\"");
        }
        let changed = state.members != members;
        state.members = members;
        let State { registry, links, .. } = &mut *state;
        links.retain(|id, link| {
            let known = registry.contains(id);
            if !known || !registry.takes_work(id) {
                link.pool.close();
            }
            known
        });
        let open: usize = state.links.values().map(|link| link.pool.usage().open).sum();
        self.meter.connections.set(open as i64);
        self.meter.searchers.set(state.registry.len() as i64);
        self.meter.members.set(members as i64);
        if changed {
            Self::share(&state);
        }
        if serves {
            self.meet(&mut state);
            Self::warm(&state);
        }
    }

    /// Makes the links to searchers that were published since.
    fn meet(&self, state: &mut State) {
        let Some(declaration) = state.declaration.clone() else {
            return;
        };
        for service in declaration.services.keys() {
            let share = share(state, service);
            let State { registry, links, .. } = state;
            for (upstream, _missing) in registry.usable(service) {
                self.link(links, upstream, share);
            }
        }
    }

    /// Returns how many connections the scarcest shards accept, if any are declared.
    pub fn fewest_connections(&self) -> Option<usize> {
        let declaration = self.declaration()?;
        let shards = |route: &Route| match &route.target {
            Target::Gather(gather) => gather.shards.clone(),
            Target::Service(_) | Target::Split(_) => Vec::new(),
        };
        let shards = declaration.routes.iter().flat_map(shards);
        shards.filter_map(|shard| declaration.connections(&shard)).min()
    }

    /// Counts for how many services each region holds a searcher that takes work.
    pub fn covered(&self) -> BTreeMap<Name, usize> {
        let regions = &self.settings.regions;
        self.count_services(|upstream| regions.get(&upstream.zone).map(Name::clone))
    }

    /// Counts for how many services each availability zone holds a searcher that takes work.
    pub fn covered_zones(&self) -> BTreeMap<Name, usize> {
        self.count_services(|upstream| Some(Name::clone(&upstream.zone)))
    }

    fn count_services(&self, place: impl Fn(&Upstream) -> Option<Name>) -> BTreeMap<Name, usize> {
        let state = self.lock();
        let mut services = BTreeMap::<Name, BTreeSet<&Name>>::new();
        let Some(declaration) = &state.declaration else {
            return BTreeMap::new();
        };
        for service in declaration.routes.iter().flat_map(|route| route.target.services()) {
            for (upstream, _missing) in state.registry.usable(service) {
                if let Some(place) = place(upstream) {
                    services.entry(place).or_default().insert(service);
                }
            }
        }
        services.into_iter().map(|(place, covered)| (place, covered.len())).collect()
    }

    /// Takes a request to its end.
    pub async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        let Some(declaration) = self.declaration() else {
            let retry_after = Some(START_RETRY);
            return Reply::Refused(Refusal { cause: Cause::NotReady, retry_after });
        };
        let Some(route) = declaration.find(&request.host, request.uri.path()) else {
            return Reply::Refused(Refusal { cause: Cause::NoRoute, retry_after: None });
        };
        let (received, id) = (request.received, request.id.clone());
        let reply = self.route(route, request).await;
        let took = received.elapsed();
        self.meter.request(&route.name, &reply, took);
        self.log_end(&id, route, declaration.version, &reply, took);
        reply
    }

    /// Logs how a request ended: ordinary ends up to a settled rate, all others.
    fn log_end(
        &self,
        id: &HeaderValue,
        route: &Route,
        version: Revision,
        reply: &Reply,
        took: Duration,
    ) {
        let ordinary = matches!(reply, Reply::Passed(passed) if !passed.status.is_server_error())
            || matches!(reply, Reply::Whole(whole) if whole.missing == 0);
        let left_out = if ordinary { self.lock().sampler.admit(Instant::now()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        let (outcome, route, took) = (outcome(reply), &route.name, took.as_millis());
        let detail = match reply {
            Reply::Passed(passed) => format!("status={}", passed.status.as_u16()),
            Reply::Whole(whole) => format!("missing={}", whole.missing),
            Reply::Refused(refusal) => {
                let after = refusal.retry_after.map_or(0, |after| after.as_millis());
                format!("retry_after_ms={after}")
            }
        };
        log::info!(
            "relay: event=ended request={id:?} route={route} version={version} outcome={outcome} \
             {detail} took_ms={took} ordinary_left_out={left_out}"
        );
    }

    async fn route(self: &Arc<Self>, route: &Route, request: Request) -> Reply {
        let usual = self.lock().paces.get(&route.name).and_then(Pace::slow);
        let patience = Patience::new(route, request.deadline, usual);
        let tally = match &route.target {
            Target::Gather(gather) => Tally::new(gather.shards.len(), gather.fewest()),
            Target::Service(_) | Target::Split(_) => Tally::new(1, 1),
        };
        let job = Arc::new(Job {
            request,
            tally: Mutex::new(tally),
            changed: Notify::new(),
            route: Name::clone(&route.name),
            kind: route.kind,
            attempts: route.attempts,
            answered: AtomicBool::new(false),
            left_out: OnceLock::new(),
        });
        match &route.target {
            Target::Gather(shards) => gather(self, &job, shards, patience).await,
            Target::Service(service) => self.pass(&job, service, patience).await,
            Target::Split(shares) => {
                let service = self.lock().splits.entry(route_key(route)).or_default().next(shares);
                match service {
                    Some(service) => self.pass(&job, &service, patience).await,
                    None => Reply::Refused(Refusal { cause: Cause::NotRun, retry_after: None }),
                }
            }
        }
    }

    async fn pass(self: &Arc<Self>, job: &Arc<Job>, service: &Name, patience: Patience) -> Reply {
        self.earn(service);
        let lost = match Race::new(self, job, service, Plan::new(job, patience)).run().await {
            Ok(passed) => {
                job.answered.store(true, Ordering::Relaxed);
                return Reply::Passed(passed);
            }
            Err(lost) => lost,
        };
        if let Some(failure) = lost.failure {
            return Reply::Passed(*failure);
        }
        let cause = match () {
            () if lost.ending.did_not_run() => Cause::NotRun,
            () if lost.late => Cause::Late,
            () => Cause::Lost,
        };
        let request = &job.request.id;
        log::info!("relay: event=refused request={request:?} service={service} outcome={cause:?}");
        Reply::Refused(Refusal { cause, retry_after: Some(RETRY_AFTER) })
    }

    /// Chooses the searcher for the next attempt among those not tried yet.
    pub(crate) fn choose(&self, service: &str, tried: &[Name]) -> Option<Arc<Link>> {
        let now = Instant::now();
        let mut state = self.lock();
        let share = share(&state, service);
        let State { registry, links, .. } = &mut *state;
        let candidates = registry
            .usable(service)
            .filter(|(upstream, _)| !tried.contains(&upstream.id))
            .map(|(upstream, missing)| self.link(links, upstream, share).candidate(missing, now))
            .collect();
        drop(state);
        let mut rng = rand::rng();
        rank(candidates, || rng.random()).into_iter().next()
    }

    fn link(
        &self,
        links: &mut HashMap<Name, Arc<Link>>,
        upstream: &Arc<Upstream>,
        share: usize,
    ) -> Arc<Link> {
        let link = links
            .entry(Name::clone(&upstream.id))
            .or_insert_with(|| Link::new(Arc::clone(upstream), share, &self.settings));
        Arc::clone(link)
    }

    /// Notes that a searcher failed a request that another member sent it for us.
    pub(crate) fn note_failure(&self, id: &str) {
        if let Some(link) = self.lock().links.get(id) {
            link.outlook().fail(Instant::now());
        }
    }

    /// Notes how long a first attempt for a route took.
    pub(crate) fn note_pace(&self, route: &Name, took: Duration) {
        let mut state = self.lock();
        let pace = state.paces.entry(Name::clone(route)).or_insert_with(|| Pace::new(USUAL));
        pace.record(took);
    }

    /// Opens connections ahead of need to searchers that have none.
    ///
    /// A new connection takes a round trip and some of the searcher's time, so that a first
    /// request on it is late; a hedge to another region would be by 20 ms and more. A few at
    /// a time, so that not all members come at once.
    fn warm(state: &State) {
        let now = Instant::now();
        let cold = |link: &&Arc<Link>| link.pool.usage().open == 0 && link.may_warm(now);
        for link in state.links.values().filter(cold).take(WARMED_A_TICK) {
            let pool = Arc::clone(&link.pool);
            tokio::spawn(async move {
                if let Err(fault) = pool.warm().await {
                    log::debug!("relay: event=warm_failed cause=\"{fault}\"");
                }
            });
        }
    }

    /// Tells whether a service has a searcher that may be asked.
    pub(crate) fn has_searcher(&self, service: &str) -> bool {
        self.lock().registry.usable(service).next().is_some()
    }

    /// Tells whether new work may be sent to an incarnation.
    pub(crate) fn takes_work(&self, id: &str) -> bool {
        self.lock().registry.takes_work(id)
    }

    /// Notes that an incarnation has ended, since another answered at its address.
    pub(crate) fn ended(&self, id: &Name, other: Option<&str>) {
        let other = other.unwrap_or("unnamed");
        if self.lock().registry.end(id) {
            log::info!(
                "relay: event=searcher_gone searcher={id} cause=\"{other} has its address\""
            );
        }
    }

    /// Counts a request for a service.
    pub(crate) fn earn(&self, service: &Name) {
        let now = Instant::now();
        let terms = &self.settings.terms;
        self.lock().allowance(service, now).earn(now, terms);
    }

    /// Spends one additional attempt at a service, if the bound has room for it.
    pub(crate) fn spend(&self, service: &Name, need: Need) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let members = state.members;
        let granted = state.allowance(service, now).spend(now, &self.settings.terms, members, need);
        if !granted {
            self.meter.denied.inc();
        }
        granted
    }

    /// Gives every link its share of connections.
    fn share(state: &State) {
        for link in state.links.values() {
            link.pool.resize(share(state, &link.upstream.service));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn new() -> Self {
        Self {
            floor: Floor::default(),
            declaration: None,
            registry: Registry::default(),
            links: HashMap::new(),
            splits: HashMap::new(),
            allowances: HashMap::new(),
            paces: HashMap::new(),
            sampler: Sampler::new(ORDINARY_LINES),
            members: 1,
            store_away_since: None,
        }
    }

    fn allowance(&mut self, service: &Name, now: Instant) -> &mut Allowance {
        self.allowances.entry(Name::clone(service)).or_insert_with(|| Allowance::new(now))
    }
}

/// Returns how many connections this member may open to each searcher of a service.
fn share(state: &State, service: &str) -> usize {
    let declared = state.declaration.as_ref().and_then(|declared| declared.connections(service));
    let all = declared.unwrap_or(ASSUMED_CONNECTIONS).saturating_sub(SPARE_CONNECTIONS);
    (all / state.members.max(1)).max(1)
}

fn route_key(route: &Route) -> Name {
    Name::clone(&route.name)
}
