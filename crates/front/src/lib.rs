//! The daemon that forwards callers' requests to searchers.
//!
//! A [`Daemon`] connects membership, the feed and the relay to its listeners: one for callers'
//! requests, one for readiness probes, one for address queries, one for metrics and one for other
//! members. The HTTP conventions of callers are passed in as a [`CallerProtocol`]. See
//! `docs/design/0009-platform.md`.

mod caller;
mod daemon;
mod member;
mod protocol;
mod settings;
mod topology;

pub use daemon::Daemon;
pub use protocol::{AddressQuery, CallerProtocol, RequestHead};
pub use settings::Settings;
