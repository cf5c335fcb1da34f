//! Identifiers, deadlines, faults and seeded randomness shared by every duty.
//!
//! The crate holds only what several duties need and none owns. Entities are
//! typed indices into the tables of one configuration document, so that a
//! searcher can't be mistaken for a shard; see `docs/GLOSSARY.md`.

mod awake;
mod budget;
mod deadline;
mod fault;
mod hash;
mod id;
mod position;
mod pulse;
mod seed;
mod tasks;

pub use awake::Awake;
pub use budget::Budget;
pub use deadline::Deadline;
pub use fault::{Peer, Step};
pub use hash::{hash_bytes, hash_pair, hash_parts};
pub use id::{Cell, Entity, Searcher, Service, Shard, Table, Workspace};
pub use position::Position;
pub use pulse::Pulse;
pub use seed::Seed;
pub use tasks::{Tasks, message};

/// A shared immutable name, cheap to clone into messages and logs.
pub type Name = std::sync::Arc<str>;

/// The revision of a configuration document.
pub type Revision = u64;

/// The version of an index that a searcher holds.
pub type Version = u64;

/// The epoch of a service's partition map.
pub type Epoch = u64;

/// The number that tells one run of a daemon from its next run at the same address.
pub type Incarnation = u64;
