//! The gather service: runs the sub-queries and writes of the cells that it is a home of.
//!
//! A gather has a share of the connections to the searchers of its cells. Entries send
//! it the part of a query that concerns one cell. It queries the replicas of each shard,
//! with hedges and retries limited by budgets, and returns the results that arrive in
//! time. Invariant: a reply contains only results for the requested pin, and it is sent
//! before the deadline. See `docs/design/0005-tails-and-scarcity.md`.

mod assignment;
mod maintenance;
mod metrics;
mod quarantine;
mod service;
mod service_state;
mod shard;

pub use service::{Gather, GatherHandle};
