//! The registry: which searchers run, where, and in which state.
//!
//! Searchers publish themselves apart from the declaration, one entry an incarnation.
//! An address may pass to another searcher, so nothing here is keyed by address. See
//! `docs/design/0009-platform.md`.

mod registry;
mod upstream;

pub use registry::Registry;
pub use upstream::{State, Upstream};
