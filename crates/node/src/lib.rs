//! Common parts of all daemons: membership, configuration, pause detection, admin and stop.
//!
//! A [`Node`] represents one run of a daemon. It holds the document in force and the view of the
//! members, handles control datagrams and pulls, reads the platform, detects pauses of the
//! process, and serves metrics and a state dump on a separate listener. Services query it for the
//! document, the homes of cells and whether new work may start. See
//! `docs/design/0007-membership.md` and `docs/design/0008-configuration-spread.md`.

mod admin;
mod control;
mod machine;
mod metrics;
mod node;
mod platform;
mod pulls;
mod signal;

pub use machine::machine;
pub use metrics::Metrics;
pub use node::{ActiveDocument, Dump, LeavingHandler, Node};
pub use signal::{ShutdownMode, stop_signal};

/// Re-exported so that services can register metrics with the node's registry.
pub use prometheus;
