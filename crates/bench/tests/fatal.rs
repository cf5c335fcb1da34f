//! A query that ends the searchers that run it, through the own interface.
//!
//! What was seen: all searchers of an index ended, each time the query came again, since a retry,
//! a hedge or the caller's next attempt took it to the next replica. Cause: what a query had done
//! to its searchers was forgotten with the attempt, and no other gather heard of it.

mod support;

use std::time::Duration;

use bergamot_net::Client;
use bergamot_query::Shape;
use bergamot_standin::Faults;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use support::{start, until};

/// How often the query comes again.
const REPEATS: usize = 12;

/// How many searchers may end besides the first of each shard.
const TRIALS: usize = 3;

/// Asks the entry of an instance; returns the status and the body.
async fn ask(instance: std::net::Ipv4Addr, body: &'static str) -> (u16, String) {
    let (local, entry) = (std::net::Ipv4Addr::UNSPECIFIED, (instance, 7400).into());
    let mut client =
        Client::connect(local, entry, Duration::from_secs(1)).await.expect("the entry listens");
    let request = Request::post("/v1/fraser-basin/queue-board/query")
        .body(Full::new(Bytes::from_static(body.as_bytes())))
        .expect("a valid request");
    let reply = client.send(request).await.expect("an answer");
    (reply.status().as_u16(), String::from_utf8_lossy(reply.body()).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fatal_query_ends_one_searcher_a_shard_and_three_at_most() {
    let cluster = start([60, 9]).await;
    let board = cluster.searchers_of("queue-board");
    for searcher in &board {
        searcher.set_faults(Faults { fatal: Some(Shape::Top { k: 7 }), ..Faults::default() });
    }
    let instance = |turn: usize| cluster.deployment.instance(turn % 3);
    for turn in 0..REPEATS {
        ask(instance(turn), r#"{"shape": "top", "k": 7}"#).await;
        // The time to come back that a refusal names, or longer.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let shards = cluster.deployment.services[0].shards;
    let ended = board.iter().filter(|searcher| searcher.has_stopped()).count();
    assert!(ended <= shards + TRIALS, "{ended} searchers ended");
    // A trial may have taken the last searcher of its shard, and no other is missing.
    until("others are answered", || async {
        let (status, body) = ask(instance(0), r#"{"shape": "scan"}"#).await;
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let answered = answer["services"][0]["coverage"]["answered"].as_u64();
        status == 200 && answered.is_some_and(|answered| answered as usize >= shards - TRIALS)
    })
    .await;
    // The harmful one isn't run any more, though searchers are there.
    let before = board.iter().filter(|searcher| searcher.has_stopped()).count();
    let (_, body) = ask(instance(0), r#"{"shape": "top", "k": 7}"#).await;
    let after = board.iter().filter(|searcher| searcher.has_stopped()).count();
    assert_eq!(after, before, "{body}");
}
