//! Members that are restarted while other members hold tokens of theirs.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bergamot_declaration::{Idempotency, Residency};
use bergamot_relay::Relay;
use bergamot_standin::{ScriptedServer, Step};
use bergamot_wire::ShardQuery;
use support::{gather, ok, record, relay_in, route, script, shard_query, upstream};

/// A searcher that answers after some time with two records, given by a byte of the path.
async fn searcher(time: Duration) -> ScriptedServer {
    script(move |seen| {
        let path = seen.head.split(' ').nth(1).unwrap_or_default();
        let byte = path.as_bytes().last().copied().unwrap_or_default();
        let records = [record(byte), record(byte - 1)].concat();
        [vec![Step::Wait(time)], ok(seen, "signature", &records)].concat()
    })
    .await
}

/// One run of a member.
fn run(searcher: &ScriptedServer) -> Arc<Relay> {
    let routes = vec![route("/q/", Idempotency::Idempotent, gather(&["a"], 1.0))];
    relay_in("here", routes, vec![upstream("a-here", "a", searcher)])
}

/// A query of which the member holds back one record.
fn query(uri: &str) -> ShardQuery {
    ShardQuery { uri: uri.to_owned(), enough: 1, ..shard_query(&["a"]) }
}

/// Guards against a restarted member handing out, for a token of its earlier run, the records that
/// it holds back for another request.
#[tokio::test]
async fn a_token_for_records_is_unknown_to_the_next_run_of_the_member() {
    let searcher = searcher(Duration::ZERO).await;
    let (former, current) = (run(&searcher), run(&searcher));
    let held = former.answer_shard_query(query("/q/z"), Residency::default()).await.left_out;
    let other = current.answer_shard_query(query("/q/m"), Residency::default()).await.left_out;
    assert!(held != 0 && other != 0, "both runs hold a record back");
    assert_eq!(current.take_left_out_records(held), None);
    assert_eq!(current.take_left_out_records(other), Some(record(b'l')));
}

/// Guards against a restarted member handing out, for a token of its earlier run, shards that
/// arrive late for another request.
#[tokio::test]
async fn a_token_for_late_shards_is_unknown_to_the_next_run_of_the_member() {
    let searcher = searcher(Duration::from_millis(100)).await;
    let (former, current) = (run(&searcher), run(&searcher));
    let soon = |uri| ShardQuery { answer_within: Duration::from_millis(20), ..query(uri) };
    let running = former.answer_shard_query(soon("/q/z"), Residency::default()).await.rest;
    let other = current.answer_shard_query(soon("/q/m"), Residency::default()).await.rest;
    assert!(running != 0 && other != 0, "the searcher is still at work for both runs");
    assert_eq!(current.next_late_shards(running).await, Vec::new());
    assert_eq!(current.next_late_shards(other).await.len(), 1);
}
