//! Admission classes and refusals that say when to come back.
//!
//! An entry runs a bounded number of requests for each workspace. Interactive
//! work is admitted up to the whole bound; bulk work may use what interactive work
//! leaves idle, up to the bound less a protected floor. A request that isn't
//! admitted is refused at once, never held back, with the time after which a slot
//! is likely to be free. See `docs/design/0006-admission.md`.

mod gate;

pub use gate::{Class, Gate, Refusal};
