//! A gathered request whose slow shards are left out.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::Idempotency;
use bergamot_policy::{LeaveOut, Policy};
use bergamot_relay::{Relay, Settings};
use bergamot_standin::{ScriptedServer, Step};
use support::{
    gather, merged, no_members, not_run, ok, part, record, relay_with, request, route, script,
    upstream,
};

/// A relay that has observed that shard `c` answers after 450 ms; the target latency is 400 ms.
/// Shard `b` refuses requests to `/q/refuse` and never answers those to `/q/hang`.
async fn relay_with_slow_shard() -> (Arc<Relay>, [ScriptedServer; 3]) {
    let b = script(|seen| match () {
        () if seen.head.contains("/refuse") => not_run(seen, "503 Service Unavailable"),
        () if seen.head.contains("/hang") => vec![Step::Hang],
        () => ok(seen, "sig2", &record(2)),
    });
    let c = script(|seen| {
        let answer = ok(seen, "sig3", &record(3)).remove(0);
        vec![Step::Wait(Duration::from_millis(450)), answer]
    });
    let servers = [part(1).await, b.await, c.await];
    let routes = vec![
        route("/all/", Idempotency::Idempotent, gather(&["a", "b", "c"], 1.0)),
        route("/q/", Idempotency::Idempotent, gather(&["a", "b", "c"], 0.6)),
    ];
    let upstreams = ["a", "b", "c"].iter().zip(&servers);
    let upstreams = upstreams.map(|(shard, server)| upstream(shard, shard, server)).collect();
    let leave_out = LeaveOut { least: 0.0, beyond: 1.0, ..LeaveOut::default() };
    let policy = Arc::new(Policy { leave_out, ..Policy::default() });
    let settings = Settings { policy, ..Settings::default() };
    let relay = relay_with(&settings, no_members(), routes, upstreams);
    assert_eq!(merged(relay.handle(request("/all/")).await).missing, 0);
    (relay, servers)
}

/// Guards against slots that are spent on shards which can't be part of the answer, and against an
/// answer that waits for them until the target latency.
#[tokio::test]
async fn a_shard_that_is_too_slow_is_not_queried() {
    let (relay, [_a, _b, c]) = relay_with_slow_shard().await;
    let started = Instant::now();
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (2, 1));
    assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    assert_eq!(c.requests().len(), 1);
}

/// Guards against a failure for lack of a shard that was left out, when one that was queried refuses
/// the request or doesn't answer.
#[tokio::test]
async fn a_shard_that_was_left_out_replaces_one_that_fails() {
    let (relay, [_a, _b, c]) = relay_with_slow_shard().await;
    for (path, queried) in [("/q/refuse", 2), ("/q/hang", 3)] {
        let answer = merged(relay.handle(request(path)).await);
        assert_eq!((answer.signatures.len(), answer.missing), (2, 1), "{path}");
        assert_eq!(c.requests().len(), queried, "{path}");
    }
}
