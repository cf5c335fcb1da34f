//! The entry service: the HTTP interface for callers, query planning and merging, and writes.
//!
//! An entry tells callers which addresses to use. It admits or refuses each request
//! immediately, pins a snapshot, sends each cell's part of a query to a home of that cell,
//! merges the replies and reports what the answer covers. Writes are executed by the entry
//! run that their key names. See `docs/design/0001-two-tiers.md`.

mod admission;
mod http;
mod metrics;
mod plan;
mod request;
mod response;
mod response_tracker;
mod search;
mod service;
mod write;

pub use response::{ErrorBody, ErrorDetails, QueryAnswer, ServiceAnswer, WriteAnswer};
pub use service::{Entry, EntryHandle};
