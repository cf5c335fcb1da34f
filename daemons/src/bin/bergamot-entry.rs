//! The entry daemon: callers' HTTP.

use std::process::ExitCode;

use bergamot_entry::{Entry, Running};

fn main() -> ExitCode {
    let about = "serves callers' queries and writes";
    bergamotstand::run("bergamot-entry", about, Entry::start, Running::stop)
}
