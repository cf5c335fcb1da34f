//! Runs the membership protocol on a UDP socket.
//!
//! Invariant: a single task receives datagrams and handles timers. The membership state is behind
//! one lock, which is never held across an await point.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bergamot_base::{Incarnation, Name, Revision, Seed, TaskSupervisor};
use bergamot_dispatch::Statement;
use bergamot_logger::ChangeAggregator;
use bergamot_members::{
    Datagram, Digest, Endpoint, Membership, Outgoing, Record, Role, State, Suspicions, View,
};
use bergamot_net::NetworkError;
use bergamot_quarantine::Quarantine;
use bergamot_wire::{MAX_DATAGRAM_LEN, MEMBER_PROTOCOL};
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::settings::Settings;

/// How often the departure of this member is announced, since datagrams may be lost.
const LEAVE_MESSAGES: usize = 3;

/// How long the statement of a member about its revision remains valid: a few probe periods.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(1);

/// The most members that [`Peers::up_to_date_members`] returns.
const MAX_UP_TO_DATE: usize = 3;

/// The state behind the lock.
struct Control {
    membership: Membership,
    /// The revision in force on this member.
    revision: Revision,
    /// Whether this member has the latest published revision.
    fresh: bool,
    /// When each member last stated that it has the latest revision.
    fresh_members: BTreeMap<Ipv4Addr, Instant>,
    /// The highest revision that a member stated to be in force there, which member, and when.
    highest_revision: Option<(Revision, Ipv4Addr, Instant)>,
    /// The number of members that count here, silent ones among them.
    spenders: u32,
    /// The largest number of members that another one has stated to count, until it is taken.
    stated_spenders: Option<(u32, Ipv4Addr, Incarnation)>,
    /// When this member last heard from another.
    last_heard: Option<Instant>,
    /// State changes of members that are yet to be logged.
    changes: ChangeAggregator,
    /// The exchange of reports about requests that crash searchers.
    suspicions: Suspicions,
}

impl Control {
    /// Records the revision that a member states in its digest.
    fn record_digest(&mut self, from: &Record, digest: &Digest) {
        let ip = from.endpoint.ip;
        let now = Instant::now();
        self.last_heard = Some(now);
        let stated = (digest.members.max(digest.spenders), ip, from.incarnation);
        self.stated_spenders = self.stated_spenders.max(Some(stated));
        if digest.fresh {
            self.fresh_members.insert(ip, now);
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STATEMENT_LIFETIME;
        let known = self.highest_revision.filter(|(_, _, at)| is_recent(*at));
        if known.is_none_or(|(revision, ..)| revision <= digest.revision) {
            self.highest_revision = Some((digest.revision, ip, now));
        }
    }

    fn digest(&self) -> Digest {
        let (revision, fresh) = (self.revision, self.fresh);
        let are_all_available = self.spenders as usize <= self.membership.view().available_count();
        let spenders = if are_all_available { 0 } else { self.spenders };
        Digest {
            revision,
            fresh,
            spenders,
            suspicions: self.suspicions.hash(),
            ..Digest::default()
        }
    }
}

/// This member and its view of the others.
pub struct Peers {
    settings: Settings,
    seeds: Mutex<Vec<Ipv4Addr>>,
    control: Mutex<Control>,
    /// Wakes the loop when the next timer is due earlier than before.
    rescheduled: Notify,
    socket: UdpSocket,
    /// The records of requests that crash searchers, which all members share.
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
        tasks: &TaskSupervisor,
        stop: CancellationToken,
    ) -> Result<Arc<Self>, NetworkError> {
        let address = SocketAddr::from((settings.address, settings.port));
        let fault = |error| NetworkError::new("bind control", address, error);
        let socket = UdpSocket::bind(address).await.map_err(fault)?;
        let me = Record {
            endpoint: endpoint(settings.address),
            zone: Name::clone(&settings.zone),
            incarnation: new_incarnation(),
            counter: 0,
            state: State::Alive,
            weight: settings.weight,
            protocol: MEMBER_PROTOCOL,
        };
        let rng = Seed(me.incarnation).generator("membership");
        let seeds = endpoints(&settings.seeds);
        let membership = Membership::new(Instant::now(), settings.timing, me, seeds, rng);
        let control = Mutex::new(Control {
            membership,
            revision: 0,
            fresh: false,
            fresh_members: BTreeMap::new(),
            highest_revision: None,
            spenders: 0,
            stated_spenders: None,
            last_heard: None,
            changes: ChangeAggregator::default(),
            suspicions: Suspicions::new(Arc::clone(&quarantine)),
        });
        let seeds = Mutex::new(settings.seeds.clone());
        let rescheduled = Notify::new();
        let peers =
            Arc::new(Self { settings, seeds, control, rescheduled, socket, quarantine, stop });
        tasks.spawn("membership", Arc::clone(&peers).run());
        Ok(peers)
    }

    /// Calls a function with the view, under the lock.
    pub fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(self.lock().membership.view())
    }

    /// Replaces the seeds, and asks the new ones that are not known members for others.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        let mut known = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != seeds {
            log::info!("peers: event=seeds_changed seeds={seeds:?}");
            self.lock().membership.set_seeds(Instant::now(), endpoints(&seeds));
            *known = seeds;
            self.rescheduled.notify_one();
        }
    }

    /// Returns the current seeds.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the view was complete at some time since the start, as far as other members
    /// can tell.
    pub fn is_settled(&self) -> bool {
        self.lock().membership.is_converged(Instant::now())
    }

    /// Returns the number of members, as far as this or other members know.
    pub fn size(&self) -> usize {
        self.lock().membership.size(Instant::now())
    }

    /// Returns whether this member has heard from another recently. Failures are found out one by one,
    /// so a member that is cut off from all others still counts them for some time.
    pub fn hears_others(&self) -> bool {
        self.lock().last_heard.is_some_and(|at| at.elapsed() < STATEMENT_LIFETIME)
    }

    /// Sets the revision in force here and whether it is the latest published one, as stated to the
    /// other members from now on.
    pub fn set_revision(&self, revision: Revision, fresh: bool) {
        let mut control = self.lock();
        control.revision = revision;
        control.fresh = fresh;
    }

    /// Sets the number of members by which this one divides the fleet's bounds, as stated to the
    /// other members from now on.
    pub fn set_spenders(&self, members: usize) {
        self.lock().spenders = u32::try_from(members).unwrap_or(u32::MAX);
    }

    /// Returns the largest number of members that another one has stated to count since the last
    /// call, if any did.
    pub fn take_stated_spenders(&self) -> Option<Statement> {
        let (members, by, incarnation) = self.lock().stated_spenders.take()?;
        Some(Statement { by, incarnation, members: members as usize })
    }

    /// Returns members that recently stated to have the latest published revision, the most recent
    /// first.
    pub fn up_to_date_members(&self) -> Vec<Ipv4Addr> {
        let now = Instant::now();
        let mut control = self.lock();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < STATEMENT_LIFETIME;
        control.fresh_members.retain(|_, at| is_recent(at));
        let mut fresh: Vec<_> = control.fresh_members.iter().map(|(ip, at)| (*at, *ip)).collect();
        drop(control);
        fresh.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        fresh.into_iter().take(MAX_UP_TO_DATE).map(|(_, ip)| ip).collect()
    }

    /// Returns the member with the highest revision among those that stated theirs recently, if it
    /// is higher than the given one.
    pub fn member_ahead_of(&self, revision: Revision) -> Option<Ipv4Addr> {
        let (highest, ip, at) = self.lock().highest_revision?;
        (highest > revision && at.elapsed() < STATEMENT_LIFETIME).then_some(ip)
    }

    /// Announces that this member stops, so that no more callers are directed here.
    pub fn announce_leaving(&self) {
        for _ in 0..LEAVE_MESSAGES {
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
                () = self.rescheduled.notified() => {}
                () = self.quarantine.changed() => self.send_suspicions(),
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
        self.lock().record_digest(&datagram.from, &datagram.digest);
        self.drive(|membership, digest| membership.receive(Instant::now(), &datagram, digest));
        self.send_missing_suspicions(&datagram);
    }

    /// Queues the new reports about suspect requests for the other members.
    fn send_suspicions(&self) {
        let mut control = self.lock();
        let Control { membership, suspicions, .. } = &mut *control;
        suspicions.gossip_new(Instant::now(), membership);
    }

    /// Sends the sender of a datagram the reports about suspect requests that it may lack.
    fn send_missing_suspicions(&self, datagram: &Datagram) {
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

    /// Applies an event to the membership, sends the resulting datagrams and logs the changes.
    fn drive(&self, event: impl FnOnce(&mut Membership, Digest) -> Vec<Outgoing>) {
        let now = Instant::now();
        let mut control = self.lock();
        let digest = control.digest();
        let out = event(&mut control.membership, digest);
        let Control { membership, changes, suspicions, .. } = &mut *control;
        let updated = suspicions.merge_received(now, membership);
        suspicions.update_synced(now, membership);
        for (member, state) in membership.take_state_changes() {
            changes.record(now, state.label(), member.ip);
        }
        let lines = changes.take_lines(now, false);
        let alive = membership.view().available_count();
        drop(control);
        self.transmit(out);
        for fingerprint in updated {
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

/// Returns the endpoint of a member. All members of the users' platform accept callers.
fn endpoint(ip: Ipv4Addr) -> Endpoint {
    Endpoint { ip, role: Role::Entry }
}

fn endpoints(ips: &[Ipv4Addr]) -> Vec<Endpoint> {
    ips.iter().copied().map(endpoint).collect()
}

/// Returns an incarnation number that is higher than those of earlier runs at the same address.
///
/// If the clock was set back, the number may be lower than that of an earlier run. The membership
/// raises it as soon as a peer reports the earlier one.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random: u16 = rand::rng().random();
    (since.as_millis() as u64) << 16 | u64::from(random)
}
