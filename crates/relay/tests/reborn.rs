//! A searcher restarts under the same identifier while requests to it are in flight.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_registry::{Incarnation, Upstream};
use bergamot_relay::{Cause, Relay, Reply};
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use support::{gather, merged, not_run, ok, record, relay, request, route, script, upstream};

/// Searcher `i1` of service `s`, started at the given time in milliseconds.
fn started_at(born: u64, at: &ScriptedServer) -> Upstream {
    let incarnation = Incarnation { id: "i1".into(), start_time_ms: Some(born) };
    Upstream { incarnation, ..upstream("i1", "s", at) }
}

fn publish(relay: &Arc<Relay>, upstream: Upstream) {
    relay.with_registry(|registry| registry.publish(upstream, Instant::now()));
}

fn relay_with_service(kind: Idempotency, upstreams: Vec<Upstream>) -> Arc<Relay> {
    relay(vec![route("/a/", kind, Target::Service("s".into()))], upstreams)
}

async fn answering(body: &'static [u8]) -> ScriptedServer {
    script(move |seen| ok(seen, "sig", body)).await
}

fn body(reply: Reply) -> Vec<u8> {
    match reply {
        Reply::Forwarded(response) => response.body.to_vec(),
        other => panic!("expected a response, got {other:?}"),
    }
}

/// A connection kept from the previous incarnation must not be used for the next one.
#[tokio::test]
async fn the_next_incarnation_gets_its_own_connections() {
    let (previous, next) = (answering(b"former").await, answering(b"next").await);
    let relay = relay_with_service(Idempotency::NonIdempotent, vec![started_at(1, &previous)]);
    assert_eq!(body(relay.handle(request("/a/")).await), b"former");
    publish(&relay, started_at(2, &next));
    assert_eq!(body(relay.handle(request("/a/")).await), b"next");
    relay.tick(1, false);
    assert_eq!(previous.requests().len(), 1);
}

/// Observations of the previous incarnation are not applied to the next one.
#[tokio::test]
async fn the_next_incarnation_does_not_inherit_observations() {
    let failing = script(|_| vec![Step::Reset]).await;
    let other = answering(b"other").await;
    let relay = relay_with_service(
        Idempotency::Idempotent,
        vec![started_at(1, &failing), upstream("i2", "s", &other)],
    );
    for _ in 0..6 {
        relay.handle(request("/a/")).await;
    }
    let next = answering(b"next").await;
    publish(&relay, started_at(2, &next));
    for _ in 0..6 {
        relay.handle(request("/a/")).await;
    }
    assert!(!next.requests().is_empty(), "the next incarnation is avoided");
}

/// The request was sent to the previous incarnation and the connection is reset: whether it ran is
/// unknown, so it must not be sent again, nor reported as not run.
#[tokio::test]
async fn a_non_idempotent_request_is_not_resent_after_a_restart() {
    let resets = script(|_| vec![Step::Wait(Duration::from_millis(80)), Step::Reset]).await;
    let next = answering(b"next").await;
    let relay = relay_with_service(Idempotency::NonIdempotent, vec![started_at(1, &resets)]);
    let asked = Arc::clone(&relay);
    let response = tokio::spawn(async move { asked.handle(request("/a/")).await });
    tokio::time::sleep(Duration::from_millis(40)).await;
    publish(&relay, started_at(2, &next));
    match response.await.expect("request task panicked") {
        Reply::Refused(refusal) => assert_eq!(refusal.cause, Cause::Lost),
        other => panic!("expected a refusal, got {other:?}"),
    }
    assert!(next.requests().is_empty());
}

/// The previous incarnation answers a request it has begun after the next one is known.
#[tokio::test]
async fn a_response_of_the_previous_incarnation_is_forwarded() {
    let slow = |seen: &RecordedRequest| {
        [vec![Step::Wait(Duration::from_millis(80))], ok(seen, "sig", b"former")].concat()
    };
    let (previous, next) = (script(slow).await, answering(b"next").await);
    let relay = relay_with_service(Idempotency::NonIdempotent, vec![started_at(1, &previous)]);
    let asked = Arc::clone(&relay);
    let response = tokio::spawn(async move { asked.handle(request("/a/")).await });
    tokio::time::sleep(Duration::from_millis(40)).await;
    publish(&relay, started_at(2, &next));
    relay.tick(1, false);
    assert_eq!(body(response.await.expect("request task panicked")), b"former");
}

/// Another searcher has the address of the previous incarnation, which ends only that incarnation.
#[tokio::test]
async fn the_end_of_one_incarnation_does_not_end_the_next() {
    let moved = |seen: &RecordedRequest| not_run(seen, "421 Misdirected Request");
    let (previous, next) = (script(moved).await, answering(b"next").await);
    let relay = relay_with_service(Idempotency::NonIdempotent, vec![started_at(1, &previous)]);
    match relay.handle(request("/a/")).await {
        Reply::Refused(refusal) => assert_eq!(refusal.cause, Cause::NotRun),
        other => panic!("expected a refusal, got {other:?}"),
    }
    // Reading the previous entry again does not restore it; the next incarnation is used.
    publish(&relay, started_at(1, &previous));
    let again = relay.handle(request("/a/")).await;
    assert!(matches!(again, Reply::Refused(_)), "{again:?}");
    assert_eq!(previous.requests().len(), 1);
    publish(&relay, started_at(2, &next));
    assert_eq!(body(relay.handle(request("/a/")).await), b"next");
}

/// The previous incarnation fails the shard after the next one is known; the next one may be asked
/// as another searcher of the shard.
#[tokio::test]
async fn a_shard_is_retried_at_the_next_incarnation() {
    let slow = |_: &RecordedRequest| vec![Step::Wait(Duration::from_millis(60)), Step::Reset];
    let (previous, next) = (script(slow).await, script(|seen| ok(seen, "s", &record(7))).await);
    let relay = relay(
        vec![route("/g/", Idempotency::Idempotent, gather(&["s"], 1.0))],
        vec![started_at(1, &previous)],
    );
    let asked = Arc::clone(&relay);
    let response = tokio::spawn(async move { asked.handle(request("/g/")).await });
    tokio::time::sleep(Duration::from_millis(30)).await;
    publish(&relay, started_at(2, &next));
    assert_eq!(merged(response.await.expect("request task panicked")).records.to_vec(), record(7));
}
