//! The parts of a response received so far, and their merge.
//!
//! A member's merged reply may hold only its greatest records; the member retains the others, which
//! are fetched if they could be among the overall greatest. Invariant: a part is counted only if
//! all its relevant records are available, so that a response holds the greatest records of exactly
//! the parts it names.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Instant;

use bergamot_declaration::Gather;
use bergamot_dispatch::{may_be_incomplete, merge_top_k};
use bytes::Bytes;
use hyper::header::HeaderValue;

use crate::message::Job;
use crate::race::RacePlan;
use crate::relay::Relay;

/// The merged reply of a member.
#[derive(Debug)]
pub(crate) struct MemberPart {
    /// The address of the member.
    pub(crate) ip: Ipv4Addr,
    /// The included shards.
    pub(crate) shards: Vec<usize>,
    /// Their signatures.
    pub(crate) signatures: Vec<HeaderValue>,
    /// The greatest records of these shards.
    pub(crate) records: Bytes,
    /// The token of the records that the member left out, zero if none.
    pub(crate) left_out: u64,
}

impl MemberPart {
    /// Returns whether records left out could be among the overall greatest.
    fn may_lack_records(&self, greatest: &[u8], top_k: usize) -> bool {
        self.left_out != 0 && may_be_incomplete(&self.records, greatest, top_k)
    }
}

/// The parts received so far.
#[derive(Debug, Default)]
pub(crate) struct PartialResults {
    /// The signature and records of each shard that one searcher has delivered.
    single: BTreeMap<usize, (HeaderValue, Bytes)>,
    merged: Vec<MemberPart>,
}

impl PartialResults {
    /// Adds the part of one searcher.
    pub(crate) fn add(&mut self, shard: usize, signature: HeaderValue, records: Bytes) {
        self.single.insert(shard, (signature, records));
    }

    /// Adds the merged reply of a member, which replaces the parts of its shards.
    pub(crate) fn add_merged(&mut self, merged: MemberPart) {
        for shard in &merged.shards {
            self.single.remove(shard);
        }
        self.merged.push(merged);
    }

    /// Merges the received parts. The shards of a member that can't deliver records still needed
    /// are dropped.
    pub(crate) async fn merge(
        &mut self,
        relay: &Relay,
        job: &Job,
        gather: &Gather,
        plan: &RacePlan,
    ) -> Vec<u8> {
        let top_k = gather.top_k;
        loop {
            let merged = self.merged.iter().map(|merged| &merged.records);
            let single = self.single.values().map(|(_, records)| records);
            let parts: Vec<Bytes> = single.chain(merged).cloned().collect();
            let records = merge_top_k(&parts, top_k);
            let lacking =
                self.merged.iter().position(|merged| merged.may_lack_records(&records, top_k));
            let Some(lacking) = lacking else { return records };
            let merged = self.merged.swap_remove(lacking);
            let others = job.tally().arrived() - merged.shards.len();
            let until = if others < gather.min_shards() {
                plan.deadline
            } else {
                // The answer can do without these shards, so it is not delayed for long.
                plan.target.max(Instant::now() + relay.max_member_delay() * 2).min(plan.deadline)
            };
            self.merged.extend(fetch_left_out(relay, job, merged, until).await);
        }
    }

    /// Returns the signatures of all included shards.
    pub(crate) fn into_signatures(self) -> Vec<HeaderValue> {
        let merged = self.merged.into_iter().flat_map(|merged| merged.signatures);
        let single = self.single.into_values().map(|(signature, _)| signature);
        single.chain(merged).collect()
    }
}

/// Fetches the records that a member left out; drops its shards if that fails.
async fn fetch_left_out(
    relay: &Relay,
    job: &Job,
    mut merged: MemberPart,
    until: Instant,
) -> Option<MemberPart> {
    relay.note_records_lacking();
    let fetched = (relay.helping().records)(merged.ip, merged.left_out, until).await;
    if let Ok(Some(others)) = fetched {
        merged.records = Bytes::from([&*merged.records, &*others].concat());
        merged.left_out = 0;
        return Some(merged);
    }
    let (request, ip, shards) = (&job.request.id, merged.ip, merged.signatures.len());
    log::warn!("relay: event=records_lacking request={request:?} member={ip} shards={shards}");
    job.tally().discard_arrived(shards);
    None
}
