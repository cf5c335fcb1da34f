//! Gathers over one shard, and rejections that come late.
//!
//! Guards against a retry of a gathered request that is dropped at the target, or not made, since the
//! rejection at hand could be returned: for a gathered request it can't.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::support::{gather, record, relay, reply, request, route, script, upstream};
use bergamot_declaration::Idempotency;
use bergamot_relay::Reply;
use bergamot_standin::Step;

async fn is_served(first_ms: u64, second_ms: u64, failure: &'static str) -> bool {
    let asked = AtomicBool::new(false);
    let searcher = script(move |seen| {
        let (ms, status) = if asked.swap(true, Ordering::SeqCst) {
            (second_ms, "200 OK")
        } else {
            (first_ms, failure)
        };
        let wait = Step::Wait(Duration::from_millis(ms));
        vec![wait, Step::Send(reply(seen, status, "signature", &record(1)))]
    })
    .await;
    let upstreams = ["a", "b"].map(|id| upstream(id, "p", &searcher)).to_vec();
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, gather(&["p"], 1.0))], upstreams);
    matches!(relay.handle(request("/q/")).await, Reply::Merged(_))
}

#[tokio::test]
async fn a_gather_over_one_shard_keeps_its_second_attempt_past_the_target() {
    let with_500 = is_served(50, 500, "500 Failed").await;
    let with_404 = is_served(50, 500, "404 Missing").await;
    assert!(with_500 && with_404, "500: {with_500}, 404: {with_404}");
}
