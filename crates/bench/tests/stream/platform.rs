//! Searchers of the platform, through a relay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Cause, Relay, Reply, Request, Settings};
use bergamot_standin::{Answer, AnswerHeaders, Part, ScriptedServer};
use hyper::header::HeaderValue;
use proptest::prelude::*;

use crate::support::{here, no_members, relay_with, request, route, upstream};
use crate::{MEMORY, REQUESTS, block_on, config, limits, responses, runs, start_searcher};

const HEADERS: AnswerHeaders =
    AnswerHeaders { id: "x-id", signature: "x-signature", not_run: "x-not-run" };

fn answer(id: &str) -> Answer {
    let body = format!("answer to {id}").into_bytes();
    Answer { status: "200 OK", signature: format!("signed/{id}"), body }
}

fn start_relay(kind: Idempotency, searchers: &[ScriptedServer; 2]) -> Arc<Relay> {
    let settings = Settings { response_limits: limits(), response_memory_bytes: MEMORY, ..here() };
    let upstreams = vec![upstream("i1", "s", &searchers[0]), upstream("i2", "s", &searchers[1])];
    let routes = vec![route("/a/", kind, Target::Service("s".into()))];
    relay_with(&settings, no_members(), routes, upstreams)
}

fn numbered(number: usize) -> Request {
    let id = HeaderValue::from_str(&format!("r{number:04}")).expect("valid header value");
    let deadline = Some(Duration::from_millis(120));
    Request { id, deadline, received: Instant::now(), ..request("/a/") }
}

/// Sends the requests of a case and returns what is wrong.
async fn run_case(kind: Idempotency, responses: [Vec<Vec<Part>>; 2]) -> Vec<String> {
    let [first, second] = responses;
    let searchers = [
        start_searcher(HEADERS, answer, first).await,
        start_searcher(HEADERS, answer, second).await,
    ];
    let relay = start_relay(kind, &searchers);
    let (mut wrong, mut not_run) = (Vec::new(), Vec::new());
    for number in 0..REQUESTS {
        let request = numbered(number);
        let id = request.id.to_str().expect("text").to_owned();
        match relay.handle(request).await {
            Reply::Forwarded(response) => {
                let is_signed = response
                    .headers
                    .get("x-signature")
                    .is_some_and(|value| *value == format!("signed/{id}").as_str());
                if !is_signed || *response.body != *answer(&id).body {
                    wrong.push(format!("{id} got {} {:?}", response.status, response.body));
                }
            }
            Reply::Refused(refusal) if refusal.cause == Cause::NotRun => not_run.push(id),
            Reply::Refused(_) | Reply::Merged(_) => {}
        }
    }
    let runs = runs(HEADERS.id, &searchers);
    wrong.extend(not_run.iter().filter(|id| runs.contains_key(*id)).map(|id| format!("{id} ran")));
    if kind == Idempotency::NonIdempotent {
        let twice = runs.iter().filter(|(_, runs)| **runs > 1);
        wrong.extend(twice.map(|(id, runs)| format!("{id} ran {runs} times")));
    }
    let peak = relay.response_memory().peak;
    if peak > MEMORY {
        wrong.push(format!("answers held {peak} bytes"));
    }
    wrong
}

proptest! {
    #![proptest_config(config())]

    /// Guards against any stream of bytes that yields an answer which is not whole or not the
    /// request's own, a request that runs twice, or memory beyond the bound.
    #[test]
    fn answers_are_whole_and_own_whatever_searchers_send(
        first in responses(),
        second in responses(),
        is_idempotent in any::<bool>(),
    ) {
        let kind = if is_idempotent { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
        let wrong = block_on(run_case(kind, [first, second]));
        prop_assert!(wrong.is_empty(), "{wrong:#?}");
    }
}
