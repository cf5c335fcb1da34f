//! Follows what operators and searchers publish in a store that can only be read.
//!
//! How the store is spoken with is a [`Source`], a value that is handed in. This crate
//! decides when it is read, what a failure means, and in which order news is taken in.
//! See `docs/design/0009-platform.md`.

mod follow;
mod source;

pub use follow::{Settings, Sink, follow};
pub use source::{Listing, News, Source, Trouble, Update};
