//! Follows the records that operators and searchers publish in a read-only store.
//!
//! Reads of the store are metered and expensive, so a few members read it and the others query
//! those. Every member keeps a [`Mirror`] of the records at the store's own positions, so any
//! member can take over from another without a new listing. Large values are transferred separately
//! from updates, as [`Chunks`] passed down a tree of members ([`ancestors`]). The protocol of the
//! store is behind [`Source`], which the caller supplies; [`Origins`] selects whom to query. See
//! `docs/design/0009-platform.md` and `docs/design/0010-large-records.md`.

mod catch_up;
mod chunk;
mod clock;
mod deliver;
mod fetch;
mod follow;
mod members;
mod mirror;
mod origin;
mod pending;
mod sink;
mod source;
mod state;
mod tree;

pub use chunk::Chunks;
pub use follow::{Settings, follow};
pub use members::{ChunkQueryFn, Members, NewsQueryFn, QueryFuture, Topology};
pub use mirror::{Change, Mirror};
pub use origin::{Failure, Origin, Origins, ReadRole};
pub use sink::{QueryKind, QueryReport, Sink};
pub use source::{
    LookupFuture, LookupReply, QueryError, ReadFuture, ReadResult, Record, RecordEvent, Records,
    Scope, Source, WatchTimeouts,
};
pub use state::FeedState;
pub use tree::{FANOUT, ancestors};
