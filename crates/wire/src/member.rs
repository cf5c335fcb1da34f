//! RPC requests between members that serve the same callers.

#![allow(missing_docs, reason = "tarpc's macro makes items that can't carry documentation")]

use std::time::Duration;

use bergamot_base::{Name, Position, Revision};
use bergamot_quarantine::Fingerprint;
use bergamot_registry::Incarnation;
use serde::{Deserialize, Serialize};

/// The version of the RPCs of [`Member`], which members announce.
///
/// RPCs are encoded by their order, so new ones are appended, and are sent only to members that
/// announce a version that serves them. [`Capability`](crate::Capability) says what follows from a
/// version.
pub const MEMBER_PROTOCOL: u32 = 3;

/// A caller's request to some shards, delegated to another member.
///
/// The receiver is in the same region as searchers of these shards. It queries each shard once,
/// merges the answers, and replies early enough for the sender to query others for missing shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardQuery {
    /// The caller's identifier of the request.
    pub id: Vec<u8>,
    /// The method.
    pub method: String,
    /// The path and query string.
    pub uri: String,
    /// The headers to forward to searchers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// The services that serve as the shards.
    pub shards: Vec<Name>,
    /// The maximum number of records that the merged answer needs.
    pub top_k: u32,
    /// The number of records that are likely to suffice, and are sent in the first reply.
    pub enough: u32,
    /// The time within which the reply must be sent.
    pub answer_within: Duration,
    /// The time remaining until the caller's deadline.
    pub deadline: Duration,
}

/// The outcome of one shard of a [`ShardQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardOutcome {
    /// The shard answered, with this signature of the searcher.
    In(Vec<u8>),
    /// The shard is missing; this searcher was queried and has not answered yet. In a reply without
    /// [`ShardReply::rest`] it has rejected the request, which no shard of the query has accepted.
    Silent(Incarnation),
    /// The shard is missing because this searcher failed or refused the request.
    Failed(Incarnation),
    /// The shard is missing because this searcher's process ended while it was running the request.
    Ended(Incarnation),
    /// The shard is missing; no searcher was queried.
    NotAsked,
}

/// A predicted period in which a searcher does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuietPeriod {
    /// The index of the searcher's shard in the query.
    pub index: u32,
    /// The hash of the searcher's incarnation, truncated to 32 bits.
    pub searcher: u32,
    /// The time until the period begins, in milliseconds; zero if it has begun.
    pub begins_ms: u32,
    /// The time until the period ends, in milliseconds.
    pub ends_ms: u32,
}

/// The merged answers of some shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReply {
    /// The outcome of each shard, in the order of the query.
    pub shards: Vec<ShardOutcome>,
    /// The top-ranked records of the shards that answered.
    pub records: Vec<u8>,
    /// The token of the records that were omitted, for [`Member::records`]; zero if there are none.
    pub left_out: u64,
    /// The token of the attempts still in progress, for [`Member::rest`]; zero if there are none.
    pub rest: u64,
    /// The periods soon to come in which searchers in the member's region will not answer.
    pub quiet: Vec<QuietPeriod>,
}

/// The latency of a searcher that is slow, or was reported as slow a few seconds ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedDelay {
    /// The index of the searcher's shard in the query.
    pub index: u32,
    /// The hash of the searcher's incarnation, truncated to 32 bits.
    pub searcher: u32,
    /// The latency measured by the member that replies, in milliseconds.
    pub delay_ms: u16,
}

/// A [`ShardReply`] with the latencies of slow searchers near the member that replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportingReply {
    /// The reply.
    pub reply: ShardReply,
    /// The latencies; empty while there are enough searchers.
    pub delays: Vec<ReportedDelay>,
    /// The number of shards whose searcher had all its slots in use by requests of the replying
    /// member when it was asked.
    pub busy: u32,
}

impl From<ShardReply> for ReportingReply {
    /// Returns a reply that reports nothing.
    fn from(reply: ShardReply) -> Self {
        Self { reply, delays: Vec::new(), busy: 0 }
    }
}

/// The answer of a shard that arrived after the [`ShardReply`] was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// The index of the shard in the query.
    pub index: u32,
    /// The searcher's signature; `None` if the attempt failed.
    pub signature: Option<Vec<u8>>,
    /// The records of this shard. They are not merged with those of others, since another searcher
    /// may have returned the same shard.
    pub records: Vec<u8>,
    /// Whether the searcher's process ended while it was running the request.
    pub ended: bool,
}

/// A request for admission to a pool of searchers, sent to the member that coordinates the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The identifier of the pool.
    pub pool: u64,
    /// The priority of the route, where zero is the most urgent.
    pub priority: u32,
    /// The availability zone of the member that received the request.
    pub origin: Name,
    /// The time remaining until the target latency.
    pub target: Duration,
    /// The time remaining until the caller's deadline.
    pub deadline: Duration,
    /// The region's share of the slots of the searchers that bind the request.
    pub slots: u32,
}

/// A coordinator's decision on an [`AdmissionRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The request may run, under this grant.
    Granted(u64),
    /// The request waits under this grant; [`Member::await_grant`] returns the decision.
    Queued(u64),
    /// The request must not run.
    Refused {
        /// How long the request would have taken.
        expected: Duration,
        /// When the caller may retry.
        retry_after: Duration,
        /// The number of requests that were ahead of it.
        ahead: u32,
        /// The number of requests that may run at once.
        limit: u32,
    },
}

/// The chunk hashes of a value that is split by content-defined chunking, so that two versions of
/// the value share most chunks.
///
/// The store's changes carry only the manifest; the chunks are requested one after another
/// ([`Member::chunks`]). See `docs/design/0010-large-records.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The hash of the complete value.
    pub hash: u64,
    /// The hashes of its chunks, in order.
    pub chunks: Vec<u64>,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The record was deleted.
    Deleted,
    /// The complete value.
    Inline(Vec<u8>),
    /// The manifest of a value that is too large to be sent inline.
    Chunked(Manifest),
}

/// The order of the records of one key; the newest is the greatest.
///
/// A store that was restored from a copy contains old records again, at new positions. If the
/// writer numbers its versions, the version therefore takes precedence over the position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The writer's version number, if it numbers its versions.
    pub version: Option<Revision>,
    /// The record's position in the store's change log.
    pub position: Position,
}

impl From<Position> for Rank {
    /// Returns the rank of a record whose writer does not number versions.
    fn from(position: Position) -> Self {
        Self { version: None, position }
    }
}

/// A record read from the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: Name,
    /// The content.
    pub value: Value,
    /// The record's position in the store's change log.
    pub position: Position,
    /// The writer's version number, if it numbers its versions.
    pub version: Option<Revision>,
}

impl Item {
    /// Returns the item's rank among the records of its key.
    pub fn rank(&self) -> Rank {
        Rank { version: self.version, position: self.position }
    }

    /// Returns the approximate size of the item in a message, in bytes.
    pub fn size(&self) -> usize {
        let value = match &self.value {
            Value::Deleted => 0,
            Value::Inline(value) => value.len(),
            Value::Chunked(manifest) => size_of_val(&*manifest.chunks),
        };
        self.key.len() + value
    }
}

/// A query for changes of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsQuery {
    /// The position up to which the client has all changes, or has received the listing in
    /// progress.
    pub after: Position,
    /// The position at which the listing in progress began, if there is one.
    pub listing: Option<Position>,
    /// The highest [`News::known`] of the members that have sent the listing so far.
    pub known: Position,
    /// How long the member may wait for changes before it answers.
    pub wait: Duration,
}

/// One page of the store's state as known to a member, limited in size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The items, in the order of their positions.
    pub items: Vec<Item>,
    /// The position at which the listing began, if the items belong to one. A key that is on none
    /// of its pages does not exist. If `None`, the items are changes.
    pub listing: Option<Position>,
    /// The position up to which the items are complete; the start if nothing is known.
    pub at: Position,
    /// The position up to which the member has all changes.
    pub known: Position,
    /// Whether the member has more than these items.
    pub more: bool,
    /// The position of the last listing among the changes that are sent. Whoever forwards such
    /// changes must forward all of them at once.
    pub listed: Position,
    /// Whether the member assigned positions of its own to changes, as it does after a gap in what
    /// it received. Another member then cannot continue its listing, nor can it continue another's.
    pub own_order: bool,
    /// The time since the member was known to be up to date; `None` if it has never received
    /// anything from the store.
    pub age: Option<Duration>,
    /// Whether the member is currently receiving newer items from the store.
    pub arriving: bool,
}

/// How a granted request reached its required coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The time since the grant.
    pub took: Duration,
    /// Whether, at more searchers than its coverage can do without, the requests of the member that
    /// asked them already used all slots.
    pub is_congested: bool,
}

/// The service that members provide for each other.
#[tarpc::service]
pub trait Member {
    /// Queries searchers of some shards and merges their answers.
    async fn gather(query: ShardQuery) -> ShardReply;
    /// Waits for further shards of an earlier query; an empty answer means that none remain.
    async fn rest(token: u64) -> Vec<Late>;
    /// Returns the records that an earlier reply omitted; `None` if they are no longer stored.
    async fn records(token: u64) -> Option<Vec<u8>>;
    /// Grants a trial of a suspect request at one searcher, unless a trial of it is in progress.
    async fn grant(fingerprint: Fingerprint) -> bool;
    /// Waits for changes of the store.
    async fn news(query: NewsQuery) -> News;
    /// Returns the first of these chunks that are stored here, as many as one message may hold;
    /// waits at most `wait` until there is one.
    async fn chunks(hashes: Vec<u64>, wait: Duration) -> Vec<Vec<u8>>;
    /// Returns the record of a key, if there is one.
    async fn record(key: Name) -> Option<Item>;
    /// Like [`Member::gather`], for a request that may be processed only in these regions. Served
    /// from version 1 of the RPCs on.
    async fn gather_within(query: ShardQuery, regions: Vec<Name>) -> ShardReply;
    /// Issues permits to send one request to each of these cold searchers, as far as there are any
    /// left, or none if `needed` of them cannot be had. Served from version 1 of the RPCs on.
    async fn permits(searchers: Vec<Incarnation>, needed: u32) -> Vec<bool>;
    /// Decides whether a request may run on a pool of searchers that this member coordinates.
    /// Served from version 2 of the RPCs on.
    async fn admit(request: AdmissionRequest) -> Admission;
    /// Waits until a queued request is granted or refused; `None` if the grant is unknown, as it is
    /// after a restart. Served from version 2 of the RPCs on.
    async fn await_grant(grant: u64) -> Option<Admission>;
    /// Ends a grant: the required coverage was reached this long after it, or there was no answer.
    /// Served from version 2 of the RPCs on.
    async fn complete(grant: u64, covered: Option<Coverage>);
    /// Like [`Member::gather`], with a report on slow searchers, for a request that may be processed
    /// only in these regions, or in all if there are none. Served from version 2 of the RPCs on.
    async fn gather_reporting(query: ShardQuery, regions: Vec<Name>) -> ReportingReply;
    /// Like [`Member::gather_reporting`], by a member that guarantees
    /// [`Capability::Parts`](crate::Capability::Parts). Members of earlier versions replied to the
    /// other RPCs with failures as parts, and can't reply to this one. Served from version 3 of the
    /// RPCs on.
    async fn gather_parts(query: ShardQuery, regions: Vec<Name>) -> ReportingReply;
}
