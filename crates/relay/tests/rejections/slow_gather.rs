//! Shards whose first searchers reject at once, and whose second ones work for long.
//!
//! Guards against shards that wait for a single test of the request, and come too late or not at all.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::support::{gather, record, relay, reply, request, route, script, upstream};
use bergamot_declaration::Idempotency;
use bergamot_relay::Reply;
use bergamot_standin::Step;

const SHARDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// The first searcher of each shard fails at once, the second takes `work_ms`.
async fn missing(failure: &'static str, work_ms: u64) -> Option<usize> {
    let (mut searchers, mut upstreams) = (Vec::new(), Vec::new());
    for shard in SHARDS {
        let asked = AtomicBool::new(false);
        let searcher = script(move |seen| {
            if !asked.swap(true, Ordering::SeqCst) {
                return vec![Step::Send(reply(seen, failure, "failure", b""))];
            }
            let work = Step::Wait(Duration::from_millis(work_ms));
            vec![work, Step::Send(reply(seen, "200 OK", "good", &record(1)))]
        })
        .await;
        for replica in ["1", "2"] {
            upstreams.push(upstream(&format!("{shard}{replica}"), shard, &searcher));
        }
        searchers.push(searcher);
    }
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.5))], upstreams);
    let sent = Instant::now();
    let reply = relay.handle(request("/q/")).await;
    let missing = if let Reply::Merged(merged) = reply { Some(merged.missing) } else { None };
    println!("{failure}, work {work_ms} ms: {missing:?} missing after {:?}", sent.elapsed());
    missing
}

#[tokio::test]
async fn shards_come_as_often_after_a_404_as_after_a_500() {
    for work_ms in [20, 150, 300] {
        let (with_500, with_404) =
            (missing("500 Failed", work_ms).await, missing("404 Missing", work_ms).await);
        assert_eq!(with_404, with_500, "work {work_ms} ms");
    }
}
