//! Shapes, snapshot pins, merge and coverage of queries.
//!
//! A query pins one snapshot of a service's index when it is planned
//! ([`Pin`]). [`Merge`] accepts a shard's answer only for that pin, counts each
//! shard once, and [`Coverage`] states what the answer covers. The decisions are
//! pure; sockets belong to the services. See `docs/design/0003-snapshot-and-coverage.md`.

mod coverage;
mod merge;
mod pin;
mod shape;

pub use coverage::{Coverage, Missing, Reason};
pub use merge::{Merge, Outcome, Partial, Rejection};
pub use pin::{Catalog, Pin};
pub use shape::{Hit, Shape};
