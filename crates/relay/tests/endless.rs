//! Searchers that send bytes without end.

mod support;

use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Reply, Request};
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};
use support::{ok, relay, request, route, script, upstream};

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
