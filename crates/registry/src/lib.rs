//! The registry: which searchers run, where, and in which state.
//!
//! Searchers publish themselves apart from the declaration, one entry a searcher, which each
//! of its incarnations takes over from the one before. An address may pass to another
//! searcher, so nothing here is keyed by address. See `docs/design/0009-platform.md` and
//! `docs/design/0011-incarnations.md`.

mod gone;
mod registry;
mod upstream;

pub use registry::Registry;
pub use upstream::{Incarnation, State, Upstream};
