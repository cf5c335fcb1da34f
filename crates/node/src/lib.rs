//! What every daemon shares: membership, configuration, waking up, admin and stop.
//!
//! A [`Node`] is one run of a daemon as the fleet sees it. It keeps the document in
//! force and the view of the members, answers control datagrams and pulls, reads the
//! platform, notices when the process slept, and serves metrics and a state dump on a
//! listener of its own. The services ask it for the document, the homes and whether
//! new work may start. See `docs/design/0007-membership.md` and
//! `docs/design/0008-configuration-spread.md`.

mod admin;
mod control;
mod meter;
mod node;
mod platform;
mod pulls;
mod signal;

pub use meter::Meter;
pub use node::{Current, Dump, LeavingSink, Node};
pub use signal::{Stop, stop_signal};

/// Re-exported so that services register metrics with the node's registry.
pub use prometheus;
