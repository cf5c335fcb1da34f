//! What the daemons and the operators' command line share.
//!
//! The programs are thin: they read options and settings, start a service of the
//! library, and wait for a stop signal. Exit codes: 0 after a graceful stop, 1 when the
//! service can't start or has failed, or an exchange fails, 2 when options, settings or a document are
//! wrong. See `docs/operations/running.md`.

mod launch;
mod line;
mod losses;
mod plot;
mod story;

pub use launch::{Failure, Service, load_settings, run, usage};
pub use losses::{Count, Losses};
pub use plot::draw;
pub use story::story;
