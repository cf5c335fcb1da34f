//! The requests between members that serve the same callers.

#![allow(missing_docs, reason = "tarpc's macro makes items that can't carry documentation")]

use std::time::Duration;

use bergamot_base::{Name, Position, Revision};
use bergamot_quarantine::Fingerprint;
use bergamot_registry::Incarnation;
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
    /// It is not, and this searcher was asked and is silent.
    Silent(Incarnation),
    /// It is not, since this searcher failed or refused the request.
    Failed(Incarnation),
    /// It is not, since this searcher has ended while it had the request.
    Ended(Incarnation),
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
    /// Whether the searcher has ended while it had the request.
    pub ended: bool,
}

/// A value cut into chunks by its content, so that two versions of it share most of them.
///
/// Only this travels with news; the chunks are asked for one after another
/// ([`Member::chunks`]). See `docs/design/0010-large-records.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The hash of the whole value.
    pub hash: u64,
    /// The hashes of its chunks, in order.
    pub chunks: Vec<u64>,
}

/// What a record holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The record was deleted.
    Deleted,
    /// The value itself.
    Inline(Vec<u8>),
    /// A value that is too large to travel with news.
    Chunked(Manifest),
}

/// How new a record is among those of its key.
///
/// A store that was restored from a copy has records again that were replaced: where their writer
/// numbers its versions, the version tells and not the position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The version that the writer gave the record, if it numbers them.
    pub version: Option<Revision>,
    /// Where in the store's changes the record was made.
    pub position: Position,
}

impl From<Position> for Rank {
    /// The rank of a record whose writer numbers no versions.
    fn from(position: Position) -> Self {
        Self { version: None, position }
    }
}

/// One record of the platform's store, as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: Name,
    /// What it holds.
    pub value: Value,
    /// Where in the store's changes it was made.
    pub position: Position,
    /// The version that its writer gave it, if it numbers them.
    pub version: Option<Revision>,
}

impl Item {
    /// Returns how new the item is among those of its key.
    pub fn rank(&self) -> Rank {
        Rank { version: self.version, position: self.position }
    }

    /// Returns about how many bytes the item takes in a message.
    pub fn size(&self) -> usize {
        let value = match &self.value {
            Value::Deleted => 0,
            Value::Inline(value) => value.len(),
            Value::Chunked(manifest) => size_of_val(&*manifest.chunks),
        };
        self.key.len() + value
    }
}

/// A question for news of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsQuery {
    /// The position up to which the asker knows everything, or has been told so far of a
    /// listing.
    pub after: Position,
    /// The position at which the listing began that the asker is being told, if it is.
    pub listing: Option<Position>,
    /// The last position that any of those knew who told the listing so far.
    pub known: Position,
    /// How long the answer may wait for news.
    pub wait: Duration,
}

/// What a member knows of the store: one page of it, bounded in size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The items, in the order of their positions.
    pub items: Vec<Item>,
    /// The position at which the listing began to which the items belong. What none of its
    /// pages names does not exist. Without it the items are what has changed.
    pub listing: Option<Position>,
    /// The position up to which the items tell everything, the start if nothing is known.
    pub at: Position,
    /// The position up to which the member knows everything.
    pub known: Position,
    /// Whether more is known beyond what the items tell.
    pub more: bool,
    /// The position of the last listing among the changes that are told: whoever passes such
    /// changes on tells all of them at once.
    pub listed: Position,
    /// Whether the member knows changes under positions of its own, as it does after a gap in what
    /// it was told: its listing can't be gone on with by another member, nor another's by it.
    pub own_order: bool,
    /// How long ago it was certain that nothing newer exists; none if the member has never
    /// heard of the store.
    pub age: Option<Duration>,
    /// Whether an answer of the store with newer items is coming in at the moment.
    pub arriving: bool,
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
    /// Grants that a request under which searchers ended is tried at one searcher, unless a trial
    /// of it is under way.
    async fn grant(fingerprint: Fingerprint) -> bool;
    /// Waits for news of the store.
    async fn news(query: NewsQuery) -> News;
    /// Sends the first of these chunks of large values that are held, as many as one message
    /// may hold, waiting for a time at most until any is.
    async fn chunks(hashes: Vec<u64>, wait: Duration) -> Vec<Vec<u8>>;
    /// Tells the record of one key, if there is one.
    async fn record(key: Name) -> Option<Item>;
}
