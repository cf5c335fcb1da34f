//! Guards against a query that crashes every searcher of an index.
//!
//! Retries, hedges and the caller's own repeats send a fatal query to the next replica. All
//! searchers of an index crashed when a gather kept no record of the crashes beyond the attempt
//! and didn't share it with other gathers.

mod support;

use std::time::Duration;

use bergamot_bench::cluster::Cluster;
use bergamot_net::Client;
use bergamot_query::Shape;
use bergamot_standin::Faults;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use support::{settings, start, start_with, until};

/// How often the query is sent.
const REPEATS: usize = 12;

/// How many searchers may crash in addition to one per shard.
const EXTRA_CRASHES: usize = 3;

/// How long a listener stays open after the connections of a crashed searcher. Dials from the same
/// host take a fraction of that.
const LISTENER_LAG: Duration = Duration::from_millis(5);

/// Sends a query to the entry of an instance; returns the status and the body.
async fn query(instance: std::net::Ipv4Addr, body: &'static str) -> (u16, String) {
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
async fn a_fatal_query_crashes_at_most_one_searcher_per_shard_plus_three() {
    assert_crashes_are_bounded(start([60, 9]).await, Faults::default()).await;
}

/// Guards against crashes that are missed because a dial is still accepted or reset, after which
/// retries and further trials crash more searchers.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_bounded_while_listeners_close_after_the_connections() {
    let mut settings = settings();
    // The entry would otherwise query a second gather while the first one is still finding out
    // about the crashes, and that one doesn't know of them.
    settings.entry.failover = Duration::from_secs(1);
    let cluster = start_with([60, 10], settings).await;
    let faults = Faults { listener_lag: LISTENER_LAG, ..Faults::default() };
    assert_crashes_are_bounded(cluster, faults).await;
}

/// Sends a fatal query several times to searchers with the given faults, and checks how many crash.
async fn assert_crashes_are_bounded(cluster: Cluster, faults: Faults) {
    let board = cluster.searchers_of("queue-board");
    for searcher in &board {
        searcher.set_faults(Faults { fatal: Some(Shape::Top { k: 7 }), ..faults.clone() });
    }
    let instance = |turn: usize| cluster.deployment.instance(turn % 3);
    for turn in 0..REPEATS {
        query(instance(turn), r#"{"shape": "top", "k": 7}"#).await;
        // At least the retry-after time of a refusal.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let shards = cluster.deployment.services[0].shards;
    let ended = board.iter().filter(|searcher| searcher.has_stopped()).count();
    assert!(ended <= shards + EXTRA_CRASHES, "{ended} searchers ended");
    // An extra crash may have hit the last searcher of a shard; no other shard is missing.
    until("other queries are answered", || async {
        let (status, body) = query(instance(0), r#"{"shape": "scan"}"#).await;
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let answered = answer["services"][0]["coverage"]["answered"].as_u64();
        status == 200
            && answered.is_some_and(|answered| answered as usize >= shards - EXTRA_CRASHES)
    })
    .await;
    // The fatal query is not executed any more, even though searchers are available.
    let before = board.iter().filter(|searcher| searcher.has_stopped()).count();
    let (_, body) = query(instance(0), r#"{"shape": "top", "k": 7}"#).await;
    let after = board.iter().filter(|searcher| searcher.has_stopped()).count();
    assert_eq!(after, before, "{body}");
}
