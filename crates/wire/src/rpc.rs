//! The requests between daemons.
//!
//! Invariant: every request carries the revision under which it was planned, and a
//! daemon that has another one in force refuses it with its own revision. Entities in
//! a message are therefore always read against the document they were made from.

#![allow(missing_docs, reason = "tarpc's macro makes items that can't carry documentation")]

use bergamot_base::{Deadline, Name, Revision, Service, Shard, Version};
use bergamot_query::{Partial, Pin, Reason, Shape};
use bergamot_write::{Key, Outcome};
use serde::{Deserialize, Serialize};

/// The part of a query that one cell answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// The name of the caller's request.
    pub id: Name,
    /// The service.
    pub service: Service,
    /// The snapshot to read.
    pub pin: Pin,
    /// The shards to ask, all of one cell.
    pub shards: Vec<Shard>,
    /// What is asked.
    pub shape: Shape,
}

/// What a cell found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The answers.
    pub partials: Vec<Partial>,
    /// The shards without an answer.
    pub missing: Vec<(Shard, Reason)>,
    /// How many sub-queries were sent to searchers.
    pub attempts: u32,
    /// The versions that each shard asked can serve.
    pub versions: Vec<(Shard, Vec<Version>)>,
}

/// Why a daemon did not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another revision is in force here.
    Revision(Revision),
    /// This daemon does not home the shards' cell.
    NotHome,
    /// This daemon slept and has not caught up yet.
    Asleep,
}

/// A write on its way to the home of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOrder {
    /// The revision under which the write was planned.
    pub revision: Revision,
    /// The shard that holds the record.
    pub shard: Shard,
    /// The key.
    pub key: Key,
    /// The record to which the entry is added.
    pub record: Name,
    /// The entry.
    pub body: Name,
}

/// What a gather does for entries.
#[tarpc::service]
pub trait Gather {
    /// Runs the part of a query that this gather's cell answers.
    async fn search(query: SubQuery) -> Result<Reply, Refusal>;
    /// Sends a write to its searcher, once. Nothing ran where it is refused.
    async fn write(order: WriteOrder) -> Result<Outcome, Refusal>;
    /// Tells which versions the shards of a service can serve.
    async fn versions(
        revision: Revision,
        service: Service,
    ) -> Result<Vec<(Shard, Vec<Version>)>, Refusal>;
}

/// What an entry does for other entries.
#[tarpc::service]
pub trait Entry {
    /// Executes a write whose key names the receiver's run.
    async fn execute(workspace: Name, service: Name, key: Key, record: Name, body: Name)
    -> Outcome;
}

/// Makes the context of a request that must be answered by a deadline.
pub fn context(deadline: Deadline) -> tarpc::context::Context {
    let mut context = tarpc::context::Context::current();
    context.deadline = deadline.instant();
    context
}
