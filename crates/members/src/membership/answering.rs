//! The answers that datagrams of other members require: acknowledgements, and the records that the
//! other member lacks or asks for.

use super::{Membership, Outgoing};
use crate::message::{Datagram, Digest, Kind};
use crate::sync;

impl Membership {
    /// Returns the answers that a datagram requires.
    pub(super) fn answer(&mut self, datagram: &Datagram, digest: Digest) -> Vec<Outgoing> {
        let from = datagram.from.endpoint;
        match &datagram.kind {
            Kind::Ping(number) => vec![self.probe_datagram(from, Kind::Ack(*number), digest)],
            Kind::Ack(number) => {
                let relayed = self.prober.handle_ack(*number);
                let forward =
                    |(origin, number)| self.probe_datagram(origin, Kind::Ack(number), digest);
                relayed.map(forward).into_iter().collect()
            }
            Kind::PingRequest(number, target) => {
                let sequence = self.prober.relay_ping(from, *number);
                vec![self.probe_datagram(*target, Kind::Ping(sequence), digest)]
            }
            Kind::Gossip | Kind::Records => Vec::new(),
            Kind::Join => {
                let sample = sync::sample_for_join(&self.view, &datagram.from, &mut self.rng);
                self.record_datagrams(from, &sample, digest)
            }
            Kind::Compare(summary) => {
                match sync::differing_hashes(&self.view, summary, &mut self.rng) {
                    Some(hashes) => {
                        vec![self.datagram(from, Kind::Differences(hashes), digest, Vec::new())]
                    }
                    None => self.record_datagrams(from, &[], digest),
                }
            }
            Kind::Differences(hashes) => {
                let (missing, wanted) = sync::missing_records(&self.view, hashes, &mut self.rng);
                let mut out = Vec::new();
                if !missing.is_empty() {
                    out = self.record_datagrams(from, &missing, digest);
                }
                if !wanted.hashes.is_empty() {
                    out.push(self.datagram(from, Kind::RecordRequest(wanted), digest, Vec::new()));
                }
                out
            }
            Kind::RecordRequest(hashes) => {
                let requested = sync::requested_records(&self.view, hashes, &mut self.rng);
                self.record_datagrams(from, &requested, digest)
            }
        }
    }
}
