//! Takes a request to one searcher, or to one of each shard, and its answer back.
//!
//! The decisions are those of `bergamot-dispatch`; this crate gives them connections and
//! timers. A [`Relay`] holds what is in force: the declaration, the registry, and one link
//! with connections and an outlook for each incarnation of a searcher. How a request looks
//! on the wire of a searcher is a [`Dialect`], a value that is handed in, so that several
//! platforms share one relay. See `docs/design/0009-platform.md`.

mod attempt;
mod coverage;
mod delegate;
mod dialect;
mod exchange;
mod gather;
mod helper;
mod link;
mod message;
mod meter;
mod parts;
mod path;
mod race;
mod relay;
mod searchers;
mod settings;
mod state;
mod suspects;
mod trouble;

pub use coverage::Coverage;
pub use delegate::{Claim, Exchange, Helper, Helping};
pub use dialect::{Ask, Dialect, Reading};
pub use message::{Cause, Passed, Refusal, Reply, Request, Whole};
pub use relay::Relay;
pub use settings::Settings;
