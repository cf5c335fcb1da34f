//! The declaration: routes, services and request limits.
//!
//! Operators publish one versioned [`Declaration`]. It matches requests to routes by host
//! and path prefix. A route states whether its requests are idempotent and how long they
//! may take, and sends them to one service, to several services by weight, or to every
//! shard of an index; its [`Residency`] bounds the regions in which they may be processed. [`Declaration::check`] validates a declaration as a whole; it is
//! never applied in part. It does not contain the addresses of searchers, which come from
//! the registry. `docs/design/0009-platform.md` gives the rationale.

mod check;
mod declaration;
mod residency;
mod round_robin;

pub use declaration::{
    Declaration, Gather, Idempotency, Limits, Route, Service, Target, Warmup, WeightedService,
};
pub use residency::Residency;
pub use round_robin::WeightedRoundRobin;
