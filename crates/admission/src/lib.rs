//! Admission of requests: concurrency limits per workspace, and queues per pool of searchers.
//!
//! An entry runs a bounded number of concurrent requests for each workspace. Interactive requests
//! are admitted up to the limit; bulk requests may use idle slots, except for those that are
//! reserved for interactive requests. A request that isn't admitted is refused immediately, never
//! queued, with the delay after which a slot is likely to be free. See
//! `docs/design/0006-admission.md`.
//!
//! While searchers are scarce, the coordinator of a pool of searchers grants the requests of its
//! region, the most urgent first, and refuses those that can't finish within their target latency.
//! See `docs/design/0019-admission-under-scarcity.md`.

mod bookings;
mod candidates;
mod congestion;
mod controller;
mod coordinator;
mod decision;
mod holding_time;
mod limit;
mod limiter;
mod pool;
mod queue;
mod running;
mod signs;
mod status;

pub use candidates::{Candidates, answer_timeout};
pub use coordinator::Coordinator;
pub use decision::{Changes, Coverage, Decision, Demand, Grant, Outcome, Shortage};
pub use limiter::{Class, ConcurrencyLimiter, Refusal};
pub use pool::{Pool, rank_coordinators};
pub use signs::Signs;
pub use status::{Counts, Status};
