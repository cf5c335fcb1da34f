//! Follows what operators and searchers publish in a store that can only be read.
//!
//! Reads of the store are counted and dear, so a few members read it and the others ask
//! those. Every member keeps a [`Mirror`] of the records with the store's own revisions, so
//! that any member can take over from any other without listing anew. How the store is
//! spoken with is a [`Source`], a value that is handed in; [`Origins`] decides whom to ask.
//! See `docs/design/0009-platform.md`.

mod follow;
mod mirror;
mod origin;
mod source;

pub use follow::{Asked, Asking, Members, Settings, Shared, Sink, follow};
pub use mirror::{Change, Mirror};
pub use origin::{Duty, Failure, Origin, Origins};
pub use source::{News, Outcome, Reading, Records, Source, Trouble};
