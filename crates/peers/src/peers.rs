//! The sockets of the membership.
//!
//! Invariant: one datagram loop and one timer drive the membership under one lock, which is
//! never held while waiting.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bergamot_base::{Incarnation, Name, Revision, Seed, Tasks};
use bergamot_logger::Changes;
use bergamot_members::{
    Datagram, Digest, Endpoint, Membership, Outgoing, Record, Role, State, Suspicions, View,
};
use bergamot_net::Fault;
use bergamot_quarantine::Shared as Quarantine;
use bergamot_wire::MAX_DATAGRAM_LEN;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::settings::Settings;

/// How many times a farewell is sent, since a datagram may be lost.
const FAREWELLS: usize = 3;

/// How long a member's word that it knows the newest counts: some probes.
const FRESH: Duration = Duration::from_secs(1);

/// How many members are named that know the newest.
const MOST_FRESH: usize = 3;

struct Control {
    membership: Membership,
    revision: Revision,
    /// Whether this member knows the newest of what is published.
    fresh: bool,
    /// When each member last said that it does.
    heard_fresh: BTreeMap<Ipv4Addr, Instant>,
    /// The highest revision in force that any member has told of, and who did so when.
    heard_revision: Option<(Revision, Ipv4Addr, Instant)>,
    /// The changes of members that are still to be logged.
    changes: Changes,
    /// What members tell each other of requests under which searchers end.
    suspicions: Suspicions,
}

impl Control {
    /// Notes what a member says of its news.
    fn hear(&mut self, ip: Ipv4Addr, digest: &Digest) {
        let now = Instant::now();
        if digest.fresh {
            self.heard_fresh.insert(ip, now);
        }
        let lately = |at: Instant| now.saturating_duration_since(at) < FRESH;
        let known = self.heard_revision.filter(|(_, _, at)| lately(*at));
        if known.is_none_or(|(revision, ..)| revision <= digest.revision) {
            self.heard_revision = Some((digest.revision, ip, now));
        }
    }

    fn digest(&self) -> Digest {
        let (revision, fresh) = (self.revision, self.fresh);
        Digest { revision, fresh, suspicions: self.suspicions.hash(), ..Digest::default() }
    }
}

/// This member and what it knows of the others.
pub struct Peers {
    settings: Settings,
    seeds: Mutex<Vec<Ipv4Addr>>,
    control: Mutex<Control>,
    /// Wakes the loop when something is due sooner than it was.
    sooner: Notify,
    socket: UdpSocket,
    /// The requests under which searchers ended, of which all members are told.
    quarantine: Arc<Quarantine>,
    stop: CancellationToken,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Peers({})", self.settings.address)
    }
}

impl Peers {
    /// Binds the socket and starts probing.
    pub async fn start(
        settings: Settings,
        quarantine: Arc<Quarantine>,
        tasks: &Tasks,
        stop: CancellationToken,
    ) -> Result<Arc<Self>, Fault> {
        let address = SocketAddr::from((settings.address, settings.port));
        let fault = |error| Fault::new("bind control", address, error);
        let socket = UdpSocket::bind(address).await.map_err(fault)?;
        let me = Record {
            endpoint: endpoint(settings.address),
            zone: Name::clone(&settings.zone),
            incarnation: new_incarnation(),
            counter: 0,
            state: State::Alive,
            weight: settings.weight,
        };
        let rng = Seed(me.incarnation).generator("membership");
        let seeds = endpoints(&settings.seeds);
        let membership = Membership::new(Instant::now(), settings.timing, me, seeds, rng);
        let control = Mutex::new(Control {
            membership,
            revision: 0,
            fresh: false,
            heard_fresh: BTreeMap::new(),
            heard_revision: None,
            changes: Changes::default(),
            suspicions: Suspicions::new(Arc::clone(&quarantine)),
        });
        let seeds = Mutex::new(settings.seeds.clone());
        let sooner = Notify::new();
        let peers = Arc::new(Self { settings, seeds, control, sooner, socket, quarantine, stop });
        tasks.spawn("membership", Arc::clone(&peers).run());
        Ok(peers)
    }

    /// Reads the view under its lock.
    pub fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(self.lock().membership.view())
    }

    /// Takes other seeds, and asks those of them that aren't known for other members.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        let mut known = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != seeds {
            log::info!("peers: event=seeds_changed seeds={seeds:?}");
            self.lock().membership.set_seeds(Instant::now(), endpoints(&seeds));
            *known = seeds;
            self.sooner.notify_one();
        }
    }

    /// Returns the seeds that the settings name.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Tells whether the view was whole once in this run, as far as others could tell.
    pub fn is_settled(&self) -> bool {
        self.lock().membership.is_converged(Instant::now())
    }

    /// Returns how many members there are, as far as it is known or others tell.
    pub fn size(&self) -> usize {
        self.lock().membership.size(Instant::now())
    }

    /// Tells the others from now on which version is in force here, and whether nothing newer
    /// can have been published.
    pub fn set_news(&self, revision: Revision, fresh: bool) {
        let mut control = self.lock();
        control.revision = revision;
        control.fresh = fresh;
    }

    /// Lists members that said lately that they know the newest of what is published, the last
    /// first.
    pub fn fresh(&self) -> Vec<Ipv4Addr> {
        let now = Instant::now();
        let mut control = self.lock();
        let lately = |at: &Instant| now.saturating_duration_since(*at) < FRESH;
        control.heard_fresh.retain(|_, at| lately(at));
        let mut fresh: Vec<_> = control.heard_fresh.iter().map(|(ip, at)| (*at, *ip)).collect();
        drop(control);
        fresh.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        fresh.into_iter().take(MOST_FRESH).map(|(_, ip)| ip).collect()
    }

    /// Names the member that has said lately that a revision is in force with it which is higher
    /// than this one and all others that are heard of.
    pub fn ahead(&self, revision: Revision) -> Option<Ipv4Addr> {
        let (heard, ip, at) = self.lock().heard_revision?;
        (heard > revision && at.elapsed() < FRESH).then_some(ip)
    }

    /// Tells the others that this member stops, so that no caller is sent here any more.
    pub fn farewell(&self) {
        for _ in 0..FAREWELLS {
            let mut control = self.lock();
            let digest = control.digest();
            let out = control.membership.announce_departure(Instant::now(), State::Leaving, digest);
            drop(control);
            self.transmit(out);
        }
    }

    async fn run(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN + 1];
        loop {
            let due = self.lock().membership.due();
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = self.sooner.notified() => {}
                () = self.quarantine.changed() => self.spread(),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    Err(error) => log::warn!("peers: event=receive_failed cause=\"{error}\""),
                },
                () = tokio::time::sleep_until(due.into()) => self.tick(),
            }
        }
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let datagram: Datagram = match bergamot_wire::decode(bytes, from) {
            Ok(datagram) => datagram,
            Err(garbled) => {
                log::warn!("peers: event=datagram_dropped cause=\"{garbled}\"");
                return;
            }
        };
        self.lock().hear(datagram.from.endpoint.ip, &datagram.digest);
        self.drive(|membership, digest| membership.receive(Instant::now(), &datagram, digest));
        self.inform(&datagram);
    }

    /// Tells the other members what this one has found out of requests.
    fn spread(&self) {
        let mut control = self.lock();
        let Control { membership, suspicions, .. } = &mut *control;
        suspicions.gossip_new(Instant::now(), membership);
    }

    /// Tells a member what it may lack of requests.
    fn inform(&self, datagram: &Datagram) {
        let mut control = self.lock();
        let digest = control.digest();
        let Control { membership, suspicions, .. } = &mut *control;
        let out = suspicions.send_missing(Instant::now(), membership, datagram, digest);
        drop(control);
        self.transmit(out);
    }

    fn tick(&self) {
        self.drive(|membership, digest| membership.tick(Instant::now(), digest));
    }

    /// Lets something happen to the membership, and sends and logs what follows from it.
    fn drive(&self, happen: impl FnOnce(&mut Membership, Digest) -> Vec<Outgoing>) {
        let now = Instant::now();
        let mut control = self.lock();
        let digest = control.digest();
        let out = happen(&mut control.membership, digest);
        let Control { membership, changes, suspicions, .. } = &mut *control;
        let heard = suspicions.merge_received(now, membership);
        suspicions.update_informed(now, membership);
        for (member, state) in membership.take_state_changes() {
            changes.note(now, state.label(), member.ip);
        }
        let lines = changes.take(now, false);
        let alive = membership.view().available_count();
        drop(control);
        self.transmit(out);
        for fingerprint in heard {
            log::info!("peers: event=suspicion_heard fingerprint={fingerprint}");
        }
        for line in lines {
            log::info!("peers: event=view_changed alive={alive} {line}");
        }
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

    fn lock(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Every member of the users' platform takes callers.
fn endpoint(ip: Ipv4Addr) -> Endpoint {
    Endpoint { ip, role: Role::Entry }
}

fn endpoints(ips: &[Ipv4Addr]) -> Vec<Endpoint> {
    ips.iter().copied().map(endpoint).collect()
}

/// Numbers this run after all earlier ones at the same address.
///
/// A clock that was set back makes the number lower than a predecessor's; the membership then
/// raises it as soon as a peer reports the predecessor.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random: u16 = rand::rng().random();
    (since.as_millis() as u64) << 16 | u64::from(random)
}
