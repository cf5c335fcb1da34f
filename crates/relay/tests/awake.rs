//! A process that was paused must receive a store update before it starts new work.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_registry::State;
use bergamot_relay::{Cause, Reply};
use support::{part, relay_with_short_pause, request, route, upstream};

/// Longer than the relay's pause threshold.
const PAUSE: Duration = Duration::from_millis(1200);

#[tokio::test]
async fn a_searcher_that_drained_during_a_pause_receives_no_request() {
    let a = part(1).await;
    let target = Target::Service("a".into());
    let routes = vec![route("/one/", Idempotency::NonIdempotent, target)];
    let relay = relay_with_short_pause(routes, vec![upstream("i1", "a", &a)]);
    relay.tick(1, false);
    std::thread::sleep(PAUSE);
    assert!(relay.is_behind());
    let asked = Arc::clone(&relay);
    let response = tokio::spawn(async move { asked.handle(request("/one/")).await });
    // The request is read before the pause is detected and before the update arrives.
    tokio::task::yield_now().await;
    relay.tick(1, false);
    let draining =
        bergamot_registry::Upstream { state: State::Draining, ..upstream("i1", "a", &a) };
    relay.with_registry(|registry| registry.publish(draining, Instant::now()));
    relay.record_store_update(Instant::now());
    let reply = response.await.expect("request task panicked");
    assert!(matches!(reply, Reply::Refused(refusal) if refusal.cause == Cause::NotRun));
    assert!(a.requests().is_empty());
}

#[tokio::test]
async fn an_update_requested_before_the_pause_does_not_end_the_wait() {
    let a = part(1).await;
    let routes = vec![route("/one/", Idempotency::NonIdempotent, Target::Service("a".into()))];
    let relay = relay_with_short_pause(routes, vec![upstream("i1", "a", &a)]);
    relay.tick(1, false);
    let before = Instant::now();
    std::thread::sleep(PAUSE);
    relay.tick(1, false);
    relay.record_store_update(before);
    assert!(relay.is_behind());
    relay.record_store_update(Instant::now());
    relay.tick(1, false);
    assert!(!relay.is_behind());
}

/// With the store unreachable and no update at any other member, requests proceed with the known
/// state and do not each wait for the same update.
#[tokio::test]
async fn without_an_update_after_a_pause_requests_wait_only_once() {
    let a = part(1).await;
    let routes = vec![route("/one/", Idempotency::NonIdempotent, Target::Service("a".into()))];
    let relay = relay_with_short_pause(routes, vec![upstream("i1", "a", &a)]);
    relay.tick(1, false);
    std::thread::sleep(PAUSE);
    relay.tick(1, false);
    let ticking = Arc::clone(&relay);
    let ticks = tokio::spawn(async move {
        loop {
            ticking.tick(1, false);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    let reply = relay.handle(request("/one/")).await;
    assert!(matches!(reply, Reply::Forwarded(_)), "{reply:?}");
    relay.tick(1, false);
    assert!(!relay.is_behind());
    ticks.abort();
}
