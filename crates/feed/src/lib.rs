//! Follows what operators and searchers publish in a store that can only be read.
//!
//! Reads of the store are counted and dear, so a few members read it and the others ask
//! those. Every member keeps a [`Mirror`] of the records with the store's own positions, so
//! that any member can take over from any other without listing anew. Large values travel
//! apart from news, in [`Chunks`] down a tree of members ([`ancestors`]). How the store is
//! spoken with is a [`Source`], a value that is handed in; [`Origins`] decides whom to ask.
//! See `docs/design/0009-platform.md` and `docs/design/0010-large-records.md`.

mod awaited;
mod chunk;
mod clock;
mod deliver;
mod fetch;
mod follow;
mod members;
mod mirror;
mod origin;
mod shared;
mod sink;
mod source;
mod tree;

pub use chunk::Chunks;
pub use follow::{Settings, follow};
pub use members::{Asking, Fetching, Members, Question, Roster};
pub use mirror::{Change, Mirror};
pub use origin::{Duty, Failure, Origin, Origins};
pub use shared::Shared;
pub use sink::{Asked, Sink, Subject};
pub use source::{
    Found, Lookup, News, Outcome, Reading, Record, Records, Scope, Source, Trouble, Wait,
};
pub use tree::{CHILDREN, ancestors};
