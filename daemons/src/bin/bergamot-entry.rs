//! The entry daemon: serves callers over HTTP.

use std::process::ExitCode;

use bergamot_entry::{Entry, Running};
use bergamotstand::Service;

fn main() -> ExitCode {
    let about = "serves callers' queries and writes";
    let service = Service { start: Entry::start, failed: Running::failed, stop: Running::stop };
    bergamotstand::run_daemon("bergamot-entry", about, &service)
}
