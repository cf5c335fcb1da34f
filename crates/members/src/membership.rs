//! The membership protocol of one member.
//!
//! A starting member asks a seed for some members, compares its view with theirs, and gossips its
//! own record. From then on it probes ([`Prober`]), gossips updates ([`Rumours`]) and compares
//! views that differ ([`Sync`]). All messages are datagrams, any of which may be lost. Time, events
//! and random numbers are inputs; messages are outputs. Invariants: only a member itself can
//! declare that it is alive after it was suspected; and a member considered alive is suspected, and
//! can refute that, before it is considered unreachable, whatever other members report. See
//! `docs/design/0013-views-that-agree.md`.

mod answering;
mod sending;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_base::Seed;
use bergamot_quarantine::Report;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::message::{Datagram, Digest, Kind, RangeHashes};
use crate::prober::{Prober, Timing};
use crate::record::{Endpoint, Record, State};
use crate::rumour::{Rumour, Rumours, Scope};
use crate::sync::Sync;
use crate::view::{ListedInstance, View};

/// The number of members that are asked to ping a member that did not acknowledge.
const INDIRECT_PROBES: usize = 3;

/// The number of members to which a new revision is announced directly.
const ANNOUNCE_FANOUT: usize = 4;

/// The initial interval between join requests to seeds that are not known to be alive. A seed that
/// starts at the same moment may be the only link between the members that ask it.
const MIN_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum interval between join requests. A seed may have been replaced, or may be the only
/// link to the other side of a network partition.
const MAX_JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// How long a member that hears from no other waits until it considers itself the only one. After
/// the whole fleet has lost power, members return within a few seconds of each other, and a live
/// seed answers within two of these periods.
const SOLE_MEMBER_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which the view counts as converged in any case: a member whose datagrams are lost
/// has to work with what it knows.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the number of members that another member stated remains valid: some probe periods.
const STATED_SIZE_LIFETIME: Duration = Duration::from_secs(2);

/// The fraction of the fleet's size, as stated by other members, that a converged view must hold.
const CONVERGED_FRACTION: f64 = 0.9;

/// How long the record of a member that does not accept work is kept; network partitions last for
/// minutes.
const RECORD_RETENTION: Duration = Duration::from_hours(1);

/// The maximum number of state changes kept for [`Membership::take_state_changes`].
const MAX_STATE_CHANGES: usize = 1024;

/// The maximum number of reports kept for [`Membership::take_reports`].
const MAX_REPORTS: usize = 1024;

/// A datagram and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Endpoint,
    /// The datagram.
    pub datagram: Datagram,
}

/// How a record was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// As gossip, or from the member itself: it is gossiped further.
    Gossip(Scope),
    /// From a member that sent it because it was missing here: it is not gossiped further.
    Comparison,
}

/// One member's part in the membership.
#[derive(Debug)]
pub struct Membership {
    me: Record,
    rng: StdRng,
    view: View,
    prober: Prober,
    rumours: Rumours,
    sync: Sync,
    seeds: Vec<Endpoint>,
    next_seed: usize,
    next_join: Instant,
    join_interval: Duration,
    leaving_searchers: Vec<Rumour>,
    /// The reports received since [`Membership::take_reports`] was last called.
    reports: Vec<Report>,
    /// The state changes since [`Membership::take_state_changes`] was last called.
    state_changes: Vec<(Endpoint, State)>,
    started: Instant,
    /// Whether the view has been complete at some time, as far as other members could tell.
    converged: bool,
    heard_from_others: bool,
    /// The largest number of members that others stated recently, and when.
    stated_size: Option<(Instant, u32)>,
    /// When to remove the records of members that do not accept work.
    removals: BTreeMap<Endpoint, Instant>,
}

impl Membership {
    /// Creates the state of a member that starts. `seeds` may be down, and may include this member.
    pub fn new(
        now: Instant,
        timing: Timing,
        me: Record,
        seeds: Vec<Endpoint>,
        mut rng: StdRng,
    ) -> Self {
        let mut view = View::default();
        view.apply(&me);
        let mut rumours = Rumours::default();
        rumours.add(now, Rumour::Member(me.clone()), Scope::AllZones);
        let next_seed = rng.random_range(0..seeds.len().max(1));
        // 32 bits tell two runs apart, and take half of the bytes of a full number in each probe.
        let first_sequence = Seed(me.incarnation).generator("probes").random::<u32>().into();
        Self {
            me,
            rng,
            view,
            prober: Prober::new(now, timing, first_sequence),
            rumours,
            sync: Sync::new(),
            seeds,
            next_seed,
            next_join: now,
            join_interval: MIN_JOIN_INTERVAL,
            leaving_searchers: Vec::new(),
            reports: Vec::new(),
            state_changes: Vec::new(),
            started: now,
            converged: false,
            heard_from_others: false,
            stated_size: None,
            removals: BTreeMap::new(),
        }
    }

    /// Returns the record of this member.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Returns the view of all members.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns whether the view has been complete at some time since the start, as far as other
    /// members could tell.
    ///
    /// Until then, decisions that depend on the number of members must not rely on it.
    pub fn is_converged(&self, now: Instant) -> bool {
        let age = self.age(now);
        self.converged
            || age >= CONVERGENCE_TIMEOUT
            || (!self.heard_from_others && age >= SOLE_MEMBER_TIMEOUT)
    }

    /// Returns the time since this member started.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Returns the number of members, as far as this or other members know.
    pub fn size(&self, now: Instant) -> usize {
        let stated = self
            .stated_size
            .filter(|(at, _)| now.saturating_duration_since(*at) < STATED_SIZE_LIFETIME);
        self.view.available_count().max(stated.map_or(0, |(_, stated)| stated as usize))
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, now: Instant, seeds: Vec<Endpoint>) {
        self.seeds = seeds;
        self.next_join = now;
        self.join_interval = MIN_JOIN_INTERVAL;
    }

    /// Applies the platform's list of instances.
    pub fn apply_list(&mut self, now: Instant, list: &[ListedInstance]) {
        for record in self.view.apply_list(list) {
            self.rumours.add(now, Rumour::Member(record), Scope::Zone);
        }
    }

    /// Gossips a rumour to all zones.
    pub fn gossip(&mut self, now: Instant, rumour: Rumour) {
        self.rumours.add(now, rumour, Scope::AllZones);
    }

    /// Merges records received outside of datagrams; they are not gossiped.
    pub fn merge_records(&mut self, now: Instant, records: &[Record]) {
        for record in records {
            self.merge(now, record, Source::Comparison);
        }
    }

    /// Moves this member to a final state and returns the datagrams that announce it.
    pub fn announce_departure(
        &mut self,
        now: Instant,
        state: State,
        digest: Digest,
    ) -> Vec<Outgoing> {
        self.me.state = self.me.state.max(state);
        self.gossip_self(now);
        let mut out = self.announce_digest(digest);
        self.push(now, digest, &mut out);
        out
    }

    /// Returns datagrams that announce the digest to a few members.
    pub fn announce_digest(&mut self, digest: Digest) -> Vec<Outgoing> {
        let targets = self.sample(ANNOUNCE_FANOUT, |_| true);
        targets.into_iter().map(|to| self.probe_datagram(to, Kind::Gossip, digest)).collect()
    }

    /// Returns the number of rumours that are still gossiped.
    pub fn rumour_count(&self) -> usize {
        self.rumours.len()
    }

    /// Returns a random sample of members from which to request their active state.
    pub fn peers(&mut self, count: usize) -> Vec<Endpoint> {
        self.sample(count, |_| true)
    }

    /// Returns the searchers that peers reported as leaving since the last call.
    pub fn take_leaving_searchers(&mut self) -> Vec<Rumour> {
        std::mem::take(&mut self.leaving_searchers)
    }

    /// Returns the reports on requests that crash searchers received since the last call.
    pub fn take_reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.reports)
    }

    /// Gossips, within the local zone, a rumour that was received from another member.
    pub fn gossip_in_zone(&mut self, now: Instant, rumour: Rumour) {
        self.rumours.add(now, rumour, Scope::Zone);
    }

    /// Returns the state changes since the last call, limited to the first [`MAX_STATE_CHANGES`].
    pub fn take_state_changes(&mut self) -> Vec<(Endpoint, State)> {
        std::mem::take(&mut self.state_changes)
    }

    /// Returns when [`Membership::tick`] is to be called next.
    pub fn due(&self) -> Instant {
        let others = [self.rumours.push_due(), self.sync.due(self.converged), self.next_removal()];
        others.into_iter().flatten().fold(self.prober.due().min(self.next_join), Instant::min)
    }

    /// Runs the timers that have expired and returns the datagrams to send.
    pub fn tick(&mut self, now: Instant, digest: Digest) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.send_join(now, digest, &mut out);
        self.request_indirect_probes(now, digest, &mut out);
        self.expire_suspects(now);
        self.remove_expired(now);
        if self.prober.is_period_over(now) {
            if let Some(unresponsive) = self.prober.end_period(now) {
                self.suspect(now, unresponsive);
            }
            if let Some((number, to)) = self.prober.ping(now, &self.me, &self.view, &mut self.rng) {
                out.push(self.probe_datagram(to, Kind::Ping(number), digest));
            }
        }
        if self.rumours.push_due().is_some_and(|due| due <= now) {
            self.push(now, digest, &mut out);
        }
        if self.sync.due(self.converged).is_some_and(|due| due <= now)
            && let Some(peer) = self.sync.start(now, self.view.changes(), self.converged)
        {
            let peer = if self.converged { peer } else { self.comparison_peer().unwrap_or(peer) };
            let summary = RangeHashes(*self.view.ranges());
            out.push(self.datagram(peer, Kind::Compare(Box::new(summary)), digest, Vec::new()));
        }
        out
    }

    /// Handles a datagram and returns the answers to it.
    pub fn receive(&mut self, now: Instant, datagram: &Datagram, digest: Digest) -> Vec<Outgoing> {
        let from = datagram.from.endpoint;
        if from == self.me.endpoint {
            return Vec::new();
        }
        self.heard_from_others = true;
        let gossip = Source::Gossip(Scope::Zone);
        self.merge(now, &datagram.from, gossip);
        let source = if datagram.kind == Kind::Records { Source::Comparison } else { gossip };
        let mut outdated = Vec::new();
        for rumour in &datagram.rumours {
            match rumour {
                Rumour::Member(record) => outdated.extend(self.merge(now, record, source)),
                Rumour::Leaving { .. } => self.leaving_searchers.push(rumour.clone()),
                Rumour::Suspicion(report) if self.reports.len() < MAX_REPORTS => {
                    self.reports.push(report.clone());
                }
                // The buffer is full only if the caller never takes the reports.
                Rumour::Suspicion(_) => {}
            }
        }
        self.compare_digest(now, from, &datagram.digest);
        let mut out = self.answer(datagram, digest);
        if !outdated.is_empty() {
            out.extend(self.record_datagrams(from, &outdated, digest));
        }
        out
    }

    /// Compares a peer's digest of its view with the local view.
    fn compare_digest(&mut self, now: Instant, peer: Endpoint, digest: &Digest) {
        let same = digest.view == self.view.hash();
        self.sync.record_hash(now, peer, digest.view, self.view.hash());
        let recent =
            |(at, _): &(Instant, u32)| now.saturating_duration_since(*at) < STATED_SIZE_LIFETIME;
        let stated = self.stated_size.filter(recent).map_or(0, |(_, stated)| stated);
        if digest.members >= stated {
            self.stated_size = Some((now, digest.members));
        }
        let known = self.view.available_count() as f64;
        if same && known >= CONVERGED_FRACTION * f64::from(stated.max(digest.members)) {
            self.converged = true;
        }
    }

    /// Merges one record; refutes it if it is a false one about this member.
    ///
    /// If the record states that a member accepts work and a newer one here contradicts it, returns
    /// the local record.
    fn merge(&mut self, now: Instant, record: &Record, source: Source) -> Option<Record> {
        if record.endpoint == self.me.endpoint {
            self.refute(now, record);
            return None;
        }
        let known = self.view.get(record.endpoint);
        let record = match known {
            Some(known) if reports_unreachable(record, known) => {
                // The member can still refute: the reporter may have been partitioned from it.
                &Record { state: State::Suspect, ..record.clone() }
            }
            _ => record,
        };
        if !self.view.apply(record) {
            let known = self.view.get(record.endpoint)?;
            let is_outdated = record.state.takes_work() && !known.state.takes_work();
            return is_outdated.then(|| known.clone());
        }
        self.update_timers(now, record);
        if let Source::Gossip(scope) = source {
            self.rumours.add(now, Rumour::Member(record.clone()), scope);
        }
        None
    }

    /// Updates the timers that depend on a member's state.
    fn update_timers(&mut self, now: Instant, record: &Record) {
        self.prober.update_suspicion(now, record);
        if self.state_changes.len() < MAX_STATE_CHANGES {
            self.state_changes.push((record.endpoint, record.state));
        }
        if record.state.takes_work() {
            self.removals.remove(&record.endpoint);
        } else {
            self.removals.insert(record.endpoint, now + RECORD_RETENTION);
        }
    }

    fn refute(&mut self, now: Instant, record: &Record) {
        if !record.overrides(&self.me) {
            return;
        }
        if record.incarnation == self.me.incarnation {
            self.me.counter = record.counter + 1;
        } else {
            // An earlier process, whose clock was ahead, used a higher incarnation. Other members
            // ignore this process until its incarnation is higher still.
            self.me.incarnation = record.incarnation + 1;
        }
        self.gossip_self(now);
    }

    /// Gossips the record of this member.
    fn gossip_self(&mut self, now: Instant) {
        self.view.apply(&self.me);
        self.rumours.add(now, Rumour::Member(self.me.clone()), Scope::AllZones);
    }

    /// Sends a join request to a seed that is not known to be alive, if one is due.
    fn send_join(&mut self, now: Instant, digest: Digest, out: &mut Vec<Outgoing>) {
        if now < self.next_join {
            return;
        }
        self.next_join = now + self.join_interval;
        let is_sole = self.view.available_count() <= 1;
        self.join_interval =
            if is_sole { MIN_JOIN_INTERVAL } else { MAX_JOIN_INTERVAL.min(self.join_interval * 2) };
        let is_known = |seed: &Endpoint| {
            *seed == self.me.endpoint
                || self.view.get(*seed).is_some_and(|known| known.state.takes_work())
        };
        let target = (0..self.seeds.len())
            .map(|offset| (self.next_seed + offset) % self.seeds.len())
            .find(|seed| !is_known(&self.seeds[*seed]));
        if let Some(seed) = target {
            self.next_seed = seed + 1;
            let to = self.seeds[seed];
            out.push(self.datagram(to, Kind::Join, digest, Vec::new()));
        }
    }

    fn request_indirect_probes(&mut self, now: Instant, digest: Digest, out: &mut Vec<Outgoing>) {
        let Some((number, target)) = self.prober.take_overdue_ping(now) else {
            return;
        };
        let peers = self.sample(INDIRECT_PROBES, |record| record.endpoint != target);
        for peer in peers {
            out.push(self.probe_datagram(peer, Kind::PingRequest(number, target), digest));
        }
    }

    fn suspect(&mut self, now: Instant, target: Endpoint) {
        let Some(known) = self.view.get(target).filter(|known| known.state == State::Alive) else {
            return;
        };
        let suspicion = Record { state: State::Suspect, ..known.clone() };
        self.merge(now, &suspicion, Source::Gossip(Scope::AllZones));
    }

    /// Marks suspects that did not refute in time as unreachable. This is not gossiped, since every
    /// member that received the suspicion does the same.
    fn expire_suspects(&mut self, now: Instant) {
        for endpoint in self.prober.take_expired_suspects(now) {
            let Some(known) = self.view.get(endpoint) else {
                continue;
            };
            if known.state == State::Suspect {
                let unreachable = Record { state: State::Unreachable, ..known.clone() };
                self.view.apply(&unreachable);
                self.update_timers(now, &unreachable);
            }
        }
    }

    fn next_removal(&self) -> Option<Instant> {
        self.removals.values().min().copied()
    }

    fn remove_expired(&mut self, now: Instant) {
        let expired = |removal: &Instant| now >= *removal;
        for (endpoint, _) in self.removals.extract_if(.., |_, removal| expired(removal)) {
            self.view.forget(endpoint);
        }
    }
}

/// Returns whether a record reports as unreachable an incarnation that is alive or suspect here.
fn reports_unreachable(report: &Record, known: &Record) -> bool {
    report.state == State::Unreachable
        && known.state.takes_work()
        && known.incarnation == report.incarnation
}
