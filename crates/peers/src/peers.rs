//! The sockets of the failure detector.
//!
//! Invariant: one datagram loop and one timer drive the prober under one lock, which is
//! never held while waiting.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bergamot_base::{Incarnation, Name, Revision, Seed, Tasks};
use bergamot_members::{Datagram, Digest, Endpoint, Outgoing, Prober, Record, Role, State, View};
use bergamot_net::{Fault, listen};
use bergamot_wire::{Bundle, LARGEST_DATAGRAM, Pull, pull, serve_pulls};
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::settings::Settings;

/// How long one exchange of views may take: some round trips between regions.
const EXCHANGE: Duration = Duration::from_millis(500);

/// How long a member that knows no other waits before it asks its seeds again.
const RETRY: Duration = Duration::from_millis(250);

/// One datagram in so many that shows another view leads to an exchange of views.
///
/// Views differ for a moment after every change; only a lasting difference needs it.
const VIEW_EXCHANGE: u32 = 48;

/// How many times a farewell is sent, since a datagram may be lost.
const FAREWELLS: usize = 3;

struct Control {
    view: View,
    prober: Prober,
    revision: Revision,
}

impl Control {
    fn digest(&self) -> Digest {
        Digest { revision: self.revision, hash: 0, view: self.view.hash() }
    }
}

/// This member and what it knows of the others.
pub struct Peers {
    settings: Settings,
    seeds: Mutex<Vec<Ipv4Addr>>,
    control: Mutex<Control>,
    socket: UdpSocket,
    stop: CancellationToken,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Peers({})", self.settings.address)
    }
}

impl Peers {
    /// Binds the sockets and starts probing.
    pub async fn start(
        settings: Settings,
        tasks: &Tasks,
        stop: CancellationToken,
    ) -> Result<Arc<Self>, Fault> {
        let address = SocketAddr::from((settings.address, settings.port));
        let fault = |error| Fault::new("bind control", address, error);
        let socket = UdpSocket::bind(address).await.map_err(fault)?;
        let listener = listen(address).await?;
        let endpoint = Endpoint { ip: settings.address, role: Role::Entry };
        let me = Record {
            endpoint,
            zone: Name::clone(&settings.zone),
            incarnation: new_incarnation(),
            counter: 0,
            state: State::Alive,
            weight: settings.weight,
        };
        let mut view = View::default();
        view.apply(&me);
        let rng = Seed(me.incarnation).generator("prober");
        let prober = Prober::new(Instant::now(), settings.timing, me, rng);
        let control = Mutex::new(Control { view, prober, revision: 0 });
        let seeds = Mutex::new(settings.seeds.clone());
        let peers = Arc::new(Self { settings, seeds, control, socket, stop: stop.clone() });
        tasks.spawn("prober", Arc::clone(&peers).run());
        tokio::spawn(Arc::clone(&peers).join());
        let answering = Arc::clone(&peers);
        let serving = serve_pulls(listener, stop, move |request| answering.answer(&request));
        tasks.spawn("views", serving);
        Ok(peers)
    }

    /// Reads the view under its lock.
    pub fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&self.lock().view)
    }

    /// Takes other seeds, and asks them for their views if they are new.
    pub fn set_seeds(self: &Arc<Self>, seeds: Vec<Ipv4Addr>) {
        let mut known = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != seeds {
            log::info!("peers: event=seeds_changed seeds={seeds:?}");
            *known = seeds;
            drop(known);
            tokio::spawn(Arc::clone(self).join());
        }
    }

    /// Tells the others from now on which version is in force here.
    pub fn set_revision(&self, revision: Revision) {
        self.lock().revision = revision;
    }

    /// Tells the others that this member stops, so that no caller is sent here any more.
    pub fn farewell(&self) {
        for _ in 0..FAREWELLS {
            let mut control = self.lock();
            let digest = control.digest();
            let Control { prober, view, .. } = &mut *control;
            let out = prober.farewell(State::Leaving, view, digest);
            drop(control);
            self.transmit(out);
        }
    }

    async fn run(self: Arc<Self>) {
        let mut buffer = vec![0; LARGEST_DATAGRAM + 1];
        loop {
            let due = self.lock().prober.due();
            tokio::select! {
                () = self.stop.cancelled() => return,
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    Err(error) => log::warn!("peers: event=receive_failed cause=\"{error}\""),
                },
                () = tokio::time::sleep_until(due.into()) => self.tick(),
            }
        }
    }

    /// Asks the seeds for their views until another member is known.
    async fn join(self: Arc<Self>) {
        loop {
            let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let first = rand::rng().random_range(0..seeds.len().max(1));
            let others = seeds.iter().cycle().skip(first).take(seeds.len());
            for seed in others.filter(|seed| **seed != self.settings.address) {
                self.exchange(*seed).await;
                // One view is enough; what it lacks arrives as rumours.
                if self.with_view(View::len) > seeds.len() {
                    return;
                }
            }
            if self.with_view(View::len) > 1 || seeds.is_empty() {
                return;
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(RETRY) => {}
            }
        }
    }

    fn receive(self: &Arc<Self>, bytes: &[u8], from: SocketAddr) {
        let datagram: Datagram = match bergamot_wire::decode(bytes, from) {
            Ok(datagram) => datagram,
            Err(garbled) => {
                log::warn!("peers: event=datagram_dropped cause=\"{garbled}\"");
                return;
            }
        };
        let mut control = self.lock();
        let digest = control.digest();
        let before = control.view.changes();
        let Control { prober, view, .. } = &mut *control;
        let out = prober.receive(Instant::now(), &datagram, view, digest);
        let changed = view.changes() != before;
        let differs = datagram.digest.view != view.hash();
        drop(control);
        self.transmit(out);
        if changed {
            self.log_view("datagram", from);
        } else if differs && rand::rng().random_ratio(1, VIEW_EXCHANGE) {
            let (peers, peer) = (Arc::clone(self), datagram.from.endpoint.ip);
            tokio::spawn(async move { peers.exchange(peer).await });
        }
    }

    fn tick(&self) {
        let mut control = self.lock();
        let digest = control.digest();
        let before = control.view.changes();
        let Control { prober, view, .. } = &mut *control;
        let out = prober.tick(Instant::now(), view, digest);
        let changed = view.changes() != before;
        drop(control);
        self.transmit(out);
        if changed {
            self.log_view("timer", SocketAddr::from((self.settings.address, 0)));
        }
    }

    /// Exchanges whole views with a member; a failure is harmless, since another follows.
    async fn exchange(&self, peer: Ipv4Addr) {
        let view = self.with_view(|view| view.iter().cloned().collect());
        let request = Pull { view: Some(view), ..Pull::default() };
        let remote = SocketAddr::from((peer, self.settings.port));
        match pull(self.settings.address, remote, &request, EXCHANGE).await {
            Ok((bundle, _bytes)) => self.learn(&bundle.view),
            Err(fault) => log::debug!("peers: event=exchange_failed cause=\"{fault}\""),
        }
    }

    fn answer(&self, request: &Pull) -> Bundle {
        if let Some(theirs) = &request.view {
            self.learn(theirs);
        }
        let view = self.with_view(|view| view.iter().cloned().collect());
        Bundle { view, ..Bundle::default() }
    }

    fn learn(&self, records: &[Record]) {
        let mut control = self.lock();
        let Control { prober, view, .. } = &mut *control;
        prober.learn_all(Instant::now(), records, view);
    }

    fn transmit(&self, out: Vec<Outgoing>) {
        for Outgoing { to, datagram } in out {
            let remote = SocketAddr::from((to.ip, self.settings.port));
            let bytes = bergamot_wire::encode(datagram);
            if let Err(error) = self.socket.try_send_to(&bytes, remote) {
                log::debug!("peers: event=send_failed peer={remote} cause=\"{error}\"");
            }
        }
    }

    fn log_view(&self, cause: &str, from: SocketAddr) {
        let (alive, others) = self.with_view(|view| {
            let is_alive = |record: &&Record| record.state == State::Alive;
            let state = |record: &Record| format!("{}={}", record.endpoint.ip, record.state);
            let others = view.iter().filter(|record| !is_alive(record)).map(state);
            (view.iter().filter(is_alive).count(), others.collect::<Vec<_>>().join(","))
        });
        log::info!(
            "peers: event=view_changed cause={cause} from={from} alive={alive} others={others}"
        );
    }

    fn lock(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Numbers this run after all earlier ones at the same address.
///
/// A clock that was set back makes the number lower than a predecessor's; the prober then
/// raises it as soon as a peer reports the predecessor.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random: u16 = rand::rng().random();
    (since.as_millis() as u64) << 16 | u64::from(random)
}
