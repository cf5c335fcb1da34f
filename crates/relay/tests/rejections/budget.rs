//! A test of a rejected request that waits for its budget.
//!
//! Guards against shards that give up since the waiting test counts as an attempt that has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::support::{
    DIALECT, gather, here, no_members, record, reply, request, route, script, upstream,
};
use bergamot_declaration::{Declaration, Idempotency, Service};
use bergamot_dispatch::RetryBudgetLimits;
use bergamot_relay::{Relay, Reply, Settings};
use bergamot_standin::Step;
use std::time::Instant;

const SHARDS: [&str; 3] = ["p", "q", "r"];

async fn missing(failure: &'static str) -> Option<usize> {
    let (mut searchers, mut upstreams) = (Vec::new(), Vec::new());
    for shard in SHARDS {
        let asked = AtomicBool::new(false);
        let searcher = script(move |seen| {
            let status = if asked.swap(true, Ordering::SeqCst) { "200 OK" } else { failure };
            vec![Step::Send(reply(seen, status, "signature", &record(1)))]
        })
        .await;
        for replica in ["a", "b"] {
            upstreams.push(upstream(&format!("{shard}{replica}"), shard, &searcher));
        }
        searchers.push(searcher);
    }
    // Enough for one required attempt of each shard, but not for an optional one.
    let retry_budget_limits =
        RetryBudgetLimits { ratio: 0.0, slack: 2.2, window: Duration::from_secs(10) };
    let settings = Settings { retry_budget_limits, ..here() };
    let relay: Arc<Relay> = Relay::new(settings, DIALECT, no_members());
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.3))];
    let services =
        SHARDS.map(|name| (name.into(), Service { connections: 16, warmup: None })).into();
    let declaration = Declaration { version: 1, routes, services, ..Declaration::default() };
    relay.apply_declaration(declaration.check().expect("invalid declaration"));
    for upstream in upstreams {
        relay.with_registry(|registry| registry.publish(upstream, Instant::now()));
    }
    match relay.handle(request("/q/")).await {
        Reply::Merged(merged) => Some(merged.missing),
        _ => None,
    }
}

#[tokio::test]
async fn a_test_that_waits_for_its_budget_proves_nothing() {
    let (with_500, with_404) = (missing("500 Failed").await, missing("404 Missing").await);
    println!("missing: with 500 {with_500:?}, with 404 {with_404:?}");
    assert_eq!(with_404, with_500);
}
