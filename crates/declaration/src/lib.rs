//! The declaration: which requests go to which services, and under which limits.
//!
//! Operators publish one versioned [`Declaration`]. It names routes by host and path
//! prefix, says what may be repeated, how long a request may take, and whether it goes
//! to one service, to several by weight, or to every shard of an index. It is checked
//! whole ([`Declaration::check`]) and is in force whole or not at all; where the
//! searchers of a service run is not part of it (see the registry). The grounds are in
//! `docs/design/0009-platform.md`.

mod check;
mod declaration;
mod split;

pub use declaration::{Declaration, Gather, Kind, Limits, Route, Service, Share, Target};
pub use split::Split;
