//! Decisions about the shards of one gathered request.
//!
//! The shards of a request are asked directly, or in groups through other members: [`divide`]
//! decides by whom, and [`Schedule`] when such a member must reply and when others are asked
//! instead, given the [`Lateness`] of earlier replies. Several attempts and queries may be able to
//! deliver the same shard: [`Progress`] tracks them, and [`Query`] what the end of a query to a
//! member implies for its shards. [`fund_attempts`] decides for a whole group which shards get an
//! additional attempt.
//!
//! This crate is free of I/O: shards are indices, times and events are passed in, and decisions are
//! returned. Invariants: a shard is counted once, whichever attempt delivers it; it is missing only
//! when nothing that was sent can deliver it any more. See
//! `docs/design/0018-the-whole-fleet.md`.

mod fanout;
mod funding;
mod lateness;
mod progress;
mod query;
mod schedule;

pub use fanout::{Worker, capacity, divide};
pub use funding::fund_attempts;
pub use lateness::Lateness;
pub use progress::Progress;
pub use query::{Next, Outcome, Query, Steps};
pub use schedule::{ReplyDelay, Schedule};
