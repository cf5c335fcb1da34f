//! Requests to one searcher, with every kind of misbehaviour that the searchers' protocol allows.

mod support;

use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_registry::State;
use bergamot_relay::{Cause, Refusal, Reply, SearcherResponse};
use bergamot_standin::{RecordedRequest, Step};
use support::{not_run, ok, relay, reply, request, route, script, upstream};

fn forwarded(reply: Reply) -> SearcherResponse {
    match reply {
        Reply::Forwarded(response) => response,
        other => panic!("expected a response, got {other:?}"),
    }
}

fn refused(reply: Reply) -> Refusal {
    match reply {
        Reply::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn service() -> Target {
    Target::Service("s".into())
}

#[tokio::test]
async fn a_request_and_its_response_are_forwarded_unchanged() {
    let one = script(|seen| ok(seen, "sig", b"answer")).await;
    let relay = relay(
        vec![route("/a/", Idempotency::Idempotent, service())],
        vec![upstream("i1", "s", &one)],
    );
    let answer = forwarded(relay.handle(request("/a/b?c=d")).await);
    assert_eq!((&*answer.body, answer.status.as_u16()), (&b"answer"[..], 200));
    assert_eq!(answer.headers["x-signature"], "sig");
    let seen = one.requests().remove(0);
    assert!(seen.head.starts_with("POST /a/b?c=d HTTP/1.1\r\n"), "{}", seen.head);
    assert_eq!((seen.header("x-id"), seen.header("x-meant")), (Some("r1"), Some("i1")));
    let remaining_ms: u64 =
        seen.header("x-left").and_then(|value| value.parse().ok()).expect("x-left is not a number");
    assert!((1..=1500).contains(&remaining_ms) && seen.body == b"body", "{remaining_ms}");
}

#[tokio::test]
async fn a_request_without_a_route_or_a_searcher_is_refused_without_an_attempt() {
    let relay = relay(vec![route("/a/", Idempotency::Idempotent, service())], Vec::new());
    assert_eq!(refused(relay.handle(request("/b/")).await).cause, Cause::NoRoute);
    let refusal = refused(relay.handle(request("/a/")).await);
    assert!(refusal.cause == Cause::NotRun && refusal.retry_after.is_some());
}

#[tokio::test]
async fn a_non_idempotent_request_is_retried_if_it_has_not_run() {
    let refusing = script(|seen| not_run(seen, "503 Service Unavailable")).await;
    let good = script(|seen| ok(seen, "sig", b"done")).await;
    let upstreams = vec![upstream("i1", "s", &refusing), upstream("i2", "s", &good)];
    let relay = relay(vec![route("/a/", Idempotency::NonIdempotent, service())], upstreams);
    for _ in 0..4 {
        assert_eq!(&*forwarded(relay.handle(request("/a/")).await).body, b"done");
    }
    assert_eq!(good.requests().len(), 4);
}

#[tokio::test]
async fn a_non_idempotent_request_is_not_resent_after_a_reset() {
    let resetting = |_: &RecordedRequest| vec![Step::Reset];
    let (one, two) = (script(resetting).await, script(resetting).await);
    let upstreams = vec![upstream("i1", "s", &one), upstream("i2", "s", &two)];
    let relay = relay(vec![route("/a/", Idempotency::NonIdempotent, service())], upstreams);
    assert_eq!(refused(relay.handle(request("/a/")).await).cause, Cause::Lost);
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_an_invalid_response() {
    type FaultScript = fn(&RecordedRequest) -> Vec<Step>;
    let faults: [(&str, FaultScript); 6] = [
        ("reset", |_| vec![Step::Reset]),
        ("closed", |_| vec![Step::Close]),
        ("not HTTP", |_| vec![Step::Send(b"garbage\r\n\r\n".to_vec()), Step::Close]),
        ("truncated body", |seen| {
            let complete = reply(seen, "200 OK", "sig", b"answer");
            vec![Step::Send(complete[..complete.len() - 3].to_vec()), Step::Close]
        }),
        ("no signature", |_| {
            vec![Step::Send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi".to_vec())]
        }),
        ("response to another request", |_| {
            let text =
                "HTTP/1.1 200 OK\r\nx-id: r0\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nhi";
            vec![Step::Send(text.as_bytes().to_vec())]
        }),
    ];
    for (name, fault) in faults {
        let bad = script(fault).await;
        let good = script(|seen| ok(seen, "sig", b"whole")).await;
        let upstreams = vec![upstream("i1", "s", &bad), upstream("i2", "s", &good)];
        let relay = relay(vec![route("/a/", Idempotency::Idempotent, service())], upstreams);
        for _ in 0..3 {
            let answer = forwarded(relay.handle(request("/a/")).await);
            assert_eq!(&*answer.body, b"whole", "{name}");
        }
    }
}

#[tokio::test]
async fn an_unsolicited_response_on_a_reused_connection_is_discarded() {
    let twice = |seen: &RecordedRequest| {
        let first = reply(seen, "200 OK", "sig", b"right");
        let late = reply(seen, "200 OK", "sig", b"wrong");
        vec![Step::Send(first), Step::Wait(Duration::from_millis(20)), Step::Send(late)]
    };
    let (one, two) = (script(twice).await, script(twice).await);
    let upstreams = vec![upstream("i1", "s", &one), upstream("i2", "s", &two)];
    let relay = relay(vec![route("/a/", Idempotency::Idempotent, service())], upstreams);
    for turn in 0..8 {
        let mut request = request("/a/");
        request.id = hyper::header::HeaderValue::from(turn);
        assert_eq!(&*forwarded(relay.handle(request).await).body, b"right");
        tokio::time::sleep(Duration::from_millis(7 * turn)).await;
    }
}

#[tokio::test]
async fn a_response_without_a_length_ends_when_the_connection_closes() {
    let unframed = |seen: &RecordedRequest| {
        let id = seen.header("x-id").unwrap_or_default();
        let text = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: sig\r\n\r\nall of it");
        Step::Send(text.into_bytes())
    };
    let one = script(move |seen| vec![unframed(seen), Step::Close]).await;
    let relay = relay(
        vec![route("/a/", Idempotency::NonIdempotent, service())],
        vec![upstream("i1", "s", &one)],
    );
    assert_eq!(&*forwarded(relay.handle(request("/a/")).await).body, b"all of it");
}

#[tokio::test]
async fn an_address_reassigned_to_another_searcher_is_not_retried() {
    let other = script(|seen| not_run(seen, "421 Misdirected Request")).await;
    let good = script(|seen| ok(seen, "sig", b"mine")).await;
    let upstreams = vec![upstream("old", "s", &other), upstream("i2", "s", &good)];
    let relay = relay(vec![route("/a/", Idempotency::NonIdempotent, service())], upstreams);
    for _ in 0..6 {
        assert_eq!(&*forwarded(relay.handle(request("/a/")).await).body, b"mine");
    }
    assert!(other.requests().len() <= 1);
}

#[tokio::test]
async fn an_error_response_of_a_searcher_is_forwarded_with_its_status() {
    let failing = |seen: &RecordedRequest| {
        vec![Step::Send(reply(seen, "500 Internal Server Error", "sig", b"no"))]
    };
    let one = script(failing).await;
    let relay = relay(
        vec![route("/a/", Idempotency::NonIdempotent, service())],
        vec![upstream("i1", "s", &one)],
    );
    let answer = forwarded(relay.handle(request("/a/")).await);
    assert_eq!((answer.status.as_u16(), &*answer.body), (500, &b"no"[..]));
}

#[tokio::test]
async fn a_silent_searcher_is_hedged_before_the_target() {
    let silent = script(|_| vec![Step::Hang]).await;
    let good = script(|seen| ok(seen, "sig", b"there")).await;
    let upstreams = vec![upstream("i1", "s", &silent), upstream("i2", "s", &good)];
    let relay = relay(vec![route("/a/", Idempotency::Idempotent, service())], upstreams);
    for _ in 0..4 {
        assert_eq!(&*forwarded(relay.handle(request("/a/")).await).body, b"there");
    }
}

#[tokio::test]
async fn the_searcher_connection_is_closed_when_the_caller_disconnects() {
    let silent = script(|_| vec![Step::Hang]).await;
    let relay = relay(
        vec![route("/a/", Idempotency::NonIdempotent, service())],
        vec![upstream("i1", "s", &silent)],
    );
    let outcome = tokio::time::timeout(Duration::from_millis(100), relay.handle(request("/a/")));
    assert!(outcome.await.is_err(), "expected the caller to time out");
    for _ in 0..100 {
        if silent.closed_connections() == 1 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("connection was not closed");
}

#[tokio::test]
async fn a_draining_searcher_receives_no_new_requests() {
    let one = script(|seen| ok(seen, "sig", b"one")).await;
    let two = script(|seen| ok(seen, "sig", b"two")).await;
    let upstreams = vec![upstream("i1", "s", &one), upstream("i2", "s", &two)];
    let relay = relay(vec![route("/a/", Idempotency::Idempotent, service())], upstreams);
    let draining =
        bergamot_registry::Upstream { state: State::Draining, ..upstream("i1", "s", &one) };
    relay.with_registry(|registry| registry.publish(draining, Instant::now()));
    for _ in 0..6 {
        assert_eq!(&*forwarded(relay.handle(request("/a/")).await).body, b"two");
    }
    assert!(one.requests().is_empty());
}
