//! The gather daemon: runs sub-queries on searchers.

use std::process::ExitCode;

use bergamot_gather::{Gather, GatherHandle};
use bergamotstand::Service;

fn main() -> ExitCode {
    let about = "holds connections to searchers and runs sub-queries";
    let service =
        Service { start: Gather::start, failed: GatherHandle::failed, stop: GatherHandle::stop };
    bergamotstand::run_daemon("bergamot-gather", about, &service)
}
