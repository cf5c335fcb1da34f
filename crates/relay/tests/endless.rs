//! Searchers that send bytes without end.

mod support;

use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Cause, Reply, Request};
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use futures::future::join_all;
use support::{gather, merged, ok, record, refused, relay, request, route, script, upstream};

/// How many requests are sent one after the other.
const REQUESTS: usize = 30;

async fn endless() -> ScriptedServer {
    script(|seen: &RecordedRequest| {
        let id = seen.header("x-id").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\n\r\n");
        vec![Step::Send(head.into_bytes()), Step::Repeat(vec![b'b'; 16 << 10])]
    })
    .await
}

/// Guards against a searcher that sends without end and is asked again at once, first or as a hedge.
#[tokio::test]
async fn a_searcher_that_sends_without_end_is_avoided() {
    // The sound searcher is slow, so the other one is asked first.
    let slow = |seen: &RecordedRequest| {
        [vec![Step::Wait(Duration::from_millis(20))], ok(seen, "sig", b"whole")].concat()
    };
    let (bad, good) = (endless().await, script(slow).await);
    let upstreams = vec![upstream("i1", "s", &bad), upstream("i2", "s", &good)];
    let target = Target::Service("s".into());
    let relay = relay(vec![route("/a/", Idempotency::Idempotent, target)], upstreams);
    for number in 0..REQUESTS {
        let request = Request { received: Instant::now(), ..request("/a/") };
        let Reply::Forwarded(response) = relay.handle(request).await else { panic!("{number}") };
        assert_eq!(&*response.body, b"whole");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(bad.requests().len(), 1, "it is not asked again within seconds");
}

/// Guards against sound requests that are refused as backlog because answers to others began at once
/// and had not ended when these were given up.
#[tokio::test]
async fn an_answer_that_has_begun_and_is_given_up_is_no_backlog_of_its_searcher() {
    let searcher = script(|seen: &RecordedRequest| {
        let mut answer = ok(seen, "sig", &record(1));
        if seen.head.contains("/bad") {
            let Step::Send(bytes) = &mut answer[0] else { unreachable!("it sends its answer") };
            bytes.truncate(bytes.len() - 1);
            answer.push(Step::Hang);
        }
        answer
    })
    .await;
    let upstreams = ["i1", "i2"].map(|id| upstream(id, "s", &searcher)).to_vec();
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["s"], 1.0))];
    let relay = relay(routes, upstreams);
    let send = |path| {
        let deadline = Some(Duration::from_millis(600));
        relay.handle(Request { received: Instant::now(), deadline, ..request(path) })
    };
    merged(send("/q/good").await);
    for reply in join_all((0..8).map(|_| send("/q/bad"))).await {
        assert_eq!(refused(reply).0, Cause::Late);
    }
    merged(send("/q/good").await);
}
