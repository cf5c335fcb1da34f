//! A searcher that rejects part of its requests, beside a sound one as near that was never asked.
//!
//! Guards against a searcher that keeps all requests that may run once, since no other one is measured.

use std::time::{Duration, Instant};

use crate::support::{relay, reply, request, route, script, upstream};
use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Reply, Request};
use bergamot_standin::Step;
use hyper::header::HeaderValue;

const REQUESTS: usize = 100;

/// Returns how many requests are served of those that arrive after the sound searcher has started. The
/// other one fails two of five at once.
async fn served(failure: &'static str) -> usize {
    let searcher = |failures: usize| {
        script(move |seen| {
            let number: usize =
                seen.header("x-id").and_then(|id| id[1..].parse().ok()).unwrap_or(0);
            if number % 5 < failures {
                return vec![Step::Send(reply(seen, failure, "failure", b""))];
            }
            let work = Step::Wait(Duration::from_millis(2));
            vec![work, Step::Send(reply(seen, "200 OK", "signature", b"body"))]
        })
    };
    let (failing, sound) = (searcher(2).await, searcher(0).await);
    let target = Target::Service("s".into());
    let routes = vec![route("/a/", Idempotency::NonIdempotent, target)];
    let relay = relay(routes, vec![upstream("i1", "s", &failing)]);
    let mut served = 0;
    for number in 0..20 + REQUESTS {
        relay.tick(1, true);
        if number == 20 {
            let sound = upstream("i2", "s", &sound);
            relay.with_registry(|registry| registry.publish(sound, Instant::now()));
        }
        let id = HeaderValue::from_str(&format!("r{number}")).expect("valid header value");
        let reply = relay.handle(Request { id, ..request("/a/") }).await;
        let is_served = matches!(reply, Reply::Forwarded(r) if r.status == 200);
        served += usize::from(is_served && number >= 20);
    }
    served
}

#[tokio::test]
async fn a_searcher_that_rejects_a_part_is_compared_with_one_as_near() {
    let (with_500, with_404) = (served("500 Failed").await, served("404 Missing").await);
    println!("served of {REQUESTS}: with 500 {with_500}, with 404 {with_404}");
    // Eight answers of the sound searcher make it a measure.
    assert!(with_404 + 16 >= with_500, "500: {with_500}, 404: {with_404}");
}
