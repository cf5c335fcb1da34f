//! Code shared by the daemons and the operators' command line.
//!
//! The programs are thin: they read options and settings, start a service of the library, and
//! wait for a stop signal. Exit codes: 0 after a graceful stop; 1 if the service cannot start or
//! has failed, or if an exchange with a daemon fails; 2 if options, settings or a document are
//! invalid. See `docs/operations/running.md`.

mod explain;
mod launch;
mod log_line;
mod losses;
mod plot;

pub use explain::explain_request;
pub use launch::{Failure, Service, load_settings, run_daemon, usage};
pub use losses::{LossCount, Losses};
pub use plot::draw_losses;
