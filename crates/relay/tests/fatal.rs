//! Requests that end the searchers that run them.
//!
//! What was seen: all searchers of an index ended together, again and again as soon as they were
//! back, and every request to the index failed meanwhile. How it came about: one request crashed
//! whoever ran it. Cause: an end without an answer was taken for a broken connection, so each of
//! the request's shards sent it to the next replica, and the caller's next attempt began anew.
//! What proved that: the searchers of all shards ended within the time of one request, the first
//! replicas and then the second ones, while nothing else had happened to them.

mod support;

use std::time::Duration;

use bergamot_declaration::{Kind, Target};
use bergamot_relay::{Cause, Relay, Reply, Request};
use bergamot_standin::{Script, Step};
use bytes::Bytes;
use hyper::header::HeaderValue;
use std::sync::Arc;
use support::{gather, ok, record, relay, request, route, script, upstream, whole};

/// The body of the request that ends searchers.
const FATAL: &[u8] = b"fatal";

/// How often the fatal request comes again.
const REPEATS: usize = 20;

/// How many searchers may end besides the first of each shard.
const TRIALS: usize = 3;

/// A searcher that ends with all of its connections when it runs the fatal request.
async fn mortal(byte: u8) -> Script {
    script(move |seen| {
        if seen.body == FATAL {
            return vec![Step::Wait(Duration::from_millis(2)), Step::End];
        }
        ok(seen, &format!("sig{byte}"), &record(byte))
    })
    .await
}

/// Some searchers of each service.
async fn searchers(services: &[&'static str], replicas: u8) -> Vec<(&'static str, Script)> {
    let mut all = Vec::new();
    for (shard, service) in (1..).zip(services) {
        for replica in 0..replicas {
            all.push((*service, mortal(shard * 10 + replica).await));
        }
    }
    all
}

fn relay_before(searchers: &[(&'static str, Script)], target: Target) -> Arc<Relay> {
    let upstreams = searchers.iter().enumerate();
    let upstreams =
        upstreams.map(|(at, (service, script))| upstream(&format!("i{at}"), service, script));
    relay(vec![route("/q/", Kind::Idempotent, target)], upstreams.collect())
}

/// The fatal request, as a caller sends it for the given time.
fn fatal(time: usize) -> Request {
    let id = HeaderValue::from_str(&format!("fatal-{time}")).expect("it is a header's value");
    Request { id, body: Bytes::from_static(FATAL), ..request("/q/") }
}

/// Counts the searchers that have ended.
fn ended(searchers: &[(&'static str, Script)]) -> usize {
    searchers.iter().filter(|(_, script)| script.has_ended()).count()
}

/// Sends the fatal request again and again, and tells how its last attempt ended.
async fn repeat(relay: &Arc<Relay>) -> Cause {
    let mut last = None;
    for time in 0..REPEATS {
        match relay.handle(fatal(time)).await {
            Reply::Refused(refusal) => last = Some(refusal.cause),
            other => panic!("a fatal request has no answer: {other:?}"),
        }
    }
    last.expect("it was sent")
}

#[tokio::test]
async fn a_fatal_request_to_one_service_ends_at_most_five_searchers() {
    let all = searchers(&["a"], 8).await;
    let relay = relay_before(&all, Target::Service("a".into()));
    let last = repeat(&relay).await;
    assert!(ended(&all) <= 5, "{} searchers ended", ended(&all));
    // What isn't sent any more has truly not run.
    assert_eq!(last, Cause::NotRun);
    let Reply::Passed(passed) = relay.handle(request("/q/")).await else {
        panic!("other requests are served");
    };
    assert!(passed.status.is_success());
}

#[tokio::test]
async fn a_fatal_gather_ends_one_searcher_a_shard_and_three_at_most() {
    let shards = ["a", "b", "c", "d", "e", "f"];
    let all = searchers(&shards, 3).await;
    let relay = relay_before(&all, gather(&shards, 0.8));
    let last = repeat(&relay).await;
    assert!(ended(&all) <= shards.len() + TRIALS, "{} searchers ended", ended(&all));
    assert_eq!(last, Cause::NotRun);
    let answer = whole(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (shards.len(), 0));
}

/// The gather harms one shard alone, so that the others' answers say nothing for it.
#[tokio::test]
async fn a_gather_that_is_fatal_to_one_shard_ends_at_most_five_searchers() {
    let mut all = searchers(&["a"], 8).await;
    for (byte, service) in [(101, "b"), (102, "c"), (103, "d")] {
        all.push((service, support::part(byte).await));
    }
    let relay = relay_before(&all, gather(&["a", "b", "c", "d"], 1.0));
    let last = repeat(&relay).await;
    assert!(ended(&all) <= 5, "{} searchers ended", ended(&all));
    assert_eq!(last, Cause::NotRun);
    let answer = whole(relay.handle(request("/q/")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (4, 0));
}

/// A searcher that resets connections, and is there, isn't one that ends.
#[tokio::test]
async fn a_request_whose_connections_are_reset_is_not_held_against_it() {
    let mut all = Vec::new();
    for service in ["a", "b", "c", "d"] {
        all.push((service, script(|_| vec![Step::Reset]).await));
        all.push((service, support::part(1).await));
    }
    let relay = relay_before(&all, gather(&["a", "b", "c", "d"], 1.0));
    for _ in 0..REPEATS {
        let answer = whole(relay.handle(request("/q/")).await);
        assert_eq!((answer.signatures.len(), answer.missing), (4, 0));
    }
}

/// An instance that has just started would send on what the others have condemned.
#[tokio::test]
async fn an_instance_that_was_not_told_of_verdicts_takes_no_request() {
    let all = searchers(&["a"], 1).await;
    let relay = relay_before(&all, Target::Service("a".into()));
    relay.quarantine().set_synced(false);
    let Reply::Refused(refusal) = relay.handle(request("/q/")).await else {
        panic!("it is not ready");
    };
    assert!(refusal.cause == Cause::NotReady && refusal.retry_after.is_some());
    assert!(all[0].1.seen().is_empty());
    relay.quarantine().set_synced(true);
    assert!(matches!(relay.handle(request("/q/")).await, Reply::Passed(_)));
}
