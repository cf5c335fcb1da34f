//! Concurrency limits per workspace, with admission classes and retry delays.
//!
//! An entry runs a bounded number of concurrent requests for each workspace. Interactive requests
//! are admitted up to the limit; bulk requests may use idle slots, except for those that are
//! reserved for interactive requests. A request that isn't admitted is refused immediately, never
//! queued, with the delay after which a slot is likely to be free. See
//! `docs/design/0006-admission.md`.

mod controller;
mod coordinator;
mod limiter;
mod pool;

pub use controller::{Changes, Decision, Demand, Grant, Outcome, Shortage};
pub use coordinator::Coordinator;
pub use limiter::{Class, ConcurrencyLimiter, Refusal};
pub use pool::{Pool, rank_coordinators};
