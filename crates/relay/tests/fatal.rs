//! Requests that crash the searchers that run them.
//!
//! One request crashed every searcher that ran it, again after each restart, so that all requests
//! to the index failed. A connection that ended without a response was treated as broken, so each
//! shard of the request retried it at the next replica and the caller's next attempt started over.
//! The cause was found because the searchers of all shards ended within the duration of one
//! request, first replicas before second ones, without any other fault.

mod support;

use std::time::Duration;

use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Cause, Relay, Reply, Request};
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use bytes::Bytes;
use hyper::header::HeaderValue;
use std::sync::Arc;
use support::{gather, merged, ok, record, relay, reply, request, route, script, upstream};

/// The body of the fatal request.
const FATAL: &[u8] = b"fatal";

/// How often the fatal request is repeated.
const REPEATS: usize = 20;

/// The number of searchers that may end besides the first of each shard.
const TRIALS: usize = 3;

/// A searcher that closes all its connections and stops listening when it runs the fatal request.
async fn crashing_searcher(byte: u8, crash: fn() -> Step) -> ScriptedServer {
    script(move |seen| {
        if seen.body == FATAL {
            return vec![Step::Wait(Duration::from_millis(2)), crash()];
        }
        ok(seen, &format!("sig{byte}"), &record(byte))
    })
    .await
}

/// Starts searchers for each service.
async fn searchers(services: &[&'static str], replicas: u8) -> Vec<(&'static str, ScriptedServer)> {
    searchers_with(services, replicas, || Step::Crash).await
}

async fn searchers_with(
    services: &[&'static str],
    replicas: u8,
    crash: fn() -> Step,
) -> Vec<(&'static str, ScriptedServer)> {
    let mut all = Vec::new();
    for (shard, service) in (1..).zip(services) {
        for replica in 0..replicas {
            all.push((*service, crashing_searcher(shard * 10 + replica, crash).await));
        }
    }
    all
}

fn relay_for(searchers: &[(&'static str, ScriptedServer)], target: Target) -> Arc<Relay> {
    let upstreams = searchers.iter().enumerate();
    let upstreams =
        upstreams.map(|(at, (service, script))| upstream(&format!("i{at}"), service, script));
    relay(vec![route("/q/", Idempotency::Idempotent, target)], upstreams.collect())
}

/// The fatal request, with an identifier for the given repetition.
fn fatal_request(time: usize) -> Request {
    let id = HeaderValue::from_str(&format!("fatal-{time}")).expect("valid header value");
    Request { id, body: Bytes::from_static(FATAL), ..request("/q/") }
}

/// Counts the searchers that have ended.
fn count_ended(searchers: &[(&'static str, ScriptedServer)]) -> usize {
    searchers.iter().filter(|(_, script)| script.has_stopped()).count()
}

/// Repeats the fatal request and returns the cause of its last refusal.
async fn repeat_fatal_request(relay: &Arc<Relay>) -> Cause {
    let mut last = None;
    for time in 0..REPEATS {
        match relay.handle(fatal_request(time)).await {
            Reply::Refused(refusal) => last = Some(refusal.cause),
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
    last.expect("no request was sent")
}

#[tokio::test]
async fn a_fatal_request_to_one_service_crashes_at_most_five_searchers() {
    let all = searchers(&["a"], 8).await;
    let relay = relay_for(&all, Target::Service("a".into()));
    let last = repeat_fatal_request(&relay).await;
    assert!(count_ended(&all) <= 5, "{} searchers ended", count_ended(&all));
    // A request that is no longer sent has not run.
    assert_eq!(last, Cause::NotRun);
    let Reply::Forwarded(response) = relay.handle(request("/q/")).await else {
        panic!("expected other requests to be served");
    };
    assert!(response.status.is_success());
}

#[tokio::test]
async fn a_fatal_gather_crashes_at_most_one_searcher_per_shard_plus_three() {
    let shards = ["a", "b", "c", "d", "e", "f"];
    let all = searchers(&shards, 3).await;
    let relay = relay_for(&all, gather(&shards, 0.8));
    let last = repeat_fatal_request(&relay).await;
    assert!(count_ended(&all) <= shards.len() + TRIALS, "{} searchers ended", count_ended(&all));
    assert_eq!(last, Cause::NotRun);
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (shards.len(), 0));
}

/// Guards against crashes that are missed because the listener closes after the connections: each was
/// followed by an attempt at one more searcher.
#[tokio::test]
async fn a_fatal_request_is_recognised_although_listeners_close_late() {
    let shards = ["a", "b", "c", "d", "e", "f"];
    let all = searchers_with(&shards, 3, || Step::CrashLate(Duration::from_millis(5))).await;
    let relay = relay_for(&all, gather(&shards, 0.8));
    let last = repeat_fatal_request(&relay).await;
    assert!(count_ended(&all) <= shards.len() + TRIALS, "{} searchers ended", count_ended(&all));
    assert_eq!(last, Cause::NotRun);
    let one = searchers_with(&["a"], 8, || Step::CrashLate(Duration::from_millis(5))).await;
    let relay = relay_for(&one, Target::Service("a".into()));
    repeat_fatal_request(&relay).await;
    assert!(count_ended(&one) <= 5, "{} of one service ended", count_ended(&one));
}

/// Only one shard is affected, so responses of the others must not clear the request.
#[tokio::test]
async fn a_gather_that_is_fatal_to_one_shard_crashes_at_most_five_searchers() {
    let mut all = searchers(&["a"], 8).await;
    for (byte, service) in [(101, "b"), (102, "c"), (103, "d")] {
        all.push((service, support::part(byte).await));
    }
    let relay = relay_for(&all, gather(&["a", "b", "c", "d"], 1.0));
    let last = repeat_fatal_request(&relay).await;
    assert!(count_ended(&all) <= 5, "{} searchers ended", count_ended(&all));
    assert_eq!(last, Cause::NotRun);
    let answer = merged(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (4, 0));
}

/// Guards against a rejection, which may be a failure that comes before the request is run, as the proof
/// that the request is harmless: it then crashed a searcher after each trial.
#[tokio::test]
async fn a_rejection_does_not_clear_a_request_that_crashes_searchers() {
    let mut all = searchers(&["a"], 8).await;
    for _ in 0..8 {
        let reject = |seen: &RecordedRequest| vec![Step::Send(reply(seen, "404 No", "s", b""))];
        all.push(("a", script(reject).await));
    }
    let relay = relay_for(&all, Target::Service("a".into()));
    for time in 0..3 * REPEATS {
        relay.handle(fatal_request(time)).await;
    }
    assert!(count_ended(&all) <= 5, "{} searchers ended", count_ended(&all));
}

/// A searcher that resets connections but is still listening has not ended.
#[tokio::test]
async fn a_request_whose_connections_are_reset_is_not_quarantined() {
    let mut all = Vec::new();
    for service in ["a", "b", "c", "d"] {
        all.push((service, script(|_| vec![Step::Reset]).await));
        all.push((service, support::part(1).await));
    }
    let relay = relay_for(&all, gather(&["a", "b", "c", "d"], 1.0));
    for _ in 0..REPEATS {
        let answer = merged(relay.handle(request("/q/")).await);
        assert_eq!((answer.signatures.len(), answer.missing), (4, 0));
    }
}

/// An instance that has just started does not know the verdicts of the others and would forward
/// condemned requests.
#[tokio::test]
async fn an_instance_without_the_verdicts_of_the_others_refuses_requests() {
    let all = searchers(&["a"], 1).await;
    let relay = relay_for(&all, Target::Service("a".into()));
    relay.quarantine().set_synced(false);
    let Reply::Refused(refusal) = relay.handle(request("/q/")).await else {
        panic!("expected a refusal before the verdicts are known");
    };
    assert!(refusal.cause == Cause::NotReady && refusal.retry_after.is_some());
    assert!(all[0].1.requests().is_empty());
    relay.quarantine().set_synced(true);
    assert!(matches!(relay.handle(request("/q/")).await, Reply::Forwarded(_)));
}
