//! The daemon that forwards callers' requests to searchers.
//!
//! A [`Daemon`] connects membership, the feed and the relay to its listeners: one for callers'
//! requests, one for readiness probes, one for address queries, one for metrics and one for other
//! members. The HTTP conventions of callers are passed in as a [`Face`]. See
//! `docs/design/0009-platform.md`.

mod caller;
mod daemon;
mod face;
mod member;
mod settings;

pub use daemon::Daemon;
pub use face::{Face, Head, Origin};
pub use settings::Settings;
