//! Requests that searchers reject: whether the request is at fault, or the searchers.
//!
//! Guards against requests that end worse beside searchers that reject them than beside searchers that
//! fail with status 500.

#[path = "../support/mod.rs"]
mod support;

mod budget;
mod confirmed;
mod delegate;
mod doubt;
mod encoded;
mod far;
mod fellows;
mod gate;
mod misdirected;
mod nearby;
mod silent_shard;
mod single_shard;
mod slow;
mod slow_gather;
