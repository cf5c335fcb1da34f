//! Gossip: the updates that members pass on to each other.
//!
//! A new update is pushed to a few members, which push it on, and is piggybacked on probes
//! afterwards. Records that a member received because it lacked them are not gossiped. Invariant:
//! each member pushes an update once and piggybacks it a number of times that grows with the
//! logarithm of the fleet's size, and a datagram carries a bounded number of updates. The traffic
//! of a member is therefore bounded whatever the fleet's size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_quarantine::{Fingerprint, Report};
use serde::{Deserialize, Serialize};

use crate::record::{Endpoint, Record};

/// The maximum number of rumours piggybacked on a probe, which keeps probes small.
const MAX_PER_PROBE: usize = 10;

/// The maximum number of rumours piggybacked on a probe to another zone. Traffic between zones is
/// expensive, and the member at which a rumour originates pushes it to every zone anyway.
const MAX_PER_REMOTE_PROBE: usize = 3;

/// The maximum number of records in a datagram without piggybacking. At about 52 bytes a record,
/// they fit one packet.
pub const MAX_RECORDS_PER_DATAGRAM: usize = 20;

/// The maximum number of queued rumours; the oldest are dropped first.
const MAX_QUEUED: usize = 4096;

/// The maximum number of queued rumours about members. More arise only while a whole fleet starts,
/// and then the comparison of views transfers them; in a fleet of 300, gossiping all of them would
/// fill every probe for a minute.
const MAX_MEMBER_RUMOURS: usize = 64;

/// A rumour is piggybacked this many times the logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 2;

/// How long a push is delayed to batch it with further rumours. A change crosses a zone in three to
/// five hops.
const PUSH_DELAY: Duration = Duration::from_millis(20);

/// An update that members gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// The record of a member changed.
    #[serde(rename = "m")]
    Member(Record),
    /// An incarnation of a searcher is leaving.
    #[serde(rename = "l")]
    Leaving {
        /// The searcher's address.
        #[serde(rename = "a")]
        searcher: SocketAddr,
        /// The incarnation's identifier.
        #[serde(rename = "r")]
        run: Name,
    },
    /// A request is suspected of crashing searchers.
    #[serde(rename = "q")]
    Suspicion(Report),
}

/// The subject of a rumour: a newer rumour replaces an older one about the same subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Member(Endpoint),
    Searcher(SocketAddr),
    Request(Fingerprint),
}

impl Rumour {
    fn subject(&self) -> Subject {
        match self {
            Self::Member(record) => Subject::Member(record.endpoint),
            Self::Leaving { searcher, .. } => Subject::Searcher(*searcher),
            Self::Suspicion(report) => Subject::Request(report.fingerprint),
        }
    }
}

impl Rumour {
    /// Returns whether the rumour is pushed without batching. Until all members know that a request
    /// crashes searchers, each of them may lose further searchers to it.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Suspicion(report) if report.is_urgent())
    }
}

/// The members to which a rumour is pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    /// Members of the local zone, since another member has informed the other zones.
    Zone,
    /// Members of every zone.
    AllZones,
}

#[derive(Debug)]
struct QueuedRumour {
    sends: u32,
    /// The scope of the pending push, if the rumour has not been pushed yet.
    pending_push: Option<Scope>,
    rumour: Rumour,
}

/// The rumours that a member still gossips.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    queue: Vec<QueuedRumour>,
    push_at: Option<Instant>,
}

impl Rumours {
    /// Adds a rumour; replaces an older one about the same subject.
    pub(crate) fn add(&mut self, now: Instant, rumour: Rumour, scope: Scope) {
        let subject = rumour.subject();
        let delay = if rumour.is_urgent() { Duration::ZERO } else { PUSH_DELAY };
        self.queue.retain(|queued| queued.rumour.subject() != subject);
        self.queue.insert(0, QueuedRumour { sends: 0, pending_push: Some(scope), rumour });
        self.queue.truncate(MAX_QUEUED);
        self.limit_member_rumours();
        let due = self.push_at.map_or(now + delay, |due| due.min(now + delay));
        self.push_at = Some(due);
    }

    /// Drops the oldest rumours about members beyond [`MAX_MEMBER_RUMOURS`].
    fn limit_member_rumours(&mut self) {
        let is_member = |queued: &QueuedRumour| matches!(queued.rumour, Rumour::Member(_));
        let mut members = 0;
        self.queue.retain(|queued| {
            members += usize::from(is_member(queued));
            !is_member(queued) || members <= MAX_MEMBER_RUMOURS
        });
    }

    /// Returns when the next push is due.
    pub(crate) fn push_due(&self) -> Option<Instant> {
        self.push_at
    }

    /// Postpones the push, since no other member is known yet.
    pub(crate) fn postpone_push(&mut self, now: Instant) {
        self.push_at = self.push_at.map(|_| now + PUSH_DELAY);
    }

    /// Takes the rumours to push and their scopes, most recently added first within a scope.
    ///
    /// Rumours that do not fit one datagram are not pushed. There are that many only while many
    /// members start, and then their views differ and are compared.
    pub(crate) fn take_pushes(&mut self) -> Vec<(Scope, Rumour)> {
        self.push_at = None;
        let pushes = self.queue.iter_mut().filter_map(|queued| {
            let scope = queued.pending_push.take()?;
            queued.sends += 1;
            Some((scope, queued.rumour.clone()))
        });
        let mut pushes: Vec<_> = pushes.collect();
        pushes.sort_by_key(|(scope, _)| std::cmp::Reverse(*scope));
        pushes.truncate(MAX_RECORDS_PER_DATAGRAM);
        pushes
    }

    /// Takes the rumours to piggyback on the next probe: those sent the fewest times so far.
    pub(crate) fn take_piggybacked(&mut self, members: usize, remote: bool) -> Vec<Rumour> {
        self.queue.sort_by_key(|queued| queued.sends);
        let max_sends = RETRANSMIT_FACTOR * (usize::BITS - members.leading_zeros()).max(1);
        let taken = self
            .queue
            .iter_mut()
            .take(if remote { MAX_PER_REMOTE_PROBE } else { MAX_PER_PROBE })
            .map(|queued| {
                queued.sends += 1;
                queued.rumour.clone()
            });
        let taken = taken.collect();
        self.queue.retain(|queued| queued.sends < max_sends);
        taken
    }

    /// Returns the number of rumours that are still gossiped.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
