//! The HTTP protocol of searchers, as published by the platform.
//!
//! `POST /search` and `POST /write` carry JSON. A deadline is sent as the remaining
//! time, and a request is cancelled with `DELETE /requests/ID`. Every response
//! names the request that it answers, identifies the run of the searcher, lists the index versions that it holds, and
//! tells whether it is shutting down.
//!
//! What a response says of its request follows from [`bergamot_answer::Verdict`]. A search that fails
//! with 409 asks for a version that the searcher does not hold, with 410 a searcher that is shutting
//! down; 503 means that it is at capacity, and 504 that the deadline has passed. No status says that
//! a write did not run; only [`NOT_RUN`] does.

use bergamot_base::{Epoch, Name, Version};
use bergamot_query::{Hit, Shape};
use serde::{Deserialize, Serialize};

/// Path of sub-queries.
pub const SEARCH: &str = "/search";
/// Path of writes.
pub const WRITE: &str = "/write";
/// Path of the status.
pub const STATUS: &str = "/status";
/// Path prefix for cancelling a request by its identifier.
pub const REQUESTS: &str = "/requests/";

/// Request header: remaining time until the deadline, in microseconds.
pub const DEADLINE: &str = "x-deadline-us";
/// Request and response header: identifier of the request. Every response repeats it; one that
/// does not is not an answer to the request. Also used for cancellation.
pub const REQUEST: &str = "x-request-id";
/// Request header: idempotency key of a write.
pub const KEY: &str = "idempotency-key";
/// Response header: identifier of the searcher's run, which changes with every restart.
pub const RUN: &str = "x-run";
/// Response header: comma-separated list of the index versions that the searcher holds.
pub const VERSIONS: &str = "x-versions";
/// Response header: present if the searcher is shutting down.
pub const LEAVING: &str = "x-leaving";
/// Response header of a rejected request: milliseconds after which to retry.
pub const RETRY_AFTER: &str = "x-retry-after-ms";
/// Response header of a rejected write: guarantees that the write had no effect.
pub const NOT_RUN: &str = "x-not-run";

/// A sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// Index of the shard in the partition map.
    pub shard: usize,
    /// Epoch of the partition map.
    pub epoch: Epoch,
    /// Index version to read.
    pub version: Version,
    /// The query.
    pub query: Shape,
}

/// The response to a sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchReply {
    /// Index of the shard in the partition map.
    pub shard: usize,
    /// Epoch of the partition map.
    pub epoch: Epoch,
    /// Index version that was read.
    pub version: Version,
    /// Number of documents in the shard at that version.
    pub documents: u64,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// A non-idempotent write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The record to append to.
    pub record: Name,
    /// The content to append.
    pub body: Name,
}

/// The response to a write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of the appended entry in the searcher's ledger.
    pub receipt: Name,
}
