//! A searcher starts again under its identifier while requests are on their way to it.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Kind, Target};
use bergamot_registry::{Incarnation, Upstream};
use bergamot_relay::{Cause, Relay, Reply};
use bergamot_standin::{Script, Seen, Step};
use support::{gather, ok, record, relay, request, route, script, upstream, whole};

/// The searcher `i1` of service `s` with the millisecond of its start.
fn born(born: u64, at: &Script) -> Upstream {
    let incarnation = Incarnation { id: "i1".into(), start_time_ms: Some(born) };
    Upstream { incarnation, ..upstream("i1", "s", at) }
}

fn publish(relay: &Arc<Relay>, upstream: Upstream) {
    relay.with_registry(|registry| registry.publish(upstream, Instant::now()));
}

fn one(kind: Kind, upstreams: Vec<Upstream>) -> Arc<Relay> {
    relay(vec![route("/a/", kind, Target::Service("s".into()))], upstreams)
}

async fn answering(body: &'static [u8]) -> Script {
    script(move |seen| ok(seen, "sig", body)).await
}

fn body(reply: Reply) -> Vec<u8> {
    match reply {
        Reply::Passed(passed) => passed.body.to_vec(),
        other => panic!("no answer: {other:?}"),
    }
}

/// A kept connection to the former start is no way to the next one.
#[tokio::test]
async fn the_next_start_gets_connections_of_its_own() {
    let (former, next) = (answering(b"former").await, answering(b"next").await);
    let relay = one(Kind::NonIdempotent, vec![born(1, &former)]);
    assert_eq!(body(relay.handle(request("/a/")).await), b"former");
    publish(&relay, born(2, &next));
    assert_eq!(body(relay.handle(request("/a/")).await), b"next");
    relay.tick(1, false);
    assert_eq!(former.seen().len(), 1);
}

/// What was seen of the former start says nothing about the next one.
#[tokio::test]
async fn the_next_start_is_not_judged_by_what_the_former_did() {
    let failing = script(|_| vec![Step::Reset]).await;
    let other = answering(b"other").await;
    let relay = one(Kind::Idempotent, vec![born(1, &failing), upstream("i2", "s", &other)]);
    for _ in 0..6 {
        relay.handle(request("/a/")).await;
    }
    let next = answering(b"next").await;
    publish(&relay, born(2, &next));
    for _ in 0..6 {
        relay.handle(request("/a/")).await;
    }
    assert!(!next.seen().is_empty(), "the next start is avoided");
}

/// The request has left for the former start when the next one resets its connection: whether
/// it ran is not known, so it is not sent again, and the caller isn't told that it did not run.
#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_after_a_restart() {
    let resets = script(|_| vec![Step::Wait(Duration::from_millis(80)), Step::Reset]).await;
    let next = answering(b"next").await;
    let relay = one(Kind::NonIdempotent, vec![born(1, &resets)]);
    let asked = Arc::clone(&relay);
    let asking = tokio::spawn(async move { asked.handle(request("/a/")).await });
    tokio::time::sleep(Duration::from_millis(40)).await;
    publish(&relay, born(2, &next));
    match asking.await.expect("it ends") {
        Reply::Refused(refusal) => assert_eq!(refusal.cause, Cause::Lost),
        other => panic!("an answer: {other:?}"),
    }
    assert!(next.seen().is_empty());
}

/// The former start still answers what it has begun when the next one is known already.
#[tokio::test]
async fn an_answer_of_the_former_start_is_passed_on() {
    let slow = |seen: &Seen| {
        [vec![Step::Wait(Duration::from_millis(80))], ok(seen, "sig", b"former")].concat()
    };
    let (former, next) = (script(slow).await, answering(b"next").await);
    let relay = one(Kind::NonIdempotent, vec![born(1, &former)]);
    let asked = Arc::clone(&relay);
    let asking = tokio::spawn(async move { asked.handle(request("/a/")).await });
    tokio::time::sleep(Duration::from_millis(40)).await;
    publish(&relay, born(2, &next));
    relay.tick(1, false);
    assert_eq!(body(asking.await.expect("it ends")), b"former");
}

/// Another searcher has the address of the former start: that is the end of this start alone.
#[tokio::test]
async fn the_end_of_one_start_is_not_the_end_of_the_next() {
    let moved = |_: &Seen| {
        let text = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
        vec![Step::Send(text.as_bytes().to_vec())]
    };
    let (former, next) = (script(moved).await, answering(b"next").await);
    let relay = one(Kind::NonIdempotent, vec![born(1, &former)]);
    match relay.handle(request("/a/")).await {
        Reply::Refused(refusal) => assert_eq!(refusal.cause, Cause::NotRun),
        other => panic!("an answer: {other:?}"),
    }
    // The former entry, read once more, brings nothing back; the next start is used.
    publish(&relay, born(1, &former));
    let again = relay.handle(request("/a/")).await;
    assert!(matches!(again, Reply::Refused(_)), "{again:?}");
    assert_eq!(former.seen().len(), 1);
    publish(&relay, born(2, &next));
    assert_eq!(body(relay.handle(request("/a/")).await), b"next");
}

/// The former start fails the shard after the next one is known: the next one may be asked, as
/// another searcher of the shard.
#[tokio::test]
async fn a_shard_may_be_asked_of_the_next_start_after_the_former_failed() {
    let slow = |_: &Seen| vec![Step::Wait(Duration::from_millis(60)), Step::Reset];
    let (former, next) = (script(slow).await, script(|seen| ok(seen, "s", &record(7))).await);
    let relay =
        relay(vec![route("/g/", Kind::Idempotent, gather(&["s"], 1.0))], vec![born(1, &former)]);
    let asked = Arc::clone(&relay);
    let asking = tokio::spawn(async move { asked.handle(request("/g/")).await });
    tokio::time::sleep(Duration::from_millis(30)).await;
    publish(&relay, born(2, &next));
    assert_eq!(whole(asking.await.expect("it ends")).records.to_vec(), record(7));
}
