//! Exchange of reports on requests that crash searchers.
//!
//! Reports are gossiped like member records. A member can lack some because it has just started or
//! because datagrams were lost; the hash in its datagrams then differs, and other members send it
//! their reports. Invariant: the volume of these messages a second is bounded, however many reports
//! are held and however many members differ.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_quarantine::{Fingerprint, Quarantine};

use crate::membership::{Membership, Outgoing};
use crate::message::{Datagram, Digest};
use crate::rumour::Rumour;

/// The minimum interval between two sets of reports sent to members that differ. Gossip in flight
/// arrives sooner than this, and a member that starts hears from several others within this time.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// How long a starting member waits to learn whether the others hold reports. A live seed answers
/// within a few round trips between regions, and is asked again after 0.1 s. If all members have
/// just started, or there are no others, none can answer, and callers must not wait for that.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum number of reports sent at once, which take three datagrams.
const MAX_REPORTS_SENT: usize = 30;

/// The exchange of reports on suspect requests with the other members.
#[derive(Debug)]
pub struct Suspicions {
    quarantine: Arc<Quarantine>,
    /// Whether a datagram of another member has been received.
    heard_from_others: bool,
    /// When reports were last sent to a member that differed.
    last_sent: Option<Instant>,
    /// The index of the first report to send next time.
    next_index: usize,
}

impl Suspicions {
    /// Creates the exchange for the reports in a quarantine. The local member has just started.
    pub fn new(quarantine: Arc<Quarantine>) -> Self {
        Self { quarantine, heard_from_others: false, last_sent: None, next_index: 0 }
    }

    /// Returns the hash of the local reports, for datagrams.
    pub fn hash(&self) -> u64 {
        self.quarantine.hash()
    }

    /// Gossips the reports that originate at this member.
    pub fn gossip_new(&self, now: Instant, membership: &mut Membership) {
        for report in self.quarantine.take_pending_reports(now) {
            membership.gossip(now, Rumour::Suspicion(report));
        }
    }

    /// Merges reports received from other members, gossips those that were new, and returns the
    /// fingerprints of their requests.
    pub fn merge_received(&self, now: Instant, membership: &mut Membership) -> Vec<Fingerprint> {
        let mut updated = Vec::new();
        for report in membership.take_reports() {
            if !self.quarantine.merge(now, &report) {
                continue;
            }
            updated.push(report.fingerprint);
            if let Some(known) = self.quarantine.report(now, report.fingerprint) {
                membership.gossip_in_zone(now, Rumour::Suspicion(known));
            }
        }
        updated
    }

    /// Marks the quarantine as synced once the view has converged or [`SYNC_TIMEOUT`] has
    /// passed.
    pub fn update_synced(&self, now: Instant, membership: &Membership) {
        let is_synced = membership.is_converged(now) || membership.age(now) >= SYNC_TIMEOUT;
        if is_synced && !self.quarantine.is_synced() {
            self.quarantine.set_synced(true);
        }
    }

    /// Returns datagrams with the reports that the sender of `datagram` may lack.
    ///
    /// Marks the quarantine as synced if the sender holds the same reports and has the latest
    /// published state, which shows that it has not just started itself.
    pub fn send_missing(
        &mut self,
        now: Instant,
        membership: &Membership,
        datagram: &Datagram,
        digest: Digest,
    ) -> Vec<Outgoing> {
        let hash = self.hash();
        let agrees = datagram.digest.fresh && datagram.digest.suspicions == hash;
        if agrees {
            self.quarantine.set_synced(true);
        } else if !self.heard_from_others && membership.age(now) < SYNC_TIMEOUT {
            // Another member exists and may hold more reports.
            self.quarantine.set_synced(false);
        }
        self.heard_from_others = true;
        let recently = self
            .last_sent
            .is_some_and(|sent| now.saturating_duration_since(sent) < MIN_SEND_INTERVAL);
        if hash == 0 || datagram.digest.suspicions == hash || recently {
            return Vec::new();
        }
        self.last_sent = Some(now);
        let mut reports = self.quarantine.severe_reports(now);
        reports.sort_by_key(|report| report.fingerprint);
        let first = self.next_index % reports.len().max(1);
        reports.rotate_left(first);
        reports.truncate(MAX_REPORTS_SENT);
        self.next_index = first + reports.len();
        membership.report_datagrams(datagram.from.endpoint, reports, digest)
    }
}
