//! A searcher that rejects requests at once, beside a sound one whose work takes longer than the target.
//!
//! Guards against false rejections that are returned at the target, while the sound searcher works, and
//! against a searcher that keeps all requests since the sound one never completes any.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::count_served;
use crate::support::{relay, reply, request, route, script, upstream};
use bergamot_declaration::{Idempotency, Target};
use bergamot_standin::Step;
use futures::future::join_all;

/// How many requests are sent one after the other.
const REQUESTS: usize = 12;

/// Returns how many requests are served, after as many mistakes of callers as stated.
async fn served(failure: &'static str, mistakes: usize) -> usize {
    let is_mistake = Arc::new(AtomicBool::new(true));
    let searcher = |fails: bool| {
        let is_mistake = Arc::clone(&is_mistake);
        script(move |seen| {
            if is_mistake.load(Ordering::SeqCst) {
                return vec![Step::Send(reply(seen, "404 Missing", "true", b""))];
            }
            if fails {
                return vec![Step::Send(reply(seen, failure, "false", b""))];
            }
            let work = Step::Wait(Duration::from_millis(450));
            vec![work, Step::Send(reply(seen, "200 OK", "good", b"body"))]
        })
    };
    let (failing, sound) = (searcher(true).await, searcher(false).await);
    let upstreams = vec![upstream("i1", "s", &failing), upstream("i2", "s", &sound)];
    let target = Target::Service("s".into());
    let relay = relay(vec![route("/a/", Idempotency::Idempotent, target)], upstreams);
    for _ in 0..mistakes {
        relay.handle(request("/a/")).await;
    }
    is_mistake.store(false, Ordering::SeqCst);
    count_served(&relay, REQUESTS).await
}

#[tokio::test]
async fn a_false_rejection_is_not_returned_while_a_slower_searcher_works() {
    let failures = ["500 Failed", "503 Full", "404 Missing", "302 Found"];
    let served = join_all(failures.map(|failure| served(failure, 0))).await;
    println!("served of {REQUESTS} beside {failures:?}: {served:?}");
    assert_eq!(served, [REQUESTS; 4]);
}

#[tokio::test]
async fn false_rejections_after_true_ones_are_soon_doubted() {
    let served = served("404 Missing", 40).await;
    println!("served of {REQUESTS} after mistakes: {served}");
    // Four in a row are believed, and the fifth is returned at the target.
    assert!(served >= REQUESTS - 5, "{served} of {REQUESTS} served");
}
