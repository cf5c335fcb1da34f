//! Decisions about the handling of one request: which searcher to query, when to hedge or retry,
//! and when to answer.
//!
//! This crate is free of I/O: times and events are passed in and decisions are returned, so that
//! tests need no sockets. [`Outlook`] estimates the latency of a searcher, and [`rank`] orders the
//! searchers. [`Allowance`] bounds the additional attempts of the whole fleet without messages
//! between its members. [`Crossings`] tracks the round-trip times to other zones, and [`Arrivals`]
//! estimates how much of a caller's latency is spent elsewhere. [`Patience`] computes the timeouts
//! of a request, and [`Ending`] determines what may follow the end of an exchange. [`admit`]
//! decides whether a gathered request is admitted, and [`comeback`] when a refused caller should
//! retry. [`Tally`] decides when a gathered answer is sent, and [`greatest`] merges its records.
//! See `docs/design/0009-platform.md`.

mod admit;
mod allowance;
mod arrivals;
mod comeback;
mod crossing;
mod ending;
mod outlook;
mod patience;
mod rank;
mod record;
mod rhythm;
mod tally;

pub use admit::admit;
pub use allowance::{Allowance, Need, Terms};
pub use arrivals::Arrivals;
pub use comeback::{Obstacle, comeback};
pub use crossing::Crossings;
pub use ending::Ending;
pub use outlook::Outlook;
pub use patience::Patience;
pub use rank::{Candidate, Distance, rank};
pub use record::{RECORD, greatest, may_lack, sufficient};
pub use rhythm::{Rhythm, Silences};
pub use tally::{Tally, Verdict};
