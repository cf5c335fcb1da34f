//! Structured log lines that never hold up a request.
//!
//! Lines are formatted where they arise and put into a bounded queue; one thread writes them
//! out ([`start`]). What does not fit is dropped and counted, and the count is written with
//! the next lines. Ordinary successes go through a [`Sampler`], which lets a settled rate of
//! them through and says how many it left out; many changes at once are gathered ([`Changes`]). See `docs/OPERATIONS.md`.

mod changes;
mod queue;
mod sampler;

pub use changes::Changes;
pub use queue::{Queue, start};
pub use sampler::Sampler;
