//! News that travels from member to member.
//!
//! News is pushed at once to a few members, who push it on, and repeated on the back of
//! probes. Records that were told to a member that lacked them are no news. Invariant: each
//! piece of news is pushed once by each member and repeated a number of times that grows with
//! the logarithm of the fleet, and one datagram carries a bounded number of them, so the
//! traffic of a member is bounded whatever the fleet's size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_quarantine::{Fingerprint, Report};
use serde::{Deserialize, Serialize};

use crate::record::{Endpoint, Record};

/// The most rumours on the back of a probe, which keeps it small.
const PER_PROBE: usize = 10;

/// The most rumours on the back of a probe to another zone: bytes there are dear, and whoever
/// news begins with pushes it to every zone.
const PER_FAR_PROBE: usize = 3;

/// The most records in a datagram of its own: of some 52 bytes each, so that they fit one packet.
pub const PER_DATAGRAM: usize = 20;

/// The most rumours kept; beyond it, the oldest give way.
const MOST: usize = 4096;

/// The most reports about members among them: so many at once mean that a fleet starts, whose
/// views are compared. All of them would fill every probe for a minute in a fleet of 300.
const MOST_REPORTS: usize = 64;

/// How many times the logarithm of the fleet's size a rumour is sent, besides the push.
const REPEAT: u32 = 2;

/// How long news waits for more news to travel with. A change crosses a zone in three to
/// five steps.
const GATHERING: Duration = Duration::from_millis(20);

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// A report about a member.
    #[serde(rename = "m")]
    Member(Record),
    /// A run of a searcher is leaving.
    #[serde(rename = "l")]
    Leaving {
        /// The searcher.
        #[serde(rename = "a")]
        searcher: SocketAddr,
        /// The run.
        #[serde(rename = "r")]
        run: Name,
    },
    /// Searchers end under a request.
    #[serde(rename = "q")]
    Suspicion(Report),
}

/// What a rumour is about: newer news about the same subject replaces older.
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
    /// Tells whether it is pushed without waiting for more news: until all have heard that a
    /// request does harm, each of them may lose further searchers to it.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Suspicion(report) if report.is_urgent())
    }
}

/// To whom news is pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reach {
    /// To members of the own zone: somebody else has told the other zones.
    Zone,
    /// To members of every zone.
    Everywhere,
}

#[derive(Debug)]
struct Entry {
    sent: u32,
    /// To whom it is still to be pushed.
    push: Option<Reach>,
    rumour: Rumour,
}

/// The news that a member still passes on.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    queue: Vec<Entry>,
    push_at: Option<Instant>,
}

impl Rumours {
    /// Adds news, in place of older news about the same subject.
    pub(crate) fn add(&mut self, now: Instant, rumour: Rumour, reach: Reach) {
        let subject = rumour.subject();
        let wait = if rumour.is_urgent() { Duration::ZERO } else { GATHERING };
        self.queue.retain(|known| known.rumour.subject() != subject);
        self.queue.insert(0, Entry { sent: 0, push: Some(reach), rumour });
        self.queue.truncate(MOST);
        self.drop_reports();
        let due = self.push_at.map_or(now + wait, |due| due.min(now + wait));
        self.push_at = Some(due);
    }

    /// Drops the oldest reports about members beyond the most.
    fn drop_reports(&mut self) {
        let is_report = |known: &Entry| matches!(known.rumour, Rumour::Member(_));
        let mut reports = 0;
        self.queue.retain(|known| {
            reports += usize::from(is_report(known));
            !is_report(known) || reports <= MOST_REPORTS
        });
    }

    /// Tells when news is to be pushed.
    pub(crate) fn push_due(&self) -> Option<Instant> {
        self.push_at
    }

    /// Waits with the push, since there is nobody to push to yet.
    pub(crate) fn push_later(&mut self, now: Instant) {
        self.push_at = self.push_at.map(|_| now + GATHERING);
    }

    /// Takes the news to push, with how far: what was added last first.
    ///
    /// What doesn't fit one datagram isn't pushed. So much news at once means that many members
    /// start; their views differ anyway, and are compared.
    pub(crate) fn push(&mut self) -> Vec<(Reach, Rumour)> {
        self.push_at = None;
        let fresh = self.queue.iter_mut().filter_map(|known| {
            let reach = known.push.take()?;
            known.sent += 1;
            Some((reach, known.rumour.clone()))
        });
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_by_key(|(reach, _)| std::cmp::Reverse(*reach));
        fresh.truncate(PER_DATAGRAM);
        fresh
    }

    /// Takes what the next probe carries: the news sent least often so far.
    pub(crate) fn take(&mut self, fleet: usize, far: bool) -> Vec<Rumour> {
        self.queue.sort_by_key(|known| known.sent);
        let most = REPEAT * (usize::BITS - fleet.leading_zeros()).max(1);
        let taken =
            self.queue.iter_mut().take(if far { PER_FAR_PROBE } else { PER_PROBE }).map(|known| {
                known.sent += 1;
                known.rumour.clone()
            });
        let taken = taken.collect();
        self.queue.retain(|known| known.sent < most);
        taken
    }

    /// Returns how much news is still passed on.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}
