//! The daemon that passes callers' requests on to searchers.
//!
//! A [`Daemon`] wires membership, the feed and the relay to listeners: one for callers, one
//! for the question whether it is ready, one for callers who ask which addresses to use.
//! How those speak is a [`Face`], a value that is handed in. See
//! `docs/design/0009-platform.md`.

mod caller;
mod daemon;
mod face;
mod member;
mod settings;

pub use daemon::Daemon;
pub use face::{Face, Head, Origin};
pub use settings::Settings;
