//! A successful answer whose body is encoded, which is not the searcher's body for callers.
//!
//! Guards against encoded bytes that are merged as records.

use crate::support::{gather, relay, request, route, script, upstream};
use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::Reply;
use bergamot_standin::{RecordedRequest, Step};

fn answer(seen: &RecordedRequest, signature: &str, header: &str) -> Vec<Step> {
    let id = seen.header("x-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature:{signature}\r\n{header}content-length: 16\r\n\r\nsixteen bytes of"
    );
    vec![Step::Send(text.into_bytes())]
}

/// Sends a gathered request to two shards that both answer so.
async fn gather_from(signature: &'static str, header: &'static str) -> Reply {
    let searcher = script(move |seen| answer(seen, signature, header)).await;
    let upstreams = vec![upstream("p1", "p", &searcher), upstream("q1", "q", &searcher)];
    let target = gather(&["p", "q"], 0.5);
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, target)], upstreams);
    relay.handle(request("/q/")).await
}

#[tokio::test]
async fn an_encoded_body_is_no_part() {
    let reply = gather_from(" s", "content-encoding: gzip\r\n").await;
    assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
}

#[tokio::test]
async fn an_encoded_body_is_no_success_of_a_plain_request() {
    let searcher = script(|seen| answer(seen, " s", "content-encoding: gzip\r\n")).await;
    let routes = vec![route("/a/", Idempotency::Idempotent, Target::Service("s".into()))];
    let relay = relay(routes, vec![upstream("i1", "s", &searcher)]);
    let reply = relay.handle(request("/a/")).await;
    assert!(!matches!(&reply, Reply::Forwarded(r) if r.status == 200), "{reply:?}");
}

#[tokio::test]
async fn an_empty_signature_signs_nothing() {
    let reply = gather_from("", "").await;
    assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
}

#[tokio::test]
async fn two_signatures_in_one_header_are_no_part() {
    let reply = gather_from(" one, two", "").await;
    assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
}

#[tokio::test]
async fn a_second_header_of_the_same_name_counts_too() {
    for header in
        ["x-signature: other\r\n", "content-encoding: identity\r\ncontent-encoding: gzip\r\n"]
    {
        let reply = gather_from(" one", header).await;
        assert!(matches!(reply, Reply::Refused(_)), "{header:?}: {reply:?}");
    }
}
