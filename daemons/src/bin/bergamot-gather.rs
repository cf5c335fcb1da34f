//! The gather daemon: runs sub-queries on searchers.

use std::process::ExitCode;

use bergamot_gather::{Gather, Running};
use bergamotstand::Service;

fn main() -> ExitCode {
    let about = "holds connections to searchers and runs sub-queries";
    let service = Service { start: Gather::start, failed: Running::failed, stop: Running::stop };
    bergamotstand::run_daemon("bergamot-gather", about, &service)
}
