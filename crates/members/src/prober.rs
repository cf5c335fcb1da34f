//! Failure detection by probing, after the SWIM protocol: which member to ping, and which to
//! suspect.
//!
//! In each period a member pings one other member. Most pings go to members of the local zone, in
//! shuffled round-robin order; some go to another zone, rarely, because traffic between zones is
//! expensive. Each member is thus pinged about once a period, whatever the fleet's size. If no
//! acknowledgement arrives, the prober asks a few other members to ping the target, then suspects
//! it, and after the suspicion timeout considers it unreachable. Unreachable members stay in the
//! rotation at a lower rate, so that both sides notice when a network partition heals.
//!
//! Invariant: in each period a member sends at most one ping, a bounded number of indirect ping
//! requests, and one acknowledgement for each ping received, whatever the fleet's size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::record::{Endpoint, Record, State};
use crate::view::View;

/// The maximum number of outstanding pings on behalf of other members.
const MAX_RELAYED_PINGS: usize = 256;

/// One of this many pings goes to another zone, or one of as many as the local zone has other
/// members if those are fewer. When all members of a zone fail at once, members of other zones
/// still ping each of them every few seconds.
const REMOTE_PING_PERIOD: usize = 5;

/// One of this many rounds includes the members that do not accept work.
const UNAVAILABLE_ROUND_PERIOD: u32 = 4;

/// The timing of a prober.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The interval between pings.
    pub probe: Duration,
    /// How long to wait for an acknowledgement before other members are asked to ping the target.
    pub answer: Duration,
    /// How long a suspect has to refute the suspicion.
    pub suspicion: Duration,
}

#[derive(Debug)]
struct PendingPing {
    target: Endpoint,
    sequence: u64,
    sent_at: Instant,
    helpers_asked: bool,
}

/// The members still to be pinged in the current round, of the local zone or of the others.
#[derive(Debug, Default)]
struct Round {
    remaining: Vec<Endpoint>,
    round: u32,
}

impl Round {
    fn next<'a>(
        &mut self,
        others: impl Iterator<Item = &'a Record>,
        rng: &mut StdRng,
    ) -> Option<Endpoint> {
        if self.remaining.is_empty() {
            self.round = self.round.wrapping_add(1);
            let include_unavailable = self.round.is_multiple_of(UNAVAILABLE_ROUND_PERIOD);
            let probed = others.filter(|record| {
                record.state.takes_work() || (include_unavailable && record.state != State::Left)
            });
            self.remaining = probed.map(|record| record.endpoint).collect();
            self.remaining.shuffle(rng);
        }
        self.remaining.pop()
    }
}

/// The failure detector of one member.
#[derive(Debug)]
pub(crate) struct Prober {
    timing: Timing,
    local: Round,
    remote: Round,
    ping_count: usize,
    next_ping: Instant,
    last_sequence: u64,
    pending: Option<PendingPing>,
    relayed: BTreeMap<u64, (Endpoint, u64)>,
    suspects: BTreeMap<Endpoint, Instant>,
}

impl Prober {
    /// Creates the state of a member that starts. Sequence numbers follow `last_sequence`, which
    /// should differ between runs: an acknowledgement of an earlier run's ping is then not taken
    /// for one of this run's.
    pub(crate) fn new(now: Instant, timing: Timing, last_sequence: u64) -> Self {
        Self {
            timing,
            local: Round::default(),
            remote: Round::default(),
            ping_count: 0,
            next_ping: now,
            last_sequence,
            pending: None,
            relayed: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Returns when the next timer expires.
    pub(crate) fn due(&self) -> Instant {
        let pending = self.pending.as_ref().filter(|pending| !pending.helpers_asked);
        let overdue = pending.map(|pending| pending.sent_at + self.timing.answer);
        let suspects = self.suspects.values().min().copied();
        [overdue, suspects].into_iter().flatten().fold(self.next_ping, Instant::min)
    }

    /// Returns the overdue ping that other members are to be asked to repeat; each ping only once.
    pub(crate) fn take_overdue_ping(&mut self, now: Instant) -> Option<(u64, Endpoint)> {
        let answer = self.timing.answer;
        let is_late =
            |pending: &&mut PendingPing| !pending.helpers_asked && now >= pending.sent_at + answer;
        let pending = self.pending.as_mut().filter(is_late)?;
        pending.helpers_asked = true;
        Some((pending.sequence, pending.target))
    }

    /// Removes and returns the suspects whose suspicion timeout has expired.
    pub(crate) fn take_expired_suspects(&mut self, now: Instant) -> Vec<Endpoint> {
        let expired = self.suspects.iter().filter(|(_, deadline)| now >= **deadline);
        let expired: Vec<_> = expired.map(|(endpoint, _)| *endpoint).collect();
        for endpoint in &expired {
            self.suspects.remove(endpoint);
        }
        expired
    }

    /// Ends a period and returns the member to suspect, if any; none if this member was late
    /// itself.
    pub(crate) fn end_period(&mut self, now: Instant) -> Option<Endpoint> {
        let is_late = now.saturating_duration_since(self.next_ping) > self.timing.answer;
        self.next_ping = now + self.timing.probe;
        let unanswered = self.pending.take();
        // A process that was suspended or starved of CPU time may have unread acknowledgements.
        unanswered.filter(|_| !is_late).map(|pending| pending.target)
    }

    /// Returns whether the current period has ended.
    pub(crate) fn is_period_over(&self, now: Instant) -> bool {
        now >= self.next_ping
    }

    /// Chooses a member to ping and returns the ping's sequence number and its target.
    pub(crate) fn ping(
        &mut self,
        now: Instant,
        me: &Record,
        view: &View,
        rng: &mut StdRng,
    ) -> Option<(u64, Endpoint)> {
        let others = || view.iter().filter(|record| record.endpoint != me.endpoint);
        let is_local = |record: &&Record| record.zone == me.zone;
        let zone_peers = others().filter(is_local).filter(|peer| peer.state.takes_work()).count();
        self.ping_count = self.ping_count.wrapping_add(1);
        let to_remote = zone_peers == 0
            || self.ping_count.is_multiple_of(zone_peers.clamp(2, REMOTE_PING_PERIOD));
        let local =
            |round: &mut Round, rng: &mut StdRng| round.next(others().filter(is_local), rng);
        let remote = |round: &mut Round, rng: &mut StdRng| {
            round.next(others().filter(|record| record.zone != me.zone), rng)
        };
        let target = if to_remote {
            remote(&mut self.remote, rng).or_else(|| local(&mut self.local, rng))
        } else {
            local(&mut self.local, rng).or_else(|| remote(&mut self.remote, rng))
        }?;
        let sequence = self.next_sequence();
        self.pending = Some(PendingPing { target, sequence, sent_at: now, helpers_asked: false });
        Some((sequence, target))
    }

    /// Handles an acknowledgement. If the ping was sent on behalf of another member, returns that
    /// member and the sequence number that it used.
    pub(crate) fn handle_ack(&mut self, sequence: u64) -> Option<(Endpoint, u64)> {
        if self.pending.as_ref().is_some_and(|pending| pending.sequence == sequence) {
            self.pending = None;
        }
        self.relayed.remove(&sequence)
    }

    /// Returns the sequence number for a ping on behalf of `origin`, which used
    /// `origin_sequence`.
    pub(crate) fn relay_ping(&mut self, origin: Endpoint, origin_sequence: u64) -> u64 {
        if self.relayed.len() >= MAX_RELAYED_PINGS {
            self.relayed.pop_first();
        }
        let sequence = self.next_sequence();
        self.relayed.insert(sequence, (origin, origin_sequence));
        sequence
    }

    /// Starts or stops the suspicion timer after a change of a member's state.
    pub(crate) fn update_suspicion(&mut self, now: Instant, record: &Record) {
        if record.state == State::Suspect {
            self.suspects.insert(record.endpoint, now + self.timing.suspicion);
        } else {
            self.suspects.remove(&record.endpoint);
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
