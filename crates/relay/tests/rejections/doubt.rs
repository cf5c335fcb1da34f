//! Requests whose first searchers all reject them, while the test of another searcher shows nothing.
//!
//! Guards against a test that failed for a reason of its own, or that hangs, and then counts as the
//! proof that the request is at fault.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::support::{gather, not_run, record, relay, reply, request, route, script, upstream};
use bergamot_declaration::Idempotency;
use bergamot_relay::Reply;
use bergamot_standin::{RecordedRequest, ScriptedServer, Step};

const SHARDS: [&str; 4] = ["p", "q", "r", "s"];

/// The answer of the searcher that is asked to test the request.
#[derive(Clone, Copy, Debug)]
enum Test {
    Fails,
    IsShed,
    Hangs,
    Resets,
}

fn test_answer(test: Test, seen: &RecordedRequest) -> Vec<Step> {
    match test {
        Test::Fails => vec![Step::Send(reply(seen, "500 Failed", "failure", b""))],
        Test::IsShed => not_run(seen, "503 Full"),
        Test::Hangs => vec![Step::Wait(Duration::from_secs(5))],
        Test::Resets => vec![Step::Reset],
    }
}

/// Each shard has two searchers. The first that is asked rejects the request, the second has it,
/// except the first of all second ones, which shows nothing.
async fn play(status: &'static str, test: Test) -> (Reply, Duration, usize) {
    let seconds = Arc::new(AtomicUsize::new(0));
    let (mut searchers, mut upstreams) = (Vec::<ScriptedServer>::new(), Vec::new());
    for shard in SHARDS {
        let (asked, seconds) = (AtomicBool::new(false), Arc::clone(&seconds));
        let searcher = script(move |seen| {
            if !asked.swap(true, Ordering::SeqCst) {
                return vec![Step::Send(reply(seen, status, "failure", b""))];
            }
            if seconds.fetch_add(1, Ordering::SeqCst) == 0 {
                return test_answer(test, seen);
            }
            vec![Step::Send(reply(seen, "200 OK", "good", &record(1)))]
        })
        .await;
        for replica in ["a", "b"] {
            upstreams.push(upstream(&format!("{shard}{replica}"), shard, &searcher));
        }
        searchers.push(searcher);
    }
    let target = gather(&SHARDS, 0.5);
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, target)], upstreams);
    let sent = Instant::now();
    let reply = relay.handle(request("/q/")).await;
    let arrivals = searchers.iter().map(|searcher| searcher.requests().len()).sum();
    (reply, sent.elapsed(), arrivals)
}

async fn check(test: Test) {
    let mut faults = Vec::new();
    for status in ["500 Failed", "404 Missing"] {
        let (reply, took, arrivals) = play(status, test).await;
        let served = match &reply {
            Reply::Merged(merged) => format!("merged, {} missing", merged.missing),
            other => format!("{other:?}"),
        };
        println!("{test:?}, first {status}: {served}, {took:?}, {arrivals} arrivals");
        if !matches!(reply, Reply::Merged(_)) || took > Duration::from_millis(700) {
            faults.push(format!("first {status}: {served}, {took:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[tokio::test]
async fn a_test_that_fails_proves_nothing() {
    check(Test::Fails).await;
}

#[tokio::test]
async fn a_test_that_is_shed_proves_nothing() {
    check(Test::IsShed).await;
}

#[tokio::test]
async fn a_test_that_hangs_does_not_hold_the_request() {
    check(Test::Hangs).await;
}

#[tokio::test]
async fn a_test_that_is_reset_proves_nothing() {
    check(Test::Resets).await;
}
