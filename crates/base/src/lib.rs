//! Identifiers, deadlines, error context and seeded randomness shared by all daemons.
//!
//! The crate contains only what several other crates need and none of them owns. Entities
//! are typed indices into the tables of one configuration document, so that a searcher
//! cannot be confused with a shard; see `docs/GLOSSARY.md`.

mod budget;
mod deadline;
mod error_context;
mod hash;
mod id;
mod pause_detector;
mod pause_gate;
mod position;
mod seed;
mod tasks;
mod token_map;

pub use budget::Budget;
pub use deadline::Deadline;
pub use error_context::{Peer, Step};
pub use hash::{hash_bytes, hash_pair, hash_parts};
pub use id::{Cell, Entity, Searcher, Service, Shard, Table, Workspace};
pub use pause_detector::PauseDetector;
pub use pause_gate::PauseGate;
pub use position::Position;
pub use seed::Seed;
pub use tasks::{TaskSupervisor, panic_message};
pub use token_map::TokenMap;

/// A shared immutable string, cheap to clone into messages and logs.
pub type Name = std::sync::Arc<str>;

/// The revision of a configuration document.
pub type Revision = u64;

/// The version of an index that a searcher serves.
pub type Version = u64;

/// The epoch of a service's partition map.
pub type Epoch = u64;

/// A number that distinguishes successive runs of a daemon at the same address.
pub type Incarnation = u64;
