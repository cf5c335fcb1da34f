//! The current state of this member: declaration, registry and members.

use std::collections::HashSet;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bergamot_base::{Name, PauseGate, Position, Revision};
use bergamot_config::RevisionStatus;
use bergamot_declaration::{Declaration, Residency};
use bergamot_dispatch::{Share, StallPeriod, Unavailability};
use bergamot_logger::ChangeAggregator;
use bergamot_placement::{Constraints, WithheldCounts};
use bergamot_quarantine::Quarantine;
use bergamot_registry::{Registry, Upstream};
use bergamot_resources::{HeadCopies, Memory, Usage};
use bergamot_upstream::ReadTurns;
use bergamot_wire::{Late, ReportingReply, ShardQuery, ShardReply};

use crate::admission::Asking;
use crate::coordinator::PoolCoordinator;
use crate::delegate::Helping;
use crate::delegates::{DelegateMember, DelegateMembers};
use crate::dialect::Dialect;
use crate::meter::Meter;
use crate::monitor::Monitor;
use crate::planned_stop::StopState;
use crate::settings::Settings;
use crate::shard_query::{self, Answered, PendingResults};
use crate::state::State;

/// The part of the bound of requests that the copies of large heads may take in addition to it.
const HEAD_COPIES_PART: usize = 4;

/// The current state of this member.
pub struct Relay {
    pub(crate) settings: Settings,
    dialect: Dialect,
    pub(crate) meter: Meter,
    state: Mutex<State>,
    delegates: Mutex<DelegateMembers>,
    helping: Helping,
    /// When the coordinators of pools are asked.
    asking: Mutex<Asking>,
    /// Admission to the pools that this member coordinates.
    coordinator: Arc<PoolCoordinator>,
    /// Makes new requests wait for a store update after the process was paused.
    pause_gate: PauseGate,
    /// When the last pause was detected, until a store update requested after it is received.
    woke_at: Mutex<Option<Instant>>,
    pub(crate) pending: Mutex<PendingResults>,
    /// Whether a request was received before the first declaration.
    early_request: AtomicBool,
    /// Searcher changes that have not been logged yet.
    changes: Mutex<ChangeAggregator>,
    /// What the connections to searchers report.
    pub(crate) monitor: Arc<Monitor>,
    /// Bounds the memory of all responses in progress.
    pub(crate) response_memory: Arc<Memory>,
    /// Bounds the memory of all requests in progress.
    request_memory: Arc<Memory>,
    /// Bounds the copies of large heads for attempts.
    pub(crate) head_copies: HeadCopies,
    /// The turns in which large responses are read.
    pub(crate) read_turns: ReadTurns,
    /// The period at which searchers stall, shared by all links.
    pub(crate) stall_period: StallPeriod,
    /// Requests suspected or known to crash searchers.
    quarantine: Arc<Quarantine>,
    pub(crate) stop: StopState,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Relay({})", self.settings.address)
    }
}

impl Relay {
    /// Creates a relay without a declaration or searchers.
    ///
    /// `helping` makes the calls to other members.
    pub fn new(settings: Settings, dialect: Dialect, helping: Helping) -> Arc<Self> {
        let state = Mutex::new(State::new(&settings));
        let delegates = Mutex::new(DelegateMembers::new(Arc::clone(&settings.policy)));
        let (pending, changes) = (Mutex::default(), Mutex::default());
        let pause_gate = PauseGate::new(settings.pause_threshold);
        let (meter, woke_at) = (Meter::new(), Mutex::default());
        let stall_period = StallPeriod::default();
        let monitor = Monitor::new(meter.responses.findings.clone());
        let response_memory = Memory::new(settings.response_memory_bytes);
        let request_memory = Memory::new(settings.request_memory_bytes);
        let head_copies = HeadCopies::new(settings.request_memory_bytes / HEAD_COPIES_PART);
        let coordinator = PoolCoordinator::new(&settings.policy, meter.admission.clone());
        Arc::new(Self {
            settings,
            dialect,
            meter,
            state,
            delegates,
            helping,
            asking: Mutex::default(),
            coordinator,
            pause_gate,
            woke_at,
            pending,
            early_request: AtomicBool::new(false),
            changes,
            monitor,
            response_memory,
            request_memory,
            head_copies,
            read_turns: ReadTurns::default(),
            stall_period,
            quarantine: Arc::default(),
            stop: StopState::default(),
        })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the requests suspected or known to crash searchers, shared by all members.
    pub fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Returns the memory that responses of searchers use and have used.
    pub fn response_memory(&self) -> Usage {
        self.response_memory.usage()
    }

    /// Returns the memory of requests in progress, of callers and of other members.
    pub fn request_memory(&self) -> &Arc<Memory> {
        &self.request_memory
    }

    pub(crate) fn dialect(&self) -> &Dialect {
        &self.dialect
    }

    pub(crate) fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Sets the other members to which shards of their region can be delegated.
    pub fn set_delegate_members(&self, known: Vec<DelegateMember>) {
        self.with_delegates(|delegates| delegates.set(known));
    }

    /// Sets the members that serve requests, including this one.
    pub fn set_members(&self, members: Vec<Ipv4Addr>) {
        self.lock().serving_members = members;
    }

    /// Answers a shard query of another member, for a request that may be processed in some
    /// regions.
    pub async fn answer_shard_query(
        self: &Arc<Self>,
        query: ShardQuery,
        residency: Residency,
    ) -> ShardReply {
        shard_query::answer(self, query, Constraints::new(residency)).await.reply
    }

    /// Answers a shard query of another member like [`Relay::answer_shard_query`], and reports the
    /// slow searchers near this member.
    pub async fn answer_reporting_query(
        self: &Arc<Self>,
        query: ShardQuery,
        residency: Residency,
    ) -> ReportingReply {
        let shards = query.shards.clone();
        let constraints = Constraints::new(residency);
        let Answered { reply, busy } = shard_query::answer(self, query, constraints).await;
        ReportingReply { reply, delays: self.delays_to_report(&shards), busy }
    }

    /// Returns to a member the next shards of its earlier query.
    pub async fn next_late_shards(self: &Arc<Self>, token: u64) -> Vec<Late> {
        shard_query::next_late(self, token).await
    }

    /// Returns the records left out of an earlier reply to a member.
    pub fn take_left_out_records(&self, token: u64) -> Option<Vec<u8>> {
        shard_query::take_records(self, token)
    }

    /// Returns the admission to the pools that this member coordinates.
    pub fn coordinator(&self) -> &Arc<PoolCoordinator> {
        &self.coordinator
    }

    pub(crate) fn with_asking<T>(&self, change: impl FnOnce(&mut Asking) -> T) -> T {
        change(&mut self.asking.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn with_delegates<T>(&self, change: impl FnOnce(&mut DelegateMembers) -> T) -> T {
        change(&mut self.delegates.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn helping(&self) -> &Helping {
        &self.helping
    }

    /// Returns the metrics, for exposition.
    pub fn metrics(&self) -> &prometheus::Registry {
        self.meter.registry()
    }

    /// Applies a checked declaration if it is newer than the current one.
    pub fn apply_declaration(&self, declaration: Declaration) -> RevisionStatus {
        let mut state = self.lock();
        let status = state.version_tracker.adopt(declaration.version, declaration.digest);
        if status == RevisionStatus::Newer {
            let (version, routes) = (declaration.version, declaration.routes.len());
            log::info!("relay: event=declaration_in_force version={version} routes={routes}");
            let names: HashSet<&Name> =
                declaration.routes.iter().map(|route| &route.name).collect();
            state.splits.retain(|name, _| names.contains(name));
            state.latency_percentiles.retain(|name, _| names.contains(name));
            state.caller_deadlines.retain(|name, _| names.contains(name));
            self.log_unknown_regions(&declaration);
            self.meter.forget_routes();
            self.meter.declaration_version.set(version as i64);
            let known = state.declaration.as_ref().map(|known| &known.services);
            let are_services_new = known != Some(&declaration.services);
            if are_services_new {
                state.placement.set_services(&declaration.services);
                state.are_links_complete = false;
            }
            state.declaration = Some(Arc::new(declaration));
            if are_services_new {
                Self::resize_pools(&state);
            }
        }
        status
    }

    /// Logs the routes that are bound to a region in which nothing runs; it admits no searcher.
    fn log_unknown_regions(&self, declaration: &Declaration) {
        let known: HashSet<&Name> = self.settings.regions.values().collect();
        for route in &declaration.routes {
            let unknown = route.residency.regions().iter().filter(|region| !known.contains(region));
            for region in unknown {
                log::warn!("relay: event=unknown_region route={} region={region}", route.name);
            }
        }
    }

    /// Returns the current declaration.
    pub fn declaration(&self) -> Option<Arc<Declaration>> {
        self.lock().declaration.clone()
    }

    /// Returns the regions in which every request to a host may be processed.
    pub fn host_residency(&self, host: &str) -> Residency {
        self.declaration().map(|declaration| declaration.host_residency(host)).unwrap_or_default()
    }

    /// Returns the current declaration version, or zero if there is none.
    pub fn version(&self) -> Revision {
        self.lock().version_tracker.revision()
    }

    /// Adds or updates the entry of a searcher.
    pub fn publish(&self, upstream: Upstream) {
        let is_cold = upstream.is_cold(Instant::now());
        let kind = if is_cold { "cold" } else { upstream.state.label() };
        let searcher = upstream.incarnation.clone();
        self.change(kind, searcher, |registry, now| registry.publish(upstream, now));
    }

    /// Records that the entry of a searcher is missing from the store.
    pub fn remove_entry(&self, id: &str) {
        self.change("missing", id, |registry, now| registry.remove_entry(id, now));
    }

    /// Records that the entry of a searcher may have been overwritten by a value that names no
    /// searcher.
    pub fn overwrite_entry(&self, id: &str) {
        self.change("overwritten", id, |registry, now| registry.overwrite_entry(id, now));
    }

    /// Withholds the searchers of an availability zone from all requests, until
    /// [`Relay::end_evacuation`].
    pub fn begin_evacuation(&self, zone: &Name, position: Position) {
        let mut state = self.lock();
        if !state.placement.evacuations.begin(Name::clone(zone), position, Instant::now()) {
            return;
        }
        let searchers = state.registry.iter().filter(|upstream| upstream.zone == *zone).count();
        self.meter.evacuated_zones.set(state.placement.evacuations.len() as i64);
        drop(state);
        log::warn!(
            "relay: event=evacuation_begun zone={zone} position={position} searchers={searchers}"
        );
    }

    /// Ends the evacuation of an availability zone because its record is gone.
    pub fn end_evacuation(&self, zone: &str) {
        let mut state = self.lock();
        let ended = state.placement.evacuations.end(zone, Instant::now());
        let held = state.placement.evacuations.contains(zone);
        self.meter.evacuated_zones.set(state.placement.evacuations.len() as i64);
        drop(state);
        if ended {
            log::warn!("relay: event=evacuation_ended zone={zone}");
        } else if held {
            log::warn!(
                "relay: event=evacuation_held zone={zone} cause=\"the restored store lacks its record\""
            );
        }
    }

    /// Ends the evacuations that a restored store has not regained in time.
    fn expire_evacuations(&self, state: &mut State) {
        for zone in state.placement.evacuations.expire(Instant::now()) {
            log::warn!(
                "relay: event=evacuation_ended zone={zone} cause=\"not written again after a restore\""
            );
        }
        self.meter.evacuated_zones.set(state.placement.evacuations.len() as i64);
    }

    /// Applies a change to the registry and queues it for the log if it had an effect.
    fn change(
        &self,
        kind: &'static str,
        searcher: impl fmt::Display,
        change: impl FnOnce(&mut Registry, Instant) -> bool,
    ) {
        let now = Instant::now();
        if self.with_registry(|registry| change(registry, now)) {
            self.lock_changes().record(now, kind, searcher);
        }
    }

    /// Logs the queued searcher changes if a report is due.
    ///
    /// `at` returns the known position of the store, and whether to name all searchers: a member
    /// that reads the store itself learns of them first.
    pub fn log_changes(&self, at: impl FnOnce() -> (Position, bool)) {
        let now = Instant::now();
        if !self.lock_changes().is_due(now) {
            return;
        }
        let (position, all) = at();
        for line in self.lock_changes().take_lines(now, all) {
            log::info!("relay: event=searchers_changed position={position} {line}");
        }
    }

    fn lock_changes(&self) -> MutexGuard<'_, ChangeAggregator> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change to the registry.
    pub fn with_registry<T>(&self, change: impl FnOnce(&mut Registry) -> T) -> T {
        change(&mut self.lock().registry)
    }

    /// Returns whether a request was received before the first declaration.
    pub fn has_early_request(&self) -> bool {
        self.early_request.load(Ordering::Relaxed)
    }

    /// Returns why requests can't be served yet: there is no declaration, or the quarantine is not
    /// synchronised.
    pub(crate) fn startup_unavailability(&self) -> Unavailability {
        self.early_request.store(true, Ordering::Relaxed);
        if self.lock().store_unavailable_since.is_some() {
            Unavailability::StoreOutage
        } else {
            Unavailability::Transient
        }
    }

    /// Returns why searchers of some services are missing. After a store outage, the entry of a
    /// live searcher returns with its next heartbeat; a cold searcher takes requests once it is
    /// warm; an evacuation ends when the operator says so.
    pub(crate) fn searcher_unavailability(
        &self,
        services: &[Name],
        constraints: &Constraints,
    ) -> Unavailability {
        let now = Instant::now();
        let state = self.lock();
        let since = state.store_recovered_at.map(|recovered_at| recovered_at.elapsed());
        let left = since.map(|since| self.settings.heartbeat.saturating_sub(since));
        if let Some(left) = left.filter(|left| !left.is_zero()) {
            return Unavailability::RestoringEntries(left);
        }
        let mut withheld = WithheldCounts::default();
        let mut warm_at = None::<Instant>;
        for service in services {
            let usable = || state.registry.usable(service);
            withheld.add(&state.placement.count_withheld(usable(), constraints, now));
            let cold =
                usable().filter_map(|(searcher, _)| state.placement.cold_until(searcher, now));
            warm_at = warm_at.max(cold.min());
        }
        match warm_at {
            Some(warm_at) => Unavailability::WarmingUp(warm_at - now),
            None if withheld.is_empty() => Unavailability::Transient,
            None => Unavailability::Withheld,
        }
    }

    /// Waits for a limited time until the state is no older than the last pause of the process.
    ///
    /// If no update arrives in that time, all requests proceed with the known state.
    pub(crate) async fn wait_until_current(&self) {
        if !self.settings.policy.catch_up.on {
            return;
        }
        if !self.pause_gate.wait_open().await {
            log::warn!(
                "relay: event=not_caught_up cause=\"no store update received since the pause\""
            );
            self.pause_gate.set_caught_up();
        }
    }

    /// Returns whether the process was paused and has received no update since.
    pub fn is_behind(&self) -> bool {
        !self.pause_gate.is_open(Instant::now())
    }

    /// Records that an update requested at `requested_at` was received.
    pub fn record_store_update(&self, requested_at: Instant) {
        let mut woke_at = self.woke_at.lock().unwrap_or_else(PoisonError::into_inner);
        if woke_at.is_some_and(|woke_at| requested_at >= woke_at) {
            *woke_at = None;
            self.pause_gate.set_caught_up();
        }
    }

    /// Detects a pause of the process.
    fn detect_pause(&self) {
        let now = Instant::now();
        if let Some(gap) = self.pause_gate.tick(now) {
            *self.woke_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
            log::warn!("relay: event=woke slept_ms={}", gap.as_millis());
        }
    }

    /// Sets this member's share of the searchers, and runs periodic tasks.
    ///
    /// A member that does not serve requests opens no connections in advance.
    pub fn tick(&self, share: impl Into<Share>, serves: bool) {
        let share = share.into();
        self.detect_pause();
        self.quarantine.expire(Instant::now());
        self.expire_admission(Instant::now());
        let mut state = self.lock();
        let store_unavailable = state.store_unavailable_since.is_some();
        for searcher in state.registry.expire(Instant::now(), store_unavailable) {
            self.lock_changes().record(Instant::now(), "gone", searcher);
        }
        self.expire_evacuations(&mut state);
        state.serves = serves;
        if state.share != share {
            state.share = share;
            Self::resize_pools(&state);
        }
        self.update_links(&mut state, serves);
        if serves {
            self.prewarm(&mut state, Instant::now());
        } else {
            state.prewarm_queue.clear();
            self.monitor.take_unconnected();
        }
        self.meter.connections.set(self.monitor.open() as i64);
        self.meter.responses.record_memory(self.response_memory.usage());
        self.meter.head_copies.set(self.head_copies.usage().0 as i64);
        self.meter.searchers.set(state.registry.len() as i64);
        self.meter.members.set(share.members() as i64);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
