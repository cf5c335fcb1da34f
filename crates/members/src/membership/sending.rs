//! What a member sends to whom: pushes of news, records that others lack, probes with news on
//! their back.

use std::collections::BTreeMap;
use std::time::Instant;

use bergamot_base::Name;
use bergamot_quarantine::Report;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{Membership, Outgoing};
use crate::message::{Datagram, Digest, Kind};
use crate::record::{Endpoint, Record, State};
use crate::rumour::{PER_DATAGRAM, Reach, Rumour};

/// To how many members of the own zone news is pushed: all but one in twenty are reached if
/// each pushes on, and comparisons find the others.
const PUSH_NEAR: usize = 3;

/// To how many members of each other zone news is pushed; one may be gone.
const PUSH_FAR: usize = 2;

/// One comparison in so many of a member that starts is with one of another zone.
const COMPARE_FAR: u32 = 4;

/// The most reports on requests in a datagram: of some 90 bytes each, so that they fit one packet.
const REPORTS_PER_DATAGRAM: usize = 10;

impl Membership {
    /// Makes the datagrams that tell a member reports that it may lack.
    pub fn inform(&self, to: Endpoint, reports: Vec<Report>, digest: Digest) -> Vec<Outgoing> {
        let rumours: Vec<Rumour> = reports.into_iter().map(Rumour::Suspicion).collect();
        let told = rumours.chunks(REPORTS_PER_DATAGRAM);
        told.map(|rumours| self.datagram(to, Kind::Tell, digest, rumours.to_vec())).collect()
    }

    /// Pushes what is new, in one datagram each, to a few of the own zone, and what began here
    /// to a few of each other zone.
    pub(super) fn push(&mut self, now: Instant, digest: Digest, out: &mut Vec<Outgoing>) {
        if self.view.count_working() <= 1 {
            self.rumours.push_later(now);
            return;
        }
        let news = self.rumours.push();
        if news.is_empty() {
            return;
        }
        let begun = news.iter().filter(|(reach, _)| *reach == Reach::Everywhere);
        let begun: Vec<Rumour> = begun.map(|(_, rumour)| rumour.clone()).collect();
        let all: Vec<Rumour> = news.into_iter().map(|(_, rumour)| rumour).collect();
        let zone = Name::clone(&self.me.zone);
        for to in self.sample(PUSH_NEAR, |record| record.zone == zone) {
            out.push(self.datagram(to, Kind::News, digest, all.clone()));
        }
        if begun.is_empty() {
            return;
        }
        for to in self.some_of_other_zones() {
            out.push(self.datagram(to, Kind::News, digest, begun.clone()));
        }
    }

    /// Picks a few members of each other zone.
    pub(super) fn some_of_other_zones(&mut self) -> Vec<Endpoint> {
        let mut zones = BTreeMap::<&Name, Vec<Endpoint>>::new();
        for record in self.view.working().filter(|record| record.zone != self.me.zone) {
            zones.entry(&record.zone).or_default().push(record.endpoint);
        }
        let rng = &mut self.rng;
        let few =
            |members: Vec<Endpoint>| members.sample(rng, PUSH_FAR).copied().collect::<Vec<_>>();
        zones.into_values().flat_map(few).collect()
    }

    /// Picks a member to compare views with, mostly one of the own zone.
    ///
    /// While a fleet starts all views differ, and everybody has heard of the seeds first: if each
    /// compared with whom it heard last, a seed would send 2.8 MB a second at 300 members.
    pub(super) fn any_other(&mut self) -> Option<Endpoint> {
        let zone = Name::clone(&self.me.zone);
        let far = self.rng.random_ratio(1, COMPARE_FAR);
        let picked = self.sample(1, |record| (record.zone == zone) != far);
        picked.first().copied().or_else(|| self.sample(1, |_| true).first().copied())
    }

    /// Picks members that take work, this one left out.
    pub(super) fn sample(&mut self, count: usize, may: impl Fn(&Record) -> bool) -> Vec<Endpoint> {
        let me = self.me.endpoint;
        let others = self.view.working().filter(|record| record.endpoint != me && may(record));
        let others: Vec<_> = others.map(|record| record.endpoint).collect();
        others.sample(&mut self.rng, count).copied().collect()
    }

    /// Makes the datagrams that tell a member records, one at the least.
    pub(super) fn tell(&self, to: Endpoint, records: &[Record], digest: Digest) -> Vec<Outgoing> {
        let rumours = |records: &[Record]| records.iter().cloned().map(Rumour::Member).collect();
        if records.is_empty() {
            return vec![self.datagram(to, Kind::Tell, digest, Vec::new())];
        }
        let told = records.chunks(PER_DATAGRAM);
        told.map(|records| self.datagram(to, Kind::Tell, digest, rumours(records))).collect()
    }

    /// Makes a datagram that carries news on its back.
    pub(super) fn probe_datagram(&mut self, to: Endpoint, kind: Kind, digest: Digest) -> Outgoing {
        let far = self.view.get(to).is_some_and(|known| known.zone != self.me.zone);
        let rumours = self.rumours.take(self.view.len(), far);
        self.datagram(to, kind, digest, rumours)
    }

    pub(super) fn datagram(
        &self,
        to: Endpoint,
        kind: Kind,
        digest: Digest,
        mut rumours: Vec<Rumour>,
    ) -> Outgoing {
        let members = self.view.count_working() as u32;
        let digest = Digest { view: self.view.hash(), members, ..digest };
        // A member that is doubted must hear of it whenever it is spoken to, also long
        // after the rumour has died down; else it could never refute.
        if let Some(doubted) = self.view.get(to).filter(|known| known.state != State::Alive) {
            rumours.insert(0, Rumour::Member(doubted.clone()));
        }
        Outgoing { to, datagram: Datagram { kind, from: self.me.clone(), digest, rumours } }
    }
}
