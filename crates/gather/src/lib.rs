//! The gather service: the sub-queries and writes of the cells that it homes.
//!
//! A gather owns its share of connections to the searchers of its cells. Entries send
//! it the part of a query that falls into a cell; it runs each shard as a race between
//! replicas inside budgets and gives back what came in time. Invariant: a reply holds
//! only answers for the pin that was asked for, and it leaves before the deadline. See
//! `docs/design/0005-tails-and-scarcity.md`.

mod holding;
mod keeper;
mod meter;
mod service;
mod shard;
mod suspects;
mod tail;

pub use service::{Gather, Running};
