//! Requests that wait for a connection.

mod support;

use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Route, Target};
use bergamot_relay::{Reply, Request};
use support::{ok, relay, request, route, script, upstream};

/// How long each step of a task takes, which is longer than an attempt may wait for its connection
/// while another searcher is left.
const STEP: Duration = Duration::from_millis(20);

/// A target latency of which a quarter is half a step.
const TARGET: Duration = Duration::from_millis(40);

/// Takes the thread for a step each time that the other tasks have run, as a busy machine does.
async fn occupy_thread() {
    loop {
        std::thread::sleep(STEP);
        tokio::task::yield_now().await;
    }
}

/// Guards against a request that fails with time left though the searcher that it waits for is sound:
/// no connection was ready within a quarter of the target latency, and no other searcher was left.
#[tokio::test]
async fn the_last_searcher_is_waited_for() {
    let respond = |seen: &_| ok(seen, "sig", b"whole");
    let (first, second) = (script(respond).await, script(respond).await);
    let upstreams = vec![upstream("i1", "s", &first), upstream("i2", "s", &second)];
    let target = Target::Service("s".into());
    let route = route("/a/", Idempotency::Idempotent, target);
    let relay = relay(vec![Route { target_latency: Some(TARGET), ..route }], upstreams);
    let busy = tokio::spawn(occupy_thread());
    let reply = relay.handle(Request { received: Instant::now(), ..request("/a/") }).await;
    busy.abort();
    assert!(matches!(reply, Reply::Forwarded(_)), "{reply:?}");
}
