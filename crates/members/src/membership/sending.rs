//! Construction of outgoing datagrams and choice of their receivers: pushes of gossip, records that
//! others lack, and probes with piggybacked gossip.

use std::collections::BTreeMap;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_quarantine::Report;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{Membership, Outgoing};
use crate::message::{Datagram, Digest, Kind};
use crate::record::{Endpoint, Record, State};
use crate::rumour::{MAX_RECORDS_PER_DATAGRAM, Rumour, Scope};

/// The number of members of the local zone to which rumours are pushed. If each pushes on, all but
/// one in twenty are reached; comparisons of views reach the others.
const LOCAL_PUSH_FANOUT: usize = 3;

/// The number of members of each other zone to which rumours are pushed; one of them may be gone.
const REMOTE_PUSH_FANOUT: usize = 2;

/// One of this many comparisons of a starting member is with a member of another zone.
const REMOTE_COMPARE_PERIOD: u32 = 4;

/// The maximum number of reports on requests in a datagram. At about 90 bytes each, they fit one
/// packet.
const REPORTS_PER_DATAGRAM: usize = 10;

impl Membership {
    /// Returns datagrams with the reports on requests that a member may lack.
    pub fn report_datagrams(
        &self,
        to: Endpoint,
        reports: Vec<Report>,
        digest: Digest,
    ) -> Vec<Outgoing> {
        let rumours: Vec<Rumour> = reports.into_iter().map(Rumour::Suspicion).collect();
        let chunks = rumours.chunks(REPORTS_PER_DATAGRAM);
        chunks.map(|rumours| self.datagram(to, Kind::Records, digest, rumours.to_vec())).collect()
    }

    /// Pushes new rumours, in one datagram for each receiver: all of them to a few members of the
    /// local zone, and those that originate here to a few of each other zone.
    pub(super) fn push(&mut self, now: Instant, digest: Digest, out: &mut Vec<Outgoing>) {
        if self.view.available_count() <= 1 {
            self.rumours.postpone_push(now);
            return;
        }
        let pushes = self.rumours.take_pushes();
        if pushes.is_empty() {
            return;
        }
        let originated = pushes.iter().filter(|(scope, _)| *scope == Scope::AllZones);
        let originated: Vec<Rumour> = originated.map(|(_, rumour)| rumour.clone()).collect();
        let all: Vec<Rumour> = pushes.into_iter().map(|(_, rumour)| rumour).collect();
        let zone = Name::clone(&self.me.zone);
        for to in self.sample(LOCAL_PUSH_FANOUT, |record| record.zone == zone) {
            out.push(self.datagram(to, Kind::Gossip, digest, all.clone()));
        }
        if originated.is_empty() {
            return;
        }
        for to in self.sample_other_zones() {
            out.push(self.datagram(to, Kind::Gossip, digest, originated.clone()));
        }
    }

    /// Returns a random sample of members of each other zone.
    pub(super) fn sample_other_zones(&mut self) -> Vec<Endpoint> {
        let mut zones = BTreeMap::<&Name, Vec<Endpoint>>::new();
        for record in self.view.available().filter(|record| record.zone != self.me.zone) {
            zones.entry(&record.zone).or_default().push(record.endpoint);
        }
        let rng = &mut self.rng;
        let sample = |members: Vec<Endpoint>| {
            members.sample(rng, REMOTE_PUSH_FANOUT).copied().collect::<Vec<_>>()
        };
        zones.into_values().flat_map(sample).collect()
    }

    /// Returns a random member to compare views with, mostly one of the local zone.
    ///
    /// While a fleet starts, all views differ, and every member heard from the seeds first. If each
    /// compared with the member it heard from last, a seed would send 2.8 MB a second at 300
    /// members.
    pub(super) fn comparison_peer(&mut self) -> Option<Endpoint> {
        let zone = Name::clone(&self.me.zone);
        let remote = self.rng.random_ratio(1, REMOTE_COMPARE_PERIOD);
        let picked = self.sample(1, |record| (record.zone == zone) != remote);
        picked.first().copied().or_else(|| self.sample(1, |_| true).first().copied())
    }

    /// Returns a random sample of the other members that accept work and satisfy a predicate.
    pub(super) fn sample(
        &mut self,
        count: usize,
        predicate: impl Fn(&Record) -> bool,
    ) -> Vec<Endpoint> {
        let me = self.me.endpoint;
        let others =
            self.view.available().filter(|record| record.endpoint != me && predicate(record));
        let others: Vec<_> = others.map(|record| record.endpoint).collect();
        others.sample(&mut self.rng, count).copied().collect()
    }

    /// Returns datagrams that carry records to a member: at least one, even without records.
    pub(super) fn record_datagrams(
        &self,
        to: Endpoint,
        records: &[Record],
        digest: Digest,
    ) -> Vec<Outgoing> {
        let rumours = |records: &[Record]| records.iter().cloned().map(Rumour::Member).collect();
        if records.is_empty() {
            return vec![self.datagram(to, Kind::Records, digest, Vec::new())];
        }
        let chunks = records.chunks(MAX_RECORDS_PER_DATAGRAM);
        chunks.map(|records| self.datagram(to, Kind::Records, digest, rumours(records))).collect()
    }

    /// Returns a datagram with piggybacked rumours.
    pub(super) fn probe_datagram(&mut self, to: Endpoint, kind: Kind, digest: Digest) -> Outgoing {
        let remote = self.view.get(to).is_some_and(|known| known.zone != self.me.zone);
        let rumours = self.rumours.take_piggybacked(self.view.len(), remote);
        self.datagram(to, kind, digest, rumours)
    }

    pub(super) fn datagram(
        &self,
        to: Endpoint,
        kind: Kind,
        digest: Digest,
        mut rumours: Vec<Rumour>,
    ) -> Outgoing {
        let members = self.view.available_count() as u32;
        let digest = Digest { view: self.view.hash(), members, ..digest };
        // A member that is not alive in the local view is sent its record in every datagram, also
        // long after the rumour has expired; otherwise it could never refute a suspicion.
        if let Some(record) = self.view.get(to).filter(|known| known.state != State::Alive) {
            rumours.insert(0, Rumour::Member(record.clone()));
        }
        Outgoing { to, datagram: Datagram { kind, from: self.me.clone(), digest, rumours } }
    }
}
