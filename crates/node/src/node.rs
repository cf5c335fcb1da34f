//! One run of a daemon as the fleet sees it.

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
use bergamot_net::{NetworkError, listen};
use bergamot_quarantine::Quarantine;
use prometheus::Registry;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::meter::Meter;
use crate::{admin, control, platform, pulls};

/// How many leaving searchers are remembered for members that wake up or start.
const MOST_LEAVING: usize = 4096;

/// How often a starting node tries to get a document.
const RETRY: Duration = Duration::from_millis(200);

/// How many attempts to get a document share one line of the log.
const ATTEMPTS_PER_LINE: u32 = 25;

/// How long a farewell is given to reach peers before the sockets close.
const FAREWELL: Duration = Duration::from_millis(50);

/// How many times a farewell is sent.
const FAREWELLS: usize = 3;

/// What a service does with the word that a run of a searcher is leaving.
pub type LeavingSink = Box<dyn Fn(SocketAddr, Option<&Name>) + Send + Sync>;

/// A part of the state dump: its title and what to write.
pub type Dump = Box<dyn Fn() -> String + Send + Sync>;

/// The document in force.
#[derive(Debug)]
pub struct Current {
    /// The document.
    pub document: Document,
}

/// What the control loop changes under one lock.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) membership: Membership,
    /// What members tell each other of requests under which searchers end.
    pub(crate) suspicions: Suspicions,
    pub(crate) floor: RevisionTracker,
    pub(crate) rng: StdRng,
    homes_of: (u64, u64),
}

/// One run of a daemon as the fleet sees it.
pub struct Node {
    settings: Arc<Settings>,
    me: Endpoint,
    incarnation: Incarnation,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) control: Mutex<Control>,
    current: ArcSwapOption<Current>,
    homes: ArcSwap<Homes>,
    changed: watch::Sender<u64>,
    leaving: Mutex<BTreeMap<SocketAddr, Name>>,
    pub(crate) listed_leaving: Mutex<HashSet<SocketAddr>>,
    leaving_sink: OnceLock<LeavingSink>,
    pub(crate) awake: PauseGate,
    pub(crate) socket: UdpSocket,
    pub(crate) refused: Mutex<HashSet<u64>>,
    pub(crate) pulling: tokio::sync::Mutex<()>,
    pub(crate) stop: CancellationToken,
    tasks: TaskSupervisor,
    meter: Meter,
    registry: Registry,
    dumps: Mutex<Vec<(&'static str, Dump)>>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Node({} {:x})", self.me, self.incarnation)
    }
}

impl Node {
    /// Binds the control and admin sockets and starts the control loops.
    ///
    /// The node has no document yet; see [`Node::join`].
    pub async fn start(settings: Arc<Settings>, role: Role) -> Result<Arc<Self>, NetworkError> {
        let me = Endpoint { ip: settings.instance.address, role };
        let incarnation = new_incarnation();
        let address = control_address(&settings, me);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|e| NetworkError::new("bind control", address, e))?;
        let stream_listener = listen(address).await?;
        let admin_listener = listen(admin_address(&settings, me)).await?;
        let (registry, stop) = (Registry::new(), CancellationToken::new());
        let quarantine = Arc::default();
        let node = Arc::new(Self {
            me,
            incarnation,
            control: Mutex::new(Control::new(&settings, me, incarnation, &quarantine)),
            quarantine,
            current: ArcSwapOption::empty(),
            homes: ArcSwap::default(),
            changed: watch::Sender::new(0),
            leaving: Mutex::default(),
            listed_leaving: Mutex::default(),
            leaving_sink: OnceLock::new(),
            awake: PauseGate::new(settings.control.pause),
            socket,
            refused: Mutex::default(),
            pulling: tokio::sync::Mutex::default(),
            tasks: TaskSupervisor::new(stop.clone()),
            stop,
            meter: Meter::new(&registry),
            registry,
            dumps: Mutex::default(),
            settings,
        });
        node.tasks.spawn("control", control::run(Arc::clone(&node)));
        node.tasks.spawn("pulse", control::pulse(Arc::clone(&node)));
        node.tasks.spawn("pulls", pulls::serve(Arc::clone(&node), stream_listener));
        node.tasks.spawn("admin", admin::serve(Arc::clone(&node), admin_listener));
        log::info!("node: {me} started with incarnation {incarnation:x}.");
        Ok(node)
    }

    /// Joins the fleet: reads the platform, asks peers, and returns once a document is
    /// in force. Before that nothing may be served.
    pub async fn join(self: &Arc<Self>) {
        platform::read_list(self).await;
        let mut attempt = 0;
        loop {
            pulls::catch_up(self, true).await;
            if self.current().is_some() {
                break;
            }
            if attempt % ATTEMPTS_PER_LINE == 0 {
                log::warn!("node: No document yet; neither the platform nor a peer gave one.");
            }
            attempt += 1;
            tokio::time::sleep(RETRY).await;
            platform::read_list(self).await;
        }
        self.tasks.spawn("list", platform::poll_list(Arc::clone(self)));
        self.tasks.spawn("document", platform::follow_document(Arc::clone(self)));
    }

    /// Returns the tasks without which the daemon can't go on.
    pub fn tasks(&self) -> &TaskSupervisor {
        &self.tasks
    }

    /// Says farewell: from now on nobody names this run or sends it new work.
    pub async fn leave(&self, state: State) {
        log::info!("node: {} says farewell as {state}.", self.me);
        for _ in 0..FAREWELLS {
            let out = {
                let mut control = self.lock();
                let digest = control.digest();
                control.membership.farewell(Instant::now(), state, digest)
            };
            self.transmit(out);
            tokio::time::sleep(FAREWELL).await;
        }
    }

    /// Stops the control loops for good.
    pub fn close(&self) {
        self.stop.cancel();
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }

    /// Returns the queries under which searchers ended, which all members share.
    pub fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Returns where this daemon is found.
    pub fn me(&self) -> Endpoint {
        self.me
    }

    /// Returns the number of this run.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.load_full()
    }

    /// Returns the homes of all cells.
    pub fn homes(&self) -> Arc<Homes> {
        self.homes.load_full()
    }

    /// Returns a receiver that wakes when the document or the homes change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Sets what is done, at once, with the word that a searcher is leaving.
    pub fn on_leaving(&self, sink: LeavingSink) {
        if self.leaving_sink.set(sink).is_err() {
            log::error!("node: The sink for leaving searchers was set twice; the first stays.");
        }
    }

    /// Tells the fleet that a searcher is leaving.
    pub fn report_leaving(&self, searcher: SocketAddr, run: Name) {
        self.remember_leaving(searcher, Name::clone(&run));
        let rumour = Rumour::Leaving { searcher, run };
        self.lock().membership.spread(Instant::now(), rumour);
    }

    /// Takes in the word that a searcher is leaving.
    pub(crate) fn heard_leaving(&self, searcher: SocketAddr, run: Option<Name>) {
        if let Some(sink) = self.leaving_sink.get() {
            sink(searcher, run.as_ref());
        }
        if let Some(run) = run {
            self.remember_leaving(searcher, run);
        }
    }

    /// Remembers the word for members that start or wake up when the rumour is over.
    fn remember_leaving(&self, searcher: SocketAddr, run: Name) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.insert(searcher, run);
        if leaving.len() > MOST_LEAVING {
            leaving.pop_first();
        }
    }

    /// Returns the searchers known to be leaving, with the runs that are.
    pub fn leaving(&self) -> Vec<(SocketAddr, Name)> {
        let leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.iter().map(|(searcher, run)| (*searcher, Name::clone(run))).collect()
    }

    /// Tells whether new work may be sent to an endpoint.
    pub fn takes_work(&self, endpoint: Endpoint) -> bool {
        self.lock().membership.view().takes_work(endpoint)
    }

    /// Runs a function on the view of the members.
    pub fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(self.lock().membership.view())
    }

    /// Finds the entry of a run, or tells that the run is gone for good.
    pub fn find_run(&self, incarnation: Incarnation) -> Option<Record> {
        self.lock()
            .membership
            .view()
            .iter()
            .find(|record| record.incarnation == incarnation)
            .cloned()
    }

    /// Tells whether new work may start right now.
    pub fn is_awake(&self) -> bool {
        self.awake.is_open(Instant::now())
    }

    /// Waits, shortly, until new work may start.
    pub async fn awake(&self) -> bool {
        self.awake.wait_open().await
    }

    /// Catches up with a sender that has a higher revision, within a bound.
    pub async fn catch_up_to(self: &Arc<Self>, revision: u64, bound: Duration) -> bool {
        let ahead = || self.current().is_some_and(|current| current.document.revision >= revision);
        if ahead() {
            return true;
        }
        // Whether in time or not, what counts is the document afterwards.
        let _ = tokio::time::timeout(bound, pulls::catch_up(self, false)).await;
        ahead()
    }

    /// Returns how much news this node still passes on.
    pub fn rumours(&self) -> usize {
        self.lock().membership.rumours()
    }

    /// Returns the metrics of the node.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns the registry for more metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Adds a part to the state dump.
    pub fn add_dump(&self, title: &'static str, dump: Dump) {
        self.dumps.lock().unwrap_or_else(PoisonError::into_inner).push((title, dump));
    }

    /// Writes the state of the process as text.
    pub fn dump(&self) -> String {
        let mut text = format!("[node]\n{} incarnation {:x}\n", self.me, self.incarnation);
        if let Some(current) = self.current() {
            let _ = write!(text, "\n[document]\n{}", current.document);
        }
        {
            let control = self.lock();
            let clashes = control.floor.conflicts();
            let _ = write!(text, "clashes {clashes}\n\n[members]\n{}", control.membership.view());
        }
        let _ = write!(text, "\n[homes]\n{}", self.homes());
        for (title, dump) in self.dumps.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = write!(text, "\n[{title}]\n{}", dump());
        }
        text
    }

    /// Puts a checked document in force if it is newer, and tells peers.
    pub(crate) fn adopt(&self, document: Document) -> RevisionStatus {
        let (revision, hash) = (document.revision, document.hash);
        let mut control = self.lock();
        let verdict = control.floor.adopt(revision, hash);
        match verdict {
            RevisionStatus::Newer => {
                self.current.store(Some(Arc::new(Current { document })));
                self.meter.revision.set(revision as i64);
                control.homes_of = (0, 0);
                self.refresh_homes(&mut control);
                let digest = control.digest();
                let out = control.membership.announce(digest);
                drop(control);
                self.transmit(out);
                log::info!("config: Revision {revision} is in force.");
            }
            RevisionStatus::Conflict => {
                self.meter.clashes.set(control.floor.conflicts() as i64);
                drop(control);
                log::error!("config: Revision {revision} came with other content; ours stays.");
            }
            RevisionStatus::Same | RevisionStatus::Older => {}
        }
        verdict
    }

    /// Computes the homes anew where the members or the document have changed.
    pub(crate) fn refresh_homes(&self, control: &mut Control) {
        self.meter.members.set(control.membership.view().len() as i64);
        let Some(current) = self.current() else {
            return;
        };
        let key = (current.document.hash, control.membership.view().places_hash());
        if control.homes_of == key {
            return;
        }
        control.homes_of = key;
        let gathers = control.membership.view().placed(Role::Gather);
        let homes = Homes::compute(&current.document.layout, current.document.regions(), gathers);
        self.homes.store(Arc::new(homes));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Sends datagrams; what the socket does not take at once is lost, as on any network.
    pub(crate) fn transmit(&self, out: Vec<Outgoing>) {
        for outgoing in out {
            let bytes = bergamot_wire::encode(outgoing.datagram);
            let address = control_address(&self.settings, outgoing.to);
            self.meter.datagrams.with_label_values(&["out"]).inc();
            self.meter.datagram_bytes.with_label_values(&["out"]).inc_by(bytes.len() as u64);
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
    /// Returns what is in force, as peers are told.
    pub(crate) fn digest(&self) -> Digest {
        let (revision, hash) = (self.floor.revision(), self.floor.hash());
        Digest { revision, hash, suspicions: self.suspicions.hash(), ..Digest::default() }
    }

    fn new(
        settings: &Settings,
        me: Endpoint,
        incarnation: Incarnation,
        quarantine: &Arc<Quarantine>,
    ) -> Self {
        let now = Instant::now();
        let zone = Name::clone(&settings.instance.zone);
        let me =
            Record { endpoint: me, zone, incarnation, counter: 0, state: State::Alive, weight: 0 };
        let timing = Timing {
            probe: settings.control.probe,
            answer: settings.control.answer,
            suspicion: settings.control.suspicion,
        };
        let seed = Seed(incarnation);
        // The platform's list takes the place of seeds.
        let seeds = Vec::new();
        Self {
            membership: Membership::new(now, timing, me, seeds, seed.generator("membership")),
            suspicions: Suspicions::new(Arc::clone(quarantine)),
            floor: RevisionTracker::default(),
            rng: seed.generator("node"),
            homes_of: (0, 0),
        }
    }
}

/// Returns where the control sockets of an endpoint listen.
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

/// Makes the number of a run: the time in milliseconds, so that later runs at one
/// address override earlier ones, then random bits, so that no two runs are alike.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random: u16 = rand::rng().random();
    (since.as_millis() as u64) << 16 | u64::from(random)
}
