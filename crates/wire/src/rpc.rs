//! RPC requests between the daemons of the two tiers.
//!
//! Invariant: each request carries the revision under which it was planned, and a daemon with
//! another active revision refuses it and returns its own. Entities in a message are therefore
//! always interpreted with the document from which they were created.

#![allow(missing_docs, reason = "tarpc's macro makes items that can't carry documentation")]

use bergamot_base::{Deadline, Name, Revision, Service, Shard, Version};
use bergamot_query::{Partial, Pin, Reason, Shape};
use bergamot_write::{Key, Outcome};
use serde::{Deserialize, Serialize};

/// The part of a query that is answered by one cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// The caller's identifier of the request.
    pub id: Name,
    /// The service.
    pub service: Service,
    /// The snapshot to read.
    pub pin: Pin,
    /// The shards to query, all of one cell.
    pub shards: Vec<Shard>,
    /// The query.
    pub shape: Shape,
}

/// The answer of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The partial answers of shards.
    pub partials: Vec<Partial>,
    /// The shards without an answer, and why.
    pub missing: Vec<(Shard, Reason)>,
    /// The number of sub-queries sent to searchers.
    pub attempts: u32,
    /// The index versions that each queried shard can serve.
    pub versions: Vec<(Shard, Vec<Version>)>,
}

/// The reason why a daemon refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another revision is active on the receiver.
    Revision(Revision),
    /// The receiver is not a home of the shards' cell.
    NotHome,
    /// The receiver was suspended and has not caught up yet.
    Asleep,
}

/// A write that is forwarded to the home of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOrder {
    /// The revision under which the write was planned.
    pub revision: Revision,
    /// The shard that stores the record.
    pub shard: Shard,
    /// The key.
    pub key: Key,
    /// The record to which the entry is appended.
    pub record: Name,
    /// The entry.
    pub body: Name,
}

/// The service that gathers provide for entries.
#[tarpc::service]
pub trait Gather {
    /// Runs the part of a query that the receiver's cell answers.
    async fn search(query: SubQuery) -> Result<Reply, Refusal>;
    /// Sends a write to its searcher, at most once. A refused write was not executed.
    async fn write(order: WriteOrder) -> Result<Outcome, Refusal>;
    /// Returns the index versions that each shard of a service can serve.
    async fn versions(
        revision: Revision,
        service: Service,
    ) -> Result<Vec<(Shard, Vec<Version>)>, Refusal>;
}

/// The service that entries provide for other entries.
#[tarpc::service]
pub trait Entry {
    /// Executes a write whose key names the receiver's incarnation.
    async fn execute(workspace: Name, service: Name, key: Key, record: Name, body: Name)
    -> Outcome;
}

/// Returns the context for a request with a deadline.
pub fn context(deadline: Deadline) -> tarpc::context::Context {
    let mut context = tarpc::context::Context::current();
    context.deadline = deadline.instant();
    context
}
