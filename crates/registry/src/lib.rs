//! The registry of published searchers with their addresses and states.
//!
//! Searchers publish themselves independently of the declaration. Each has one entry, which its
//! successive incarnations write in turn. An address can be reused by another searcher, so
//! nothing here is keyed by address. See `docs/design/0009-platform.md` and
//! `docs/design/0011-incarnations.md`.

mod departed;
mod registry;
mod upstream;

pub use registry::Registry;
pub use upstream::{Incarnation, State, Upstream};
