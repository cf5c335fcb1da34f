//! One run of a daemon: its membership, the document in force, and its control loops.

use std::collections::{BTreeMap, HashSet};
use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use bergamot_base::{Incarnation, Name, PauseGate, Seed, TaskSupervisor};
use bergamot_config::{Document, RevisionStatus, RevisionTracker, Settings};
use bergamot_members::{
    Digest, Endpoint, Homes, Membership, Outgoing, Record, Role, Rumour, State, Suspicions, Timing,
    View,
};
use bergamot_net::{Intakes, NetworkError, listen};
use bergamot_quarantine::Quarantine;
use bergamot_resources::{Memory, Shares};
use prometheus::Registry;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::machine::machine;
use crate::metrics::Metrics;
use crate::{admin, control, platform, pulls};

/// The number of leaving searchers that are retained for members that start or were paused.
const MAX_LEAVING: usize = 4096;

/// The interval at which a starting node tries to obtain a document.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The number of attempts to obtain a document per log line.
const ATTEMPTS_PER_LOG_LINE: u32 = 25;

/// How long a departure announcement has to reach peers before the next one, or before the sockets
/// close.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(50);

/// The number of times that a departure is announced.
const DEPARTURE_ANNOUNCEMENTS: usize = 3;

/// Called with a searcher that is leaving, and with its run if that is known.
pub type LeavingHandler = Box<dyn Fn(SocketAddr, Option<&Name>) + Send + Sync>;

/// Returns the text of one section of the state dump.
pub type Dump = Box<dyn Fn() -> String + Send + Sync>;

/// The document in force.
#[derive(Debug)]
pub struct ActiveDocument {
    /// The document.
    pub document: Document,
}

/// State of the control loop, protected by one lock.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) membership: Membership,
    /// Reports between members of requests under which searchers crash.
    pub(crate) suspicions: Suspicions,
    pub(crate) revision_tracker: RevisionTracker,
    pub(crate) rng: StdRng,
    /// The hashes of the document and the placement for which the homes were computed.
    homes_key: (u64, u64),
}

/// One run of a daemon, as known to the other members.
pub struct Node {
    settings: Arc<Settings>,
    endpoint: Endpoint,
    incarnation: Incarnation,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) control: Mutex<Control>,
    active_document: ArcSwapOption<ActiveDocument>,
    homes: ArcSwap<Homes>,
    /// The number of changes of the document or the homes.
    changes: watch::Sender<u64>,
    leaving: Mutex<BTreeMap<SocketAddr, Name>>,
    /// The searchers that the last instance list marks as leaving.
    pub(crate) listed_leaving: Mutex<HashSet<SocketAddr>>,
    leaving_handler: OnceLock<LeavingHandler>,
    pub(crate) pause_gate: PauseGate,
    pub(crate) socket: UdpSocket,
    /// The hashes of document texts that were refused.
    pub(crate) refused_hashes: Mutex<HashSet<u64>>,
    /// Held during a pull of a later revision.
    pub(crate) pull_lock: tokio::sync::Mutex<()>,
    pub(crate) stop: CancellationToken,
    tasks: TaskSupervisor,
    metrics: Metrics,
    registry: Registry,
    intakes: Arc<Intakes>,
    dumps: Mutex<Vec<(&'static str, Dump)>>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Node({} {:x})", self.endpoint, self.incarnation)
    }
}

impl Node {
    /// Binds the control and admin sockets and starts the control loops.
    ///
    /// The node has no document yet; see [`Node::join`].
    pub async fn start(settings: Arc<Settings>, role: Role) -> Result<Arc<Self>, NetworkError> {
        let endpoint = Endpoint { ip: settings.instance.address, role };
        let incarnation = new_incarnation();
        let address = control_address(&settings, endpoint);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|e| NetworkError::new("bind control", address, e))?;
        let stream_listener = listen(address).await?;
        let admin_listener = listen(admin_address(&settings, endpoint)).await?;
        let (registry, stop) = (Registry::new(), CancellationToken::new());
        let shares = Shares::from(machine(&settings));
        let intakes = Intakes::new(shares, Memory::new(shares.request_bytes), &registry);
        let quarantine = Arc::default();
        let node = Arc::new(Self {
            endpoint,
            incarnation,
            control: Mutex::new(Control::new(&settings, endpoint, incarnation, &quarantine)),
            quarantine,
            active_document: ArcSwapOption::empty(),
            homes: ArcSwap::default(),
            changes: watch::Sender::new(0),
            leaving: Mutex::default(),
            listed_leaving: Mutex::default(),
            leaving_handler: OnceLock::new(),
            pause_gate: PauseGate::new(settings.control.pause),
            socket,
            refused_hashes: Mutex::default(),
            pull_lock: tokio::sync::Mutex::default(),
            tasks: TaskSupervisor::new(stop.clone()),
            stop,
            metrics: Metrics::new(&registry),
            registry,
            intakes,
            dumps: Mutex::default(),
            settings,
        });
        node.tasks.spawn("control", control::run(Arc::clone(&node)));
        node.tasks.spawn("pulse", control::detect_pauses(Arc::clone(&node)));
        node.tasks.spawn("pulls", pulls::serve(Arc::clone(&node), stream_listener));
        node.tasks.spawn("admin", admin::serve(Arc::clone(&node), admin_listener));
        log::info!("node: {endpoint} started with incarnation {incarnation:x}.");
        Ok(node)
    }

    /// Joins the fleet by reading the platform and pulling from peers. Returns once a document is
    /// in force; nothing may be served before.
    pub async fn join(self: &Arc<Self>) {
        platform::read_list(self).await;
        let mut attempt = 0;
        loop {
            pulls::catch_up(self, true).await;
            if self.active_document().is_some() {
                break;
            }
            if attempt % ATTEMPTS_PER_LOG_LINE == 0 {
                log::warn!(
                    "node: No document yet; neither the platform nor a peer has provided one."
                );
            }
            attempt += 1;
            tokio::time::sleep(JOIN_RETRY_INTERVAL).await;
            platform::read_list(self).await;
        }
        self.tasks.spawn("list", platform::poll_list(Arc::clone(self)));
        self.tasks.spawn("document", platform::follow_document(Arc::clone(self)));
    }

    /// Returns the essential tasks of the daemon.
    pub fn tasks(&self) -> &TaskSupervisor {
        &self.tasks
    }

    /// Announces that this run is leaving or has left. From now on other members neither direct
    /// callers to it nor send it new work.
    pub async fn announce_departure(&self, state: State) {
        log::info!("node: {} announces its departure in state {state}.", self.endpoint);
        for _ in 0..DEPARTURE_ANNOUNCEMENTS {
            let out = {
                let mut control = self.lock();
                let digest = control.digest();
                control.membership.announce_departure(Instant::now(), state, digest)
            };
            self.transmit(out);
            tokio::time::sleep(DEPARTURE_INTERVAL).await;
        }
    }

    /// Stops the control loops permanently.
    pub fn close(&self) {
        self.stop.cancel();
    }

    /// Returns the settings of this process.
    pub fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// Returns the intakes of all listeners of the daemon.
    pub fn intakes(&self) -> &Arc<Intakes> {
        &self.intakes
    }

    /// Returns the quarantine of queries under which searchers crashed, which all members share.
    pub fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Returns the endpoint of this daemon.
    pub fn endpoint(&self) -> Endpoint {
        self.endpoint
    }

    /// Returns the incarnation number of this run.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the document in force, or `None` before the first.
    pub fn active_document(&self) -> Option<Arc<ActiveDocument>> {
        self.active_document.load_full()
    }

    /// Returns the homes of all cells.
    pub fn homes(&self) -> Arc<Homes> {
        self.homes.load_full()
    }

    /// Returns a receiver that is notified when the document or the homes change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Sets the handler that is called immediately when a searcher is reported as leaving.
    pub fn set_leaving_handler(&self, handler: LeavingHandler) {
        if self.leaving_handler.set(handler).is_err() {
            log::error!(
                "node: The handler for leaving searchers is already set; keeping the first."
            );
        }
    }

    /// Reports to the fleet that a searcher is leaving.
    pub fn report_leaving(&self, searcher: SocketAddr, run: Name) {
        self.retain_leaving(searcher, Name::clone(&run));
        let rumour = Rumour::Leaving { searcher, run };
        self.lock().membership.gossip(Instant::now(), rumour);
    }

    /// Handles a report that a searcher is leaving.
    pub(crate) fn handle_leaving(&self, searcher: SocketAddr, run: Option<Name>) {
        if let Some(handler) = self.leaving_handler.get() {
            handler(searcher, run.as_ref());
        }
        if let Some(run) = run {
            self.retain_leaving(searcher, run);
        }
    }

    /// Retains a report for members that start, or resume after a pause, when it is no longer
    /// gossiped.
    fn retain_leaving(&self, searcher: SocketAddr, run: Name) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.insert(searcher, run);
        if leaving.len() > MAX_LEAVING {
            leaving.pop_first();
        }
    }

    /// Returns the searchers known to be leaving, each with its run.
    pub fn leaving_searchers(&self) -> Vec<(SocketAddr, Name)> {
        let leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.iter().map(|(searcher, run)| (*searcher, Name::clone(run))).collect()
    }

    /// Returns whether new work may be sent to an endpoint.
    pub fn takes_work(&self, endpoint: Endpoint) -> bool {
        self.lock().membership.view().takes_work(endpoint)
    }

    /// Calls a function with the view of the members, under the lock.
    pub fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(self.lock().membership.view())
    }

    /// Returns the member record of a run; `None` means that the run has ended permanently.
    pub fn find_run(&self, incarnation: Incarnation) -> Option<Record> {
        self.lock()
            .membership
            .view()
            .iter()
            .find(|record| record.incarnation == incarnation)
            .cloned()
    }

    /// Returns whether new work may start now.
    pub fn is_awake(&self) -> bool {
        self.pause_gate.is_open(Instant::now())
    }

    /// Waits for a short time until new work may start, and returns whether it may.
    pub async fn wait_until_awake(&self) -> bool {
        self.pause_gate.wait_open().await
    }

    /// Catches up with a sender that has a higher revision, within `bound`. Returns whether that
    /// revision or a later one is then in force.
    pub async fn catch_up_to(self: &Arc<Self>, revision: u64, bound: Duration) -> bool {
        let caught_up =
            || self.active_document().is_some_and(|current| current.document.revision >= revision);
        if caught_up() {
            return true;
        }
        // Only the document in force afterwards matters, not whether the time was sufficient.
        let _ = tokio::time::timeout(bound, pulls::catch_up(self, false)).await;
        caught_up()
    }

    /// Returns the number of rumours that this node still gossips.
    pub fn rumour_count(&self) -> usize {
        self.lock().membership.rumour_count()
    }

    /// Returns the metrics of the node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the registry, to which services add their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Adds a section to the state dump.
    pub fn add_dump_section(&self, title: &'static str, dump: Dump) {
        self.dumps.lock().unwrap_or_else(PoisonError::into_inner).push((title, dump));
    }

    /// Returns the state of the process as text.
    pub fn dump(&self) -> String {
        let mut text = format!("[node]\n{} incarnation {:x}\n", self.endpoint, self.incarnation);
        if let Some(current) = self.active_document() {
            let _ = write!(text, "\n[document]\n{}", current.document);
        }
        {
            let control = self.lock();
            let clashes = control.revision_tracker.conflicts();
            let _ = write!(text, "clashes {clashes}\n\n[members]\n{}", control.membership.view());
        }
        let _ = write!(text, "\n[homes]\n{}", self.homes());
        let _ = write!(text, "\n[intakes]\n{}", self.intakes.dump());
        for (title, dump) in self.dumps.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = write!(text, "\n[{title}]\n{}", dump());
        }
        text
    }

    /// Puts a valid document in force if it is newer, and announces it to peers.
    pub(crate) fn apply_document(&self, document: Document) -> RevisionStatus {
        let (revision, hash) = (document.revision, document.hash);
        let mut control = self.lock();
        let status = control.revision_tracker.adopt(revision, hash);
        match status {
            RevisionStatus::Newer => {
                self.active_document.store(Some(Arc::new(ActiveDocument { document })));
                self.metrics.revision.set(revision as i64);
                control.homes_key = (0, 0);
                self.refresh_homes(&mut control);
                let digest = control.digest();
                let out = control.membership.announce_digest(digest);
                drop(control);
                self.transmit(out);
                log::info!("config: Revision {revision} is in force.");
            }
            RevisionStatus::Conflict => {
                self.metrics.clashes.set(control.revision_tracker.conflicts() as i64);
                drop(control);
                log::error!(
                    "config: Revision {revision} came with other content; keeping the one in force."
                );
            }
            RevisionStatus::Same | RevisionStatus::Older => {}
        }
        status
    }

    /// Recomputes the homes if the members or the document have changed.
    pub(crate) fn refresh_homes(&self, control: &mut Control) {
        self.metrics.members.set(control.membership.view().len() as i64);
        let Some(current) = self.active_document() else {
            return;
        };
        let key = (current.document.hash, control.membership.view().placement_hash());
        if control.homes_key == key {
            return;
        }
        control.homes_key = key;
        let gathers = control.membership.view().placement_candidates(Role::Gather);
        let homes = Homes::compute(&current.document.layout, current.document.regions(), gathers);
        self.homes.store(Arc::new(homes));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Sends datagrams. A datagram that the socket does not accept immediately is dropped, as any
    /// network may drop it.
    pub(crate) fn transmit(&self, out: Vec<Outgoing>) {
        for outgoing in out {
            let bytes = bergamot_wire::encode(outgoing.datagram);
            let address = control_address(&self.settings, outgoing.to);
            self.metrics.datagrams.with_label_values(&["out"]).inc();
            self.metrics.datagram_bytes.with_label_values(&["out"]).inc_by(bytes.len() as u64);
            if let Err(error) = self.socket.try_send_to(&bytes, address) {
                log::debug!("node: Datagram to {address} was not sent: {error}.");
            }
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Control {
    /// Returns the digest of the state in force, as sent to peers.
    pub(crate) fn digest(&self) -> Digest {
        let (revision, hash) = (self.revision_tracker.revision(), self.revision_tracker.hash());
        Digest { revision, hash, suspicions: self.suspicions.hash(), ..Digest::default() }
    }

    fn new(
        settings: &Settings,
        endpoint: Endpoint,
        incarnation: Incarnation,
        quarantine: &Arc<Quarantine>,
    ) -> Self {
        let now = Instant::now();
        let zone = Name::clone(&settings.instance.zone);
        let own = Record {
            endpoint,
            zone,
            incarnation,
            counter: 0,
            state: State::Alive,
            weight: 0,
            protocol: 0,
        };
        let timing = Timing {
            probe: settings.control.probe,
            answer: settings.control.answer,
            suspicion: settings.control.suspicion,
        };
        let seed = Seed(incarnation);
        // Members are discovered through the platform's instance list, not through seeds.
        let seeds = Vec::new();
        Self {
            membership: Membership::new(now, timing, own, seeds, seed.generator("membership")),
            suspicions: Suspicions::new(Arc::clone(quarantine)),
            revision_tracker: RevisionTracker::default(),
            rng: seed.generator("node"),
            homes_key: (0, 0),
        }
    }
}

/// Returns the address of an endpoint's control sockets.
pub(crate) fn control_address(settings: &Settings, endpoint: Endpoint) -> SocketAddr {
    let port = match endpoint.role {
        Role::Entry => settings.ports.entry_control,
        Role::Gather => settings.ports.gather_control,
    };
    SocketAddr::from((endpoint.ip, port))
}

fn admin_address(settings: &Settings, endpoint: Endpoint) -> SocketAddr {
    let port = match endpoint.role {
        Role::Entry => settings.ports.entry_admin,
        Role::Gather => settings.ports.gather_admin,
    };
    SocketAddr::from((endpoint.ip, port))
}

/// Creates an incarnation number: the time in milliseconds, so that later runs at an address
/// override earlier ones, followed by random bits, so that no two runs have the same number.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random: u16 = rand::rng().random();
    (since_epoch.as_millis() as u64) << 16 | u64::from(random)
}
