//! The searchers' HTTP protocol, as the platform publishes it.
//!
//! `POST /search` and `POST /write` carry JSON. Deadlines travel as the time left,
//! cancellation as `DELETE /requests/ID`. Every answer names the run of the
//! searcher, the versions it holds, and whether it is leaving.

use bergamot_base::{Epoch, Name, Version};
use bergamot_query::{Hit, Shape};
use serde::{Deserialize, Serialize};

/// The path of sub-queries.
pub const SEARCH: &str = "/search";
/// The path of writes.
pub const WRITE: &str = "/write";
/// The path of the status.
pub const STATUS: &str = "/status";
/// The prefix of the paths that cancel a request.
pub const REQUESTS: &str = "/requests/";

/// The header with the time left, in microseconds.
pub const DEADLINE: &str = "x-deadline-us";
/// The header that names the request, for cancellation.
pub const REQUEST: &str = "x-request-id";
/// The header with the idempotency key of a write.
pub const KEY: &str = "idempotency-key";
/// The header of an answer that names the run of the searcher.
pub const RUN: &str = "x-run";
/// The header of an answer that lists the versions held, separated by commas.
pub const VERSIONS: &str = "x-versions";
/// The header of an answer that is present when the searcher is leaving.
pub const LEAVING: &str = "x-leaving";
/// The header of a refusal that says after how many milliseconds to come back.
pub const RETRY_AFTER: &str = "x-retry-after-ms";
/// The header of a refused write that says that it had no effect.
pub const NOT_RUN: &str = "x-not-run";

/// A sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// The position of the shard in the partition map.
    pub shard: usize,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The version to read.
    pub version: Version,
    /// What is asked.
    pub query: Shape,
}

/// The answer to a sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// The position of the shard in the partition map.
    pub shard: usize,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The version that was read.
    pub version: Version,
    /// How many documents the shard holds at that version.
    pub documents: u64,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// A non-idempotent write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The record to which the entry is added.
    pub record: Name,
    /// The entry.
    pub body: Name,
}

/// The answer to a write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The number of the entry in the searcher's ledger.
    pub receipt: Name,
}
