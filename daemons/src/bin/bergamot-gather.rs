//! The gather daemon: connections to searchers.

use std::process::ExitCode;

use bergamot_gather::{Gather, Running};

fn main() -> ExitCode {
    let about = "holds connections to searchers and runs sub-queries";
    bergamotstand::run("bergamot-gather", about, Gather::start, Running::stop)
}
