//! Query shapes, snapshot pins, result merging and coverage.
//!
//! A query pins one snapshot of a service's index when it is planned
//! ([`Pin`]). [`Merge`] accepts a shard's result only if it matches that pin and
//! counts each shard at most once. [`Coverage`] reports which shards the merged
//! result includes. This crate performs no I/O. See
//! `docs/design/0003-snapshot-and-coverage.md`.

mod coverage;
mod merge;
mod pin;
mod shape;

pub use coverage::{Coverage, Missing, Reason};
pub use merge::{Merge, Outcome, Partial, Rejection};
pub use pin::{Catalog, Pin};
pub use shape::{Hit, Shape};
