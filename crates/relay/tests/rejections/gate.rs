//! A request under which a searcher has ended, and which other searchers reject.
//!
//! Guards against two waits for each other: a race that holds the trial after a crash waits until the
//! other shards show whether the request is at fault, and these wait for the end of the trial.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::support::{gather, record, relay, reply, request, route, script, upstream};
use bergamot_declaration::Idempotency;
use bergamot_relay::Reply;
use bergamot_standin::{ScriptedServer, Step};

/// A shard's searchers: the first that is asked answers with the first status after its time, the
/// other one with the second.
async fn shard(first: (u64, &'static str), second: (u64, &'static str)) -> ScriptedServer {
    let asked = AtomicBool::new(false);
    script(move |seen| {
        let (ms, status) = if asked.swap(true, Ordering::SeqCst) { second } else { first };
        let wait = Step::Wait(Duration::from_millis(ms));
        vec![wait, Step::Send(reply(seen, status, "signature", &record(1)))]
    })
    .await
}

async fn play(failure: &'static str) -> (Reply, Duration) {
    let crash = script(|_| vec![Step::Wait(Duration::from_millis(30)), Step::Crash]).await;
    // The first rejection is tested by a searcher that rejects the request too.
    let q = shard((0, failure), (150, failure)).await;
    let r = shard((70, failure), (0, "200 OK")).await;
    let s = shard((90, "500 Failed"), (0, "200 OK")).await;
    let mut upstreams = vec![upstream("p1", "p", &crash)];
    for (name, searcher) in [("q", &q), ("r", &r), ("s", &s)] {
        for replica in ["a", "b"] {
            upstreams.push(upstream(&format!("{name}{replica}"), name, searcher));
        }
    }
    let target = gather(&["p", "q", "r", "s"], 0.5);
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, target)], upstreams);
    let sent = Instant::now();
    (relay.handle(request("/q/")).await, sent.elapsed())
}

#[tokio::test]
async fn a_trial_after_a_crash_does_not_wait_for_shards_that_wait_for_it() {
    let mut faults = Vec::new();
    for failure in ["500 Failed", "404 Missing"] {
        let (reply, took) = play(failure).await;
        println!("{failure}: {reply:?}, {took:?}");
        if !matches!(reply, Reply::Merged(_)) || took > Duration::from_millis(700) {
            faults.push(format!("{failure}: {reply:?}, {took:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
