//! The parts of an answer that are in, and their merge.
//!
//! A member's merged answer may hold only its greatest records; the others wait there. They
//! are fetched if they may be among the greatest of all. Invariant: a part whose records can't
//! be had whole is not counted, so that an answer holds the greatest records of exactly the
//! parts that it names.

use std::net::Ipv4Addr;
use std::time::Instant;

use bergamot_dispatch::{may_be_incomplete, merge_top_k};
use bytes::Bytes;
use hyper::header::HeaderValue;

use crate::message::Job;
use crate::relay::Relay;

/// The merged answer of a member.
#[derive(Debug)]
pub(crate) struct Merged {
    /// The member.
    pub(crate) ip: Ipv4Addr,
    /// The signatures of the shards that it holds.
    pub(crate) signatures: Vec<HeaderValue>,
    /// The greatest records of these shards.
    pub(crate) records: Bytes,
    /// Names the records that were left out at the member, zero for none.
    pub(crate) left_out: u64,
}

impl Merged {
    /// Tells whether records that are not here may be among the greatest of all.
    fn lacks(&self, greatest: &[u8], top_k: usize) -> bool {
        self.left_out != 0 && may_be_incomplete(&self.records, greatest, top_k)
    }
}

/// The parts that are in.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    signatures: Vec<HeaderValue>,
    records: Vec<Bytes>,
    merged: Vec<Merged>,
}

impl Parts {
    /// Adds a searcher's part.
    pub(crate) fn add(&mut self, signature: HeaderValue, records: Bytes) {
        self.signatures.push(signature);
        self.records.push(records);
    }

    /// Adds what a member has merged.
    pub(crate) fn add_merged(&mut self, merged: Merged) {
        self.merged.push(merged);
    }

    /// Merges what is in. Shards whose records a member can't send any more are lost.
    pub(crate) async fn merge(
        &mut self,
        relay: &Relay,
        job: &Job,
        top_k: usize,
        end: Instant,
    ) -> Vec<u8> {
        loop {
            let merged = self.merged.iter().map(|merged| &merged.records);
            let parts: Vec<Bytes> = self.records.iter().chain(merged).cloned().collect();
            let records = merge_top_k(&parts, top_k);
            let lacking = self.merged.iter().position(|merged| merged.lacks(&records, top_k));
            let Some(lacking) = lacking else { return records };
            let merged = self.merged.swap_remove(lacking);
            self.merged.extend(complete(relay, job, merged, end).await);
        }
    }

    /// Returns the signatures of all shards that are in.
    pub(crate) fn into_signatures(self) -> Vec<HeaderValue> {
        let merged = self.merged.into_iter().flat_map(|merged| merged.signatures);
        self.signatures.into_iter().chain(merged).collect()
    }
}

/// Fetches the records that a member left out; without them its shards are lost.
async fn complete(relay: &Relay, job: &Job, mut merged: Merged, end: Instant) -> Option<Merged> {
    relay.note_lacking();
    let policy = relay.settings.policy.delegate;
    let until = (Instant::now() + policy.region + policy.late).min(end);
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
