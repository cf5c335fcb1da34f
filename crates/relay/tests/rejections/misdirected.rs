//! A searcher that answers requests that are meant for it with status 421, naming itself.
//!
//! Guards against a searcher that fails some requests with this status and counts as ended for ever,
//! though the status alone says so and the name beside it says otherwise.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::support::{ok, relay, request, route, script, upstream};
use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Cause, Reply};
use bergamot_standin::Step;

/// Sends ten requests to a searcher that answers the first with 421 as the one that is named. Returns
/// how many are served.
async fn served(named: &'static str) -> usize {
    let asked = AtomicUsize::new(0);
    let searcher = script(move |seen| {
        if asked.fetch_add(1, Ordering::SeqCst) > 0 {
            return ok(seen, "signature", b"body");
        }
        let id = seen.header("x-id").unwrap_or_default();
        let head = format!("HTTP/1.1 421 Misdirected\r\nx-id: {id}\r\nx-searcher: {named}\r\n");
        vec![Step::Send(format!("{head}content-length: 0\r\n\r\n").into_bytes())]
    })
    .await;
    let target = Target::Service("s".into());
    let routes = vec![route("/a/", Idempotency::NonIdempotent, target)];
    let relay = relay(routes, vec![upstream("i1", "s", &searcher)]);
    let mut served = 0;
    for _ in 0..10 {
        match relay.handle(request("/a/")).await {
            Reply::Forwarded(response) => served += usize::from(response.status == 200),
            Reply::Refused(refusal) => assert_eq!(refusal.cause, Cause::NotRun),
            Reply::Merged(_) => panic!("not a gather"),
        }
    }
    served
}

#[tokio::test]
async fn a_searcher_that_names_itself_has_not_ended() {
    assert_eq!(served("i1").await, 9);
    assert_eq!(served("another").await, 0);
}
