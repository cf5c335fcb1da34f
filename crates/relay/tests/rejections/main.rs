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

use std::sync::Arc;

use bergamot_relay::{Relay, Reply};

/// Sends so many requests to the route `/a/`, one after the other; returns how many are served.
async fn count_served(relay: &Arc<Relay>, requests: usize) -> usize {
    let mut served = 0;
    for _ in 0..requests {
        let reply = relay.handle(support::request("/a/")).await;
        served += usize::from(matches!(reply, Reply::Forwarded(r) if r.status == 200));
    }
    served
}
