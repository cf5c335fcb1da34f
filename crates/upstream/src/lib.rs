//! Connection pools, request queues, replica selection, hedging and retries for searchers.
//!
//! A searcher accepts few connections and executes even fewer requests at a time; each
//! concurrent request takes one slot. A gather uses its share of the connections
//! ([`Pool`]), queues sub-queries until a slot is free ([`Slots`]), orders the replicas
//! of a shard ([`rank()`]), limits hedges and retries by budgets ([`HedgedRequest`],
//! [`bergamot_base::Budget`]), and sends no new requests to a searcher that is shutting
//! down ([`Health`]). Only [`Client`] and [`Pool`] perform I/O; the other types are
//! deterministic and take the current time as `now`. See
//! `docs/design/0005-tails-and-scarcity.md`.

mod body;
mod client;
mod client_set;
mod connection;
mod health;
mod hedged_request;
mod inspected;
mod latency;
mod lease;
mod places;
mod pool;
pub mod protocol;
mod queue;
mod rank;
mod read_turns;
mod slots;
mod trust;

pub use body::BodyError;
pub use client::{Client, RequestContext, SearcherError, WriteResult};
pub use client_set::{ClientSet, PoolTotals};
pub use connection::SendError;
pub use health::Health;
pub use hedged_request::{HedgedRequest, NextAction};
pub use latency::LatencyPercentile;
pub use lease::Lease;
pub use pool::{Observer, Pool, PoolSettings, Usage};
pub use rank::{Candidate, rank};
pub use read_turns::ReadTurns;
pub use slots::{Admission, Slots};
pub use trust::Reuse;
