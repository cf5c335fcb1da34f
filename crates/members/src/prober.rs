//! Failure detection by probing, after the SWIM protocol: whom to ping, and whom to suspect.
//!
//! Each period a member pings one other: mostly one of its own zone, in a shuffled round, and
//! now and then one of another zone, since bytes between zones are dear. So each member is
//! pinged about once a period, whatever the fleet's size. Without an acknowledgement the
//! member asks a few others to ping in its stead, then suspects the target, and after a time
//! of suspicion holds it for unreachable. Unreachable members stay in the round, rarely, so
//! that a healed partition is noticed by both sides.
//!
//! Invariant: a member sends at most one ping, a few indirect ones and one acknowledgement
//! for each received ping a period, whatever the fleet's size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::record::{Endpoint, Record, State};
use crate::view::View;

/// How many pings for others may be outstanding.
const MOST_RELAYS: usize = 256;

/// One ping in so many leaves the zone, or one in as many as the zone has other members if
/// those are fewer: of a zone that is lost whole, each member is still pinged by the others
/// once in some seconds.
const FAR: usize = 5;

/// One round in so many holds the members that take no work.
const DEAD: u32 = 4;

/// The periods of a prober.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often another member is pinged.
    pub probe: Duration,
    /// How long an acknowledgement may take before others are asked.
    pub answer: Duration,
    /// How long a suspect may refute.
    pub suspicion: Duration,
}

#[derive(Debug)]
struct Pending {
    target: Endpoint,
    number: u64,
    sent: Instant,
    asked: bool,
}

/// The members that are still to be pinged, of the own zone or of the others.
#[derive(Debug, Default)]
struct Round {
    members: Vec<Endpoint>,
    count: u32,
}

impl Round {
    fn next<'a>(
        &mut self,
        others: impl Iterator<Item = &'a Record>,
        rng: &mut StdRng,
    ) -> Option<Endpoint> {
        if self.members.is_empty() {
            self.count = self.count.wrapping_add(1);
            let with_dead = self.count.is_multiple_of(DEAD);
            let probed = others.filter(|record| {
                record.state.takes_work() || (with_dead && record.state != State::Left)
            });
            self.members = probed.map(|record| record.endpoint).collect();
            self.members.shuffle(rng);
        }
        self.members.pop()
    }
}

/// The failure detector of one member.
#[derive(Debug)]
pub(crate) struct Prober {
    timing: Timing,
    near: Round,
    far: Round,
    turn: usize,
    next: Instant,
    number: u64,
    pending: Option<Pending>,
    relays: BTreeMap<u64, (Endpoint, u64)>,
    suspects: BTreeMap<Endpoint, Instant>,
}

impl Prober {
    pub(crate) fn new(now: Instant, timing: Timing) -> Self {
        Self {
            timing,
            near: Round::default(),
            far: Round::default(),
            turn: 0,
            next: now,
            number: 0,
            pending: None,
            relays: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Tells when there is something to do.
    pub(crate) fn due(&self) -> Instant {
        let pending = self.pending.as_ref().filter(|pending| !pending.asked);
        let asking = pending.map(|pending| pending.sent + self.timing.answer);
        let suspects = self.suspects.values().min().copied();
        [asking, suspects].into_iter().flatten().fold(self.next, Instant::min)
    }

    /// Returns the ping that others should be asked to make, once.
    pub(crate) fn unanswered(&mut self, now: Instant) -> Option<(u64, Endpoint)> {
        let answer = self.timing.answer;
        let late = |pending: &&mut Pending| !pending.asked && now >= pending.sent + answer;
        let pending = self.pending.as_mut().filter(late)?;
        pending.asked = true;
        Some((pending.number, pending.target))
    }

    /// Takes the suspects whose time is over.
    pub(crate) fn expired(&mut self, now: Instant) -> Vec<Endpoint> {
        let over = self.suspects.iter().filter(|(_, until)| now >= **until);
        let over: Vec<_> = over.map(|(endpoint, _)| *endpoint).collect();
        for endpoint in &over {
            self.suspects.remove(endpoint);
        }
        over
    }

    /// Ends a period: returns whom to suspect, unless this member was late itself.
    pub(crate) fn end_period(&mut self, now: Instant) -> Option<Endpoint> {
        let late = now.saturating_duration_since(self.next) > self.timing.answer;
        self.next = now + self.timing.probe;
        let silent = self.pending.take();
        // Acknowledgements may be waiting for a process that slept or has no processor.
        silent.filter(|_| !late).map(|pending| pending.target)
    }

    /// Tells whether a period is over.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Chooses whom to ping, and numbers the ping.
    pub(crate) fn ping(
        &mut self,
        now: Instant,
        me: &Record,
        view: &View,
        rng: &mut StdRng,
    ) -> Option<(u64, Endpoint)> {
        let others = || view.iter().filter(|record| record.endpoint != me.endpoint);
        let is_near = |record: &&Record| record.zone == me.zone;
        let mates = others().filter(is_near).filter(|mate| mate.state.takes_work()).count();
        self.turn = self.turn.wrapping_add(1);
        let leaves = mates == 0 || self.turn.is_multiple_of(mates.clamp(2, FAR));
        let near = |round: &mut Round, rng: &mut StdRng| round.next(others().filter(is_near), rng);
        let far = |round: &mut Round, rng: &mut StdRng| {
            round.next(others().filter(|record| record.zone != me.zone), rng)
        };
        let target = if leaves {
            far(&mut self.far, rng).or_else(|| near(&mut self.near, rng))
        } else {
            near(&mut self.near, rng).or_else(|| far(&mut self.far, rng))
        }?;
        let number = self.number();
        self.pending = Some(Pending { target, number, sent: now, asked: false });
        Some((number, target))
    }

    /// Takes in an acknowledgement, and returns to whom it is to be passed on.
    pub(crate) fn acknowledged(&mut self, number: u64) -> Option<(Endpoint, u64)> {
        if self.pending.as_ref().is_some_and(|pending| pending.number == number) {
            self.pending = None;
        }
        self.relays.remove(&number)
    }

    /// Numbers a ping that is made in another's stead.
    pub(crate) fn relay(&mut self, origin: Endpoint, number: u64) -> u64 {
        if self.relays.len() >= MOST_RELAYS {
            self.relays.pop_first();
        }
        let own = self.number();
        self.relays.insert(own, (origin, number));
        own
    }

    /// Notes a change of a member's state.
    pub(crate) fn note(&mut self, now: Instant, record: &Record) {
        if record.state == State::Suspect {
            self.suspects.insert(record.endpoint, now + self.timing.suspicion);
        } else {
            self.suspects.remove(&record.endpoint);
        }
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}
