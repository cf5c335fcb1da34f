//! How members tell each other of requests under which searchers end.
//!
//! News is pushed like news of members. A member that may lack some, since it has just started
//! or datagrams got lost, shows by the hash in its datagrams that it holds something else, and is
//! told. Invariant: what is sent for that in a second is bounded, whatever is held and however many
//! members differ.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_quarantine::{Fingerprint, Quarantine};

use crate::membership::{Membership, Outgoing};
use crate::message::{Datagram, Digest};
use crate::rumour::Rumour;

/// How soon after one member another is told what it lacks: news on its way arrives sooner, and
/// whoever starts hears of several members in that time.
const AGAIN: Duration = Duration::from_millis(500);

/// How long a member that starts waits for word of what the others hold: a seed that lives answers
/// within some round trips between regions, and is asked again after 0.1 s. Where all have just
/// started, or nobody else is there, nobody can tell, and callers must not wait for that.
const WORD: Duration = Duration::from_millis(300);

/// How many reports a member is told at once: three datagrams.
const AT_ONCE: usize = 30;

/// The exchange of suspicions with the other members.
#[derive(Debug)]
pub struct Suspicions {
    quarantine: Arc<Quarantine>,
    /// Whether another member was heard of.
    heard: bool,
    /// When a member was last told what it may lack.
    told: Option<Instant>,
    /// With which report the next one that is told begins.
    next: usize,
}

impl Suspicions {
    /// Makes the exchange of what is held in a quarantine, of a member that has just started.
    pub fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine, heard: false, told: None, next: 0 }
    }

    /// Returns the hash of what is held here, for datagrams.
    pub fn hash(&self) -> u64 {
        self.quarantine.hash()
    }

    /// Spreads what this member has found out.
    pub fn spread(&self, now: Instant, membership: &mut Membership) {
        for report in self.quarantine.take_pending_reports(now) {
            membership.spread(now, Rumour::Suspicion(report));
        }
    }

    /// Takes in what others have told, passes on what is news, and returns of which requests.
    pub fn hear(&self, now: Instant, membership: &mut Membership) -> Vec<Fingerprint> {
        let mut news = Vec::new();
        for report in membership.take_reports() {
            if !self.quarantine.merge(now, &report) {
                continue;
            }
            news.push(report.fingerprint);
            if let Some(known) = self.quarantine.report(now, report.fingerprint) {
                membership.pass_on(now, Rumour::Suspicion(known));
            }
        }
        news
    }

    /// Notes whether whoever could tell has told: the view is whole, or it took long enough.
    pub fn settle(&self, now: Instant, membership: &Membership) {
        let told = membership.is_settled(now) || membership.age(now) >= WORD;
        if told && !self.quarantine.is_synced() {
            self.quarantine.set_synced(true);
        }
    }

    /// Tells the sender of a datagram what it may lack, and notes if it holds the same: it knows
    /// the newest of what is published, so it hasn't just started itself.
    pub fn inform(
        &mut self,
        now: Instant,
        membership: &Membership,
        datagram: &Datagram,
        digest: Digest,
    ) -> Vec<Outgoing> {
        let hash = self.hash();
        let agreed = datagram.digest.fresh && datagram.digest.suspicions == hash;
        if agreed {
            self.quarantine.set_synced(true);
        } else if !self.heard && membership.age(now) < WORD {
            // Somebody is there who may hold more.
            self.quarantine.set_synced(false);
        }
        self.heard = true;
        let recently = self.told.is_some_and(|told| now.saturating_duration_since(told) < AGAIN);
        if hash == 0 || datagram.digest.suspicions == hash || recently {
            return Vec::new();
        }
        self.told = Some(now);
        let mut reports = self.quarantine.severe_reports(now);
        reports.sort_by_key(|report| report.fingerprint);
        let begin = self.next % reports.len().max(1);
        reports.rotate_left(begin);
        reports.truncate(AT_ONCE);
        self.next = begin + reports.len();
        membership.inform(datagram.from.endpoint, reports, digest)
    }
}
