//! The entry service: callers' HTTP, plans, merges and answers.
//!
//! An entry tells callers which addresses to use, admits or refuses their requests at
//! once, pins a snapshot, sends each cell's part to a home of that cell, merges what
//! comes back and states truly what the answer covers. Writes go through the run that
//! their key names. See `docs/design/0001-two-tiers.md`.

mod answer;
mod door;
mod http;
mod meter;
mod mute;
mod plan;
mod read;
mod search;
mod service;
mod write;

pub use answer::{Answer, ErrorBody, Fault, ServiceAnswer, WriteAnswer};
pub use service::{Entry, Running};
