//! Searchers that answer twice, or send bytes that belong to no request.
//!
//! Guards against an answer that is believed without evidence of whose it is: a caller got the
//! answer to another request, and a request that ran was treated as not run.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bergamot_declaration::{Idempotency, Target};
use bergamot_relay::{Relay, Reply, Request};
use bergamot_standin::{
    Answer, AnswerHeaders, RecordedRequest, ScriptedServer, Step, Stray, Stutter,
};
use bytes::Bytes;
use hyper::header::HeaderValue;
use support::{gather, relay, reply, request, route, script, upstream};

const HEADERS: AnswerHeaders =
    AnswerHeaders { id: "x-id", signature: "x-signature", not_run: "x-not-run" };

/// How many requests are sent one after the other in each case.
const REQUESTS: usize = 12;

/// The record of one shard for a request.
fn body(service: &str, id: &str) -> Vec<u8> {
    let mut record = format!("{id}{service}").into_bytes();
    record.resize(16, b'.');
    record
}

fn answer(service: &str, id: &str) -> Answer {
    Answer { status: "200 OK", signature: format!("{service}/{id}"), body: body(service, id) }
}

/// A searcher of a service that sends strays of a form.
async fn stuttering(service: &'static str, stray: Stray) -> ScriptedServer {
    let stutter = Stutter::new(HEADERS, stray);
    script(move |seen| stutter.respond(seen, |id| answer(service, id))).await
}

fn numbered(path: &'static str, number: usize) -> Request {
    let id = HeaderValue::from_str(&format!("r{number:04}")).expect("valid header value");
    Request { id, received: Instant::now(), ..request(path) }
}

/// How a sequence of requests ended.
#[derive(Debug, Default)]
struct Outcomes {
    served: usize,
    /// Answers that are not the request's own or not whole.
    wrong: Vec<String>,
}

impl Outcomes {
    fn record(&mut self, id: &str, reply: &Reply, services: &[&str]) {
        let (success, own) = match reply {
            Reply::Forwarded(response) => {
                let own = response.headers.get("x-signature");
                let service = services[0];
                let signature = format!("{service}/{id}");
                let own = own.is_some_and(|value| *value == signature.as_str())
                    && *response.body == *body(service, id)
                    && response.status == 200;
                (response.status.is_success(), own)
            }
            Reply::Merged(merged) => {
                let mut records: Vec<_> = services
                    .iter()
                    .filter(|service| {
                        let signature = format!("{service}/{id}");
                        merged.signatures.iter().any(|value| *value == signature.as_str())
                    })
                    .map(|service| body(service, id))
                    .collect();
                let complete = records.len() == merged.signatures.len()
                    && records.len() + merged.missing == services.len();
                records.sort();
                records.reverse();
                records.truncate(2);
                (true, complete && *merged.records == *records.concat())
            }
            Reply::Refused(_) => return,
        };
        if !own {
            self.wrong.push(format!("{id}: {reply:?}"));
        }
        self.served += usize::from(success && own);
    }
}

async fn send_all(relay: &Arc<Relay>, path: &'static str, services: &[&str]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for number in 0..REQUESTS {
        let request = numbered(path, number);
        let id = request.id.clone();
        let reply = relay.handle(request).await;
        outcomes.record(id.to_str().expect("text"), &reply, services);
        tokio::time::sleep(Duration::from_millis(12)).await;
    }
    outcomes
}

/// Returns how often each request ran, by all searchers.
fn runs(searchers: &[ScriptedServer]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    let seen = searchers.iter().flat_map(ScriptedServer::requests);
    for id in seen.filter_map(|seen: RecordedRequest| seen.header("x-id").map(str::to_owned)) {
        *runs.entry(id).or_default() += 1;
    }
    runs
}

/// Sends requests to one service with two searchers.
async fn send_to_one(kind: Idempotency, stray: Stray) -> (Outcomes, BTreeMap<String, usize>) {
    let searchers = vec![stuttering("s", stray).await, stuttering("s", stray).await];
    let upstreams = vec![upstream("i1", "s", &searchers[0]), upstream("i2", "s", &searchers[1])];
    let relay = relay(vec![route("/a/", kind, Target::Service("s".into()))], upstreams);
    let outcomes = send_all(&relay, "/a/", &["s"]).await;
    (outcomes, runs(&searchers))
}

/// Sends gathered requests over three shards with two searchers each.
async fn send_to_all(stray: Stray) -> Outcomes {
    let services = ["p", "q", "r"];
    let (mut searchers, mut upstreams) = (Vec::new(), Vec::new());
    for service in services {
        for replica in ["1", "2"] {
            let searcher = stuttering(service, stray).await;
            upstreams.push(upstream(&format!("{service}{replica}"), service, &searcher));
            searchers.push(searcher);
        }
    }
    let target = gather(&services, 0.6);
    let relay = relay(vec![route("/q/", Idempotency::Idempotent, target)], upstreams);
    send_all(&relay, "/q/", &services).await
}

/// Guards against the answer to another request, or a part of one, as the answer to an idempotent
/// request or as a part of a merged answer.
#[tokio::test]
async fn only_an_answer_that_names_an_idempotent_request_is_returned() {
    let mut wrong = Vec::new();
    for stray in Stray::ALL {
        let (plain, _) = send_to_one(Idempotency::Idempotent, stray).await;
        let gathered = send_to_all(stray).await;
        println!("{stray:?}: {} plain, {} gathered served", plain.served, gathered.served);
        let all = plain.wrong.into_iter().chain(gathered.wrong);
        wrong.extend(all.map(|wrong| format!("{stray:?}: {wrong}")));
    }
    assert!(wrong.is_empty(), "{} wrong answers: {wrong:#?}", wrong.len());
}

/// Guards against a "not run" that names nobody, after which a request ran twice or was refused
/// though it had run.
#[tokio::test]
async fn a_non_idempotent_request_runs_once_beside_stray_answers() {
    let mut wrong = Vec::new();
    for stray in Stray::ALL {
        let (outcomes, runs) = send_to_one(Idempotency::NonIdempotent, stray).await;
        println!("non-idempotent {stray:?}: {} of {REQUESTS} served", outcomes.served);
        wrong.extend(outcomes.wrong.into_iter().map(|wrong| format!("{stray:?}: {wrong}")));
        let twice = runs.into_iter().filter(|(_, count)| *count > 1);
        wrong.extend(twice.map(|(id, count)| format!("{stray:?}: {id} ran {count} times")));
    }
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

/// A searcher that answers with the request's body, and sends its answer once more before the next one
/// on the connection.
async fn repeating() -> ScriptedServer {
    let former = Mutex::<BTreeMap<usize, Vec<u8>>>::default();
    script(move |seen| {
        let own = reply(seen, "200 OK", "signature", &seen.body);
        let former = former.lock().expect("no test panics").insert(seen.connection, own.clone());
        former.into_iter().chain([own]).map(Step::Send).collect()
    })
    .await
}

/// Guards against the second answer to a request as that of a later one, for which its caller has
/// used the same identifier.
#[tokio::test]
async fn a_second_answer_is_not_that_of_a_later_request_with_the_same_identifier() {
    let target = || Target::Service("s".into());
    let cases = [
        (Idempotency::Idempotent, target()),
        (Idempotency::NonIdempotent, target()),
        (Idempotency::Idempotent, gather(&["s"], 1.0)),
    ];
    for (kind, target) in cases {
        let searcher = repeating().await;
        let relay = relay(vec![route("/a/", kind, target)], vec![upstream("i1", "s", &searcher)]);
        for number in 0..REQUESTS {
            let body = Bytes::from(format!("{number:016}"));
            let request = Request { body: body.clone(), ..request("/a/") };
            let records = match relay.handle(request).await {
                Reply::Forwarded(response) => response.body,
                Reply::Merged(merged) => merged.records,
                Reply::Refused(refusal) => panic!("{kind:?}: {number} ended with {refusal:?}"),
            };
            assert_eq!(records, body, "{kind:?}");
        }
    }
}
