//! Structured logging that never blocks a request.
//!
//! Log lines are formatted by the logging thread and put into a bounded queue, which a single
//! writer thread empties ([`start`]). Lines that do not fit are dropped, and their count is
//! logged with the next lines. [`Sampler`] limits the rate of routine events and counts the
//! suppressed ones. [`ChangeAggregator`] aggregates bursts of changes into a few lines. See
//! `docs/OPERATIONS.md`.

mod changes;
mod queue;
mod sampler;

pub use changes::ChangeAggregator;
pub use queue::{Queue, start};
pub use sampler::Sampler;
