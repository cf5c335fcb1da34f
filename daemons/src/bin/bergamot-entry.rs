//! The entry daemon: serves callers over HTTP.

use std::process::ExitCode;

use bergamot_entry::{Entry, EntryHandle};
use bergamotstand::Service;

fn main() -> ExitCode {
    let about = "serves callers' queries and writes";
    let service =
        Service { start: Entry::start, failed: EntryHandle::failed, stop: EntryHandle::stop };
    bergamotstand::run_daemon("bergamot-entry", about, &service)
}
