//! Failure detection by probing, after the SWIM protocol.
//!
//! Each period a member pings one other in a shuffled round. Without an
//! acknowledgement it asks a few others to ping in its stead, then suspects the
//! target, and after a time of suspicion holds it for unreachable. A suspect refutes
//! by raising its counter. Unreachable members stay in the round, so that a healed
//! partition is noticed by both sides.
//!
//! Invariant: a member sends at most one ping, a few indirect ones and one
//! acknowledgement for each received ping a period, whatever the fleet's size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::message::{Datagram, Digest, Kind};
use crate::record::{Endpoint, Record, State};
use crate::rumour::{Rumour, Rumours};
use crate::view::View;

/// How many others are asked to ping a silent member.
const HELPERS: usize = 3;

/// How many members hear at once of a new revision.
const FANOUT: usize = 4;

/// How many pings for others may be outstanding.
const MOST_RELAYS: usize = 256;

/// The periods of a prober.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often another member is pinged.
    pub probe: Duration,
    /// The size of the fleet beyond which that takes longer in proportion, so that what the
    /// whole fleet sends stays bounded. A lost member is still pinged by somebody about once
    /// in `probe` times the fleet's size over this.
    pub busiest: usize,
    /// How long an acknowledgement may take before others are asked.
    pub answer: Duration,
    /// How long a suspect may refute.
    pub suspicion: Duration,
}

impl Timing {
    /// Returns how often a member of a fleet of some size pings.
    fn period(&self, members: usize) -> Duration {
        let over = members.max(self.busiest) as f64 / self.busiest.max(1) as f64;
        self.probe.mul_f64(over)
    }
}

/// A datagram and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Endpoint,
    /// The datagram.
    pub datagram: Datagram,
}

#[derive(Debug)]
struct Pending {
    target: Endpoint,
    number: u64,
    sent: Instant,
    asked: bool,
}

/// The failure detector of one member.
#[derive(Debug)]
pub struct Prober {
    timing: Timing,
    me: Record,
    rng: StdRng,
    round: Vec<Endpoint>,
    next_probe: Instant,
    number: u64,
    pending: Option<Pending>,
    relays: BTreeMap<u64, (Endpoint, u64)>,
    suspects: BTreeMap<Endpoint, Instant>,
    rumours: Rumours,
    leaving: Vec<Rumour>,
}

impl Prober {
    /// Starts the prober of a run.
    pub fn new(now: Instant, timing: Timing, me: Record, rng: StdRng) -> Self {
        let mut rumours = Rumours::default();
        rumours.add(Rumour::Member(me.clone()));
        Self {
            timing,
            me,
            rng,
            round: Vec::new(),
            next_probe: now,
            number: 0,
            pending: None,
            relays: BTreeMap::new(),
            suspects: BTreeMap::new(),
            rumours,
            leaving: Vec::new(),
        }
    }

    /// Returns the report about this run.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Passes news on.
    pub fn spread(&mut self, rumour: Rumour) {
        self.rumours.add(rumour);
    }

    /// Changes the state of this run for good and returns the farewells to send.
    pub fn farewell(&mut self, state: State, view: &mut View, digest: Digest) -> Vec<Outgoing> {
        self.me.state = self.me.state.max(state);
        view.apply(&self.me);
        self.rumours.add(Rumour::Member(self.me.clone()));
        self.announce(view, digest)
    }

    /// Returns datagrams that tell a few members at once what is in force.
    pub fn announce(&mut self, view: &View, digest: Digest) -> Vec<Outgoing> {
        let targets = self.sample(view, FANOUT, None);
        targets.into_iter().map(|to| self.datagram(to, Kind::News, view, digest)).collect()
    }

    /// Returns how much news is still passed on.
    pub fn rumours(&self) -> usize {
        self.rumours.len()
    }

    /// Picks members to ask for what they have in force.
    pub fn peers(&mut self, view: &View, count: usize) -> Vec<Endpoint> {
        self.sample(view, count, None)
    }

    /// Returns the searchers that peers reported as leaving since the last call.
    pub fn take_leaving(&mut self) -> Vec<Rumour> {
        std::mem::take(&mut self.leaving)
    }

    /// Tells when [`Prober::tick`] has something to do.
    pub fn due(&self) -> Instant {
        let asking = self
            .pending
            .as_ref()
            .filter(|pending| !pending.asked)
            .map(|pending| pending.sent + self.timing.answer);
        let suspects = self.suspects.values().min().copied();
        [asking, suspects].into_iter().flatten().fold(self.next_probe, Instant::min)
    }

    /// Does what is due: asks helpers, suspects, pings the next member.
    pub fn tick(&mut self, now: Instant, view: &mut View, digest: Digest) -> Vec<Outgoing> {
        let mut out = self.ask_helpers(now, view, digest);
        self.expire_suspects(now, view);
        if now >= self.next_probe {
            self.next_probe = now + self.timing.period(view.len());
            if let Some(silent) = self.pending.take() {
                self.suspect(now, silent.target, view);
            }
            out.extend(self.ping_next(now, view, digest));
        }
        out
    }

    /// Takes in a datagram and returns the answers to it.
    pub fn receive(
        &mut self,
        now: Instant,
        datagram: &Datagram,
        view: &mut View,
        digest: Digest,
    ) -> Vec<Outgoing> {
        self.learn(now, &datagram.from, view);
        for rumour in &datagram.rumours {
            match rumour {
                Rumour::Member(record) => self.learn(now, record, view),
                Rumour::Leaving { .. } => self.leaving.push(rumour.clone()),
            }
        }
        let from = datagram.from.endpoint;
        match datagram.kind {
            Kind::Ping(number) => vec![self.datagram(from, Kind::Ack(number), view, digest)],
            Kind::Ack(number) => self.acknowledged(number, view, digest),
            Kind::Ask(number, target) => self.relay(from, number, target, view, digest),
            Kind::News => Vec::new(),
        }
    }

    /// Takes in reports from an exchange of whole views.
    pub fn learn_all(&mut self, now: Instant, records: &[Record], view: &mut View) {
        for record in records {
            self.learn(now, record, view);
        }
    }

    /// Takes in one report; refutes it where it is a false one about this run.
    fn learn(&mut self, now: Instant, record: &Record, view: &mut View) {
        if record.endpoint == self.me.endpoint {
            self.refute(record, view);
            return;
        }
        if !view.apply(record) {
            return;
        }
        self.rumours.add(Rumour::Member(record.clone()));
        if record.state == State::Suspect {
            self.suspects.insert(record.endpoint, now + self.timing.suspicion);
        } else {
            self.suspects.remove(&record.endpoint);
        }
    }

    fn refute(&mut self, record: &Record, view: &mut View) {
        if !record.overrides(&self.me) {
            return;
        }
        if record.incarnation == self.me.incarnation {
            self.me.counter = record.counter + 1;
        } else {
            // A predecessor whose clock was ahead numbered itself after us; nobody would
            // believe this run until it has a later number.
            self.me.incarnation = record.incarnation + 1;
        }
        view.apply(&self.me);
        self.rumours.add(Rumour::Member(self.me.clone()));
    }

    fn acknowledged(&mut self, number: u64, view: &View, digest: Digest) -> Vec<Outgoing> {
        if self.pending.as_ref().is_some_and(|pending| pending.number == number) {
            self.pending = None;
        }
        match self.relays.remove(&number) {
            Some((origin, number)) => vec![self.datagram(origin, Kind::Ack(number), view, digest)],
            None => Vec::new(),
        }
    }

    fn relay(
        &mut self,
        origin: Endpoint,
        number: u64,
        target: Endpoint,
        view: &View,
        digest: Digest,
    ) -> Vec<Outgoing> {
        if self.relays.len() >= MOST_RELAYS {
            self.relays.pop_first();
        }
        let own = self.next_number();
        self.relays.insert(own, (origin, number));
        vec![self.datagram(target, Kind::Ping(own), view, digest)]
    }

    fn ask_helpers(&mut self, now: Instant, view: &View, digest: Digest) -> Vec<Outgoing> {
        let answer = self.timing.answer;
        let late = |pending: &&mut Pending| !pending.asked && now >= pending.sent + answer;
        let Some(pending) = self.pending.as_mut().filter(late) else {
            return Vec::new();
        };
        pending.asked = true;
        let (target, number) = (pending.target, pending.number);
        let helpers = self.sample(view, HELPERS, Some(target));
        let ask = Kind::Ask(number, target);
        helpers.into_iter().map(|to| self.datagram(to, ask, view, digest)).collect()
    }

    fn suspect(&mut self, now: Instant, target: Endpoint, view: &mut View) {
        let Some(known) = view.get(target) else {
            return;
        };
        if known.state != State::Alive {
            return;
        }
        let suspicion = Record { state: State::Suspect, ..known.clone() };
        self.learn(now, &suspicion, view);
    }

    fn expire_suspects(&mut self, now: Instant, view: &mut View) {
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in due {
            self.suspects.remove(&endpoint);
            let Some(known) = view.get(endpoint) else {
                continue;
            };
            if known.state == State::Suspect {
                let unreachable = Record { state: State::Unreachable, ..known.clone() };
                self.learn(now, &unreachable, view);
            }
        }
    }

    fn ping_next(&mut self, now: Instant, view: &View, digest: Digest) -> Option<Outgoing> {
        if self.round.is_empty() {
            self.round = self.others(view).collect();
            self.round.shuffle(&mut self.rng);
        }
        let target = self.round.pop()?;
        let number = self.next_number();
        self.pending = Some(Pending { target, number, sent: now, asked: false });
        Some(self.datagram(target, Kind::Ping(number), view, digest))
    }

    /// The members that are probed: all that have not left for good.
    fn others<'a>(&self, view: &'a View) -> impl Iterator<Item = Endpoint> + use<'a> {
        let me = self.me.endpoint;
        view.iter()
            .filter(move |record| record.endpoint != me && record.state != State::Left)
            .map(|record| record.endpoint)
    }

    fn sample(&mut self, view: &View, count: usize, except: Option<Endpoint>) -> Vec<Endpoint> {
        let candidates: Vec<_> = self
            .others(view)
            .filter(|endpoint| Some(*endpoint) != except)
            .filter(|endpoint| view.get(*endpoint).is_some_and(|known| known.state.takes_work()))
            .collect();
        candidates.sample(&mut self.rng, count).copied().collect()
    }

    fn datagram(&mut self, to: Endpoint, kind: Kind, view: &View, digest: Digest) -> Outgoing {
        let digest = Digest { view: view.hash(), ..digest };
        let mut rumours = self.rumours.take(view.len());
        // A member that is doubted must hear of it whenever it is spoken to, also long
        // after the rumour has died down; else it could never refute.
        if let Some(doubted) = view.get(to).filter(|known| known.state != State::Alive) {
            rumours.insert(0, Rumour::Member(doubted.clone()));
        }
        Outgoing { to, datagram: Datagram { kind, from: self.me.clone(), digest, rumours } }
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}
