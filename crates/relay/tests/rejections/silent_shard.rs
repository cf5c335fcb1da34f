//! A caller's mistake that all searchers reject, except one that is silent.
//!
//! Guards against a mistake that waits for the silent shard until its deadline, and is meanwhile tried at
//! the second searcher of every other shard.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::support::{gather, record, relay, reply, request, route, script, upstream};
use bergamot_declaration::Idempotency;
use bergamot_relay::Reply;
use bergamot_standin::Step;

const SHARDS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

#[tokio::test]
async fn a_silent_shard_does_not_hold_a_request_that_the_others_reject() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let (mut searchers, mut upstreams) = (Vec::new(), Vec::new());
    for shard in SHARDS {
        let arrivals = Arc::clone(&arrivals);
        let searcher = script(move |seen| {
            arrivals.fetch_add(1, Ordering::SeqCst);
            if shard == "a" {
                return vec![Step::Hang];
            }
            vec![Step::Send(reply(seen, "404 Missing", "signature", &record(1)))]
        });
        let searcher = searcher.await;
        for replica in ["1", "2"] {
            upstreams.push(upstream(&format!("{shard}{replica}"), shard, &searcher));
        }
        searchers.push(searcher);
    }
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&SHARDS, 0.5))];
    let relay = relay(routes, upstreams);
    let sent = Instant::now();
    let reply = relay.handle(request("/q/")).await;
    let (took, arrivals) = (sent.elapsed(), arrivals.load(Ordering::SeqCst));
    println!("{reply:?}, {took:?}, {arrivals} arrivals");
    assert!(matches!(reply, Reply::Refused(_)));
    // Two at the silent shard, and at most three tests; the deadline is 1.5 s.
    assert!(arrivals <= SHARDS.len() + 4, "{arrivals} arrivals");
    assert!(took < Duration::from_millis(750), "{took:?}");
}
