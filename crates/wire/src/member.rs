//! The requests between members that serve the same callers.

#![allow(missing_docs, reason = "tarpc's macro makes items that can't carry documentation")]

use std::time::Duration;

use bergamot_base::Name;
use serde::{Deserialize, Serialize};

/// A caller's request for some shards, asked on behalf of another member.
///
/// The receiver runs beside searchers of these shards: it asks each once, merges, and
/// answers in time for the sender to ask others for what is missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardQuery {
    /// The caller's identifier of the request.
    pub id: Vec<u8>,
    /// The method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The headers that go on to searchers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// The services that are the shards.
    pub shards: Vec<Name>,
    /// How many records the merged answer needs at the most.
    pub top_k: u32,
    /// How many of them are likely to suffice, and are sent at first.
    pub enough: u32,
    /// Within which time the answer must be on its way.
    pub answer_within: Duration,
    /// How long the caller still waits.
    pub deadline: Duration,
}

/// What became of one shard of a [`ShardQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shard {
    /// It is in, with the searcher's signature.
    In(Vec<u8>),
    /// It is not, and this incarnation was asked and is silent.
    Silent(Name),
    /// It is not, since this incarnation failed or refused the request.
    Failed(Name),
    /// It is not, and nobody was asked.
    NotAsked,
}

/// A silence of a searcher that a member expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quiet {
    /// The position of the searcher's shard in the question.
    pub index: u32,
    /// The hash of the searcher's incarnation, cut to 32 bits.
    pub searcher: u32,
    /// In how many milliseconds it begins; zero if it has begun.
    pub begins_ms: u32,
    /// In how many milliseconds it ends.
    pub ends_ms: u32,
}

/// The merged answer of some shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReply {
    /// What became of each shard, in the order of the question.
    pub shards: Vec<Shard>,
    /// The greatest records of the shards that are in.
    pub records: Vec<u8>,
    /// Names the records that were left out, for [`Member::records`]; zero if there are none.
    pub left_out: u64,
    /// Names what still runs, for [`Member::rest`]; zero if nothing does.
    pub rest: u64,
    /// The silences that are expected soon of searchers beside the member.
    pub quiet: Vec<Quiet>,
}

/// A shard that came in after the [`ShardReply`] was on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// The position of the shard in the question.
    pub index: u32,
    /// The searcher's signature, unless the attempt failed.
    pub signature: Option<Vec<u8>>,
    /// The records of this shard alone, since another searcher may have brought them.
    pub records: Vec<u8>,
}

/// One record of the platform's store, as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: Name,
    /// The value; empty where the record was deleted.
    pub value: Vec<u8>,
    /// Whether the record was deleted.
    pub deleted: bool,
    /// The revision of the change.
    pub revision: u64,
}

/// What a member knows of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The items, everything or what has changed since the revision that was named.
    pub items: Vec<Item>,
    /// Whether the items are everything, since the changes are no longer kept.
    pub whole: bool,
    /// The revision up to which the items tell everything, zero if nothing is known.
    pub at: u64,
    /// How long ago that was certain.
    pub age: Duration,
}

/// What a member does for others.
#[tarpc::service]
pub trait Member {
    /// Asks searchers of some shards and merges their answers.
    async fn gather(query: ShardQuery) -> ShardReply;
    /// Waits for the next shards of an earlier question; none are left if none are returned.
    async fn rest(token: u64) -> Vec<Late>;
    /// Sends the records that an earlier answer left out; nothing if they are no longer kept.
    async fn records(token: u64) -> Option<Vec<u8>>;
    /// Waits for news of the store after a revision, for a time at most.
    async fn news(after: u64, wait: Duration) -> News;
}
