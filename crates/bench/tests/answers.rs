//! Answers under faults: one snapshot, correct coverage, no mixed-up answers.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use bergamot_bench::history::{Ending, History};
use bergamot_net::Client;
use bergamot_standin::{Corpus, Faults, StatusFault};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use support::{assert_invariants, start, under_load, until};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(15);

fn versions(history: &History) -> HashSet<u64> {
    history.requests.iter().filter_map(|request| Some(request.answer.as_ref()?.version)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_rollout_during_queries_does_not_mix_versions() {
    let cluster = start([60, 1]).await;
    let history = under_load(&cluster, 5 * SECOND, async {
        for (_, searcher) in &cluster.searchers {
            searcher.set_versions([1, 2]);
            tokio::time::sleep(STEP).await;
        }
        for (_, searcher) in &cluster.searchers {
            searcher.set_versions([2]);
            tokio::time::sleep(STEP).await;
        }
    })
    .await;
    assert_invariants(&history);
    assert_eq!(versions(&history), HashSet::from([1, 2]), "both versions were read");
}

#[tokio::test(flavor = "multi_thread")]
async fn queries_recover_after_the_active_version_is_removed() {
    let cluster = start([60, 2]).await;
    let history = under_load(&cluster, 3 * SECOND, async {
        tokio::time::sleep(SECOND).await;
        // There is no overlap: the old version is gone before gathers learn of the new one.
        for (_, searcher) in &cluster.searchers {
            searcher.set_versions([2]);
        }
    })
    .await;
    assert_invariants(&history);
    assert!(versions(&history).contains(&2), "the new version is used");
    let late: Vec<_> =
        history.requests.iter().filter(|request| request.due_us > 2_500_000).collect();
    assert!(
        late.iter().all(|request| request.ending == Ending::Complete),
        "answers are complete again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn repartitioning_during_queries_does_not_mix_epochs() {
    let cluster = start([60, 3]).await;
    let spec = cluster.deployment.services[0].clone();
    let history = under_load(&cluster, 4 * SECOND, async {
        tokio::time::sleep(SECOND).await;
        // The new map reverses the order of the shards; searchers hold both epochs.
        for (number, searcher) in cluster.searchers_of(spec.name).into_iter().enumerate() {
            let position = spec.shards - 1 - number / spec.replicas;
            let Corpus { shards, documents, .. } =
                Corpus { position, shards: spec.shards, epoch: 2, documents: spec.documents };
            searcher.add_epoch(Corpus { position, shards, epoch: 2, documents });
        }
        cluster.platform.publish(&repartitioned(&cluster.deployment.document(2)));
    })
    .await;
    assert_invariants(&history);
    let epochs: HashSet<u64> = history
        .requests
        .iter()
        .filter_map(|request| Some(request.answer.as_ref()?.epoch))
        .collect();
    assert_eq!(epochs, HashSet::from([1, 2]), "both maps were used");
}

/// Reverses the shards of the first service under a new epoch.
fn repartitioned(document: &str) -> String {
    let mut document: serde_json::Value = serde_json::from_str(document).expect("valid JSON");
    let service = &mut document["workspaces"][0]["services"][0];
    service["epoch"] = 2.into();
    service["shards"].as_array_mut().expect("a list").reverse();
    document.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_with_replicas_that_report_a_wrong_version() {
    let cluster = start([60, 4]).await;
    let wrong_version = Faults { wrong_version: true, ..Faults::default() };
    let overclaiming = Faults { claimed: Some(vec![1, 9]), ..Faults::default() };
    for (number, (_, searcher)) in cluster.searchers.iter().enumerate() {
        match number % 4 {
            0 => searcher.set_faults(wrong_version.clone()),
            1 => searcher.set_faults(overclaiming.clone()),
            _ => {}
        }
    }
    let history = under_load(&cluster, 3 * SECOND, async {}).await;
    assert_invariants(&history);
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_with_truncated_shed_and_slow_replies() {
    let cluster = start([60, 5]).await;
    let faults =
        Faults { cut: 0.1, shed: 0.1, straggle: 0.1, straggle_factor: 30.0, ..Faults::default() };
    for (_, searcher) in &cluster.searchers {
        searcher.set_faults(faults.clone());
    }
    let history = under_load(&cluster, 4 * SECOND, async {}).await;
    assert_invariants(&history);
    let (_, over) = cluster.connections();
    assert_eq!(over, 0, "no connection above a limit");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shard_without_live_replicas_is_reported_missing() {
    let cluster = start([60, 6]).await;
    // Kills both replicas of the first shard.
    for searcher in &cluster.searchers_of("queue-board")[..2] {
        searcher.kill();
    }
    let history = under_load(&cluster, 2 * SECOND, async {}).await;
    assert_invariants(&history);
    let board = history.requests.iter().filter(|request| request.service.ends_with("queue-board"));
    for answer in board.filter_map(|request| request.answer.as_ref()) {
        assert_eq!((answer.complete, &*answer.missing), (false, &[0][..]), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_writes_end_as_unknown_and_run_at_most_once() {
    let cluster = start([60, 7]).await;
    let faults = Faults { cut_writes: 0.3, shed: 0.2, ..Faults::default() };
    for searcher in cluster.searchers_of("glycol-ledger") {
        searcher.set_faults(faults.clone());
    }
    let history = under_load(&cluster, 4 * SECOND, async {}).await;
    assert_invariants(&history);
    for ending in [Ending::Complete, Ending::Unknown, Ending::NotRun] {
        assert!(history.count(ending) > 0, "some writes end as {ending:?}");
    }
}

/// Guards against writes that all go to a replica that fails each of them, while another serves.
#[tokio::test(flavor = "multi_thread")]
async fn writes_move_to_a_replica_that_serves_them() {
    let cluster = start([63, 4]).await;
    let status = Some(StatusFault { share: 1.0, status: 500, not_run: false });
    for first_of_shard in cluster.searchers_of("glycol-ledger").into_iter().step_by(2) {
        first_of_shard.set_faults(Faults { status, ..Faults::default() });
    }
    let history = under_load(&cluster, 4 * SECOND, async {}).await;
    assert_invariants(&history);
    let writes = || history.requests.iter().filter(|request| request.key.is_some());
    let done = writes().filter(|request| request.ending == Ending::Complete).count();
    let sent = writes().count();
    // The failing replica must not draw more than its share of the writes.
    assert!(2 * done > sent, "{done} of {sent} writes are done");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_requests_to_searchers() {
    let cluster = start([60, 8]).await;
    // Searches take longer than the timeout of `until`, so only a cancellation ends them in time.
    let slow = Faults { slow_factor: 100_000.0, ..Faults::default() };
    let board = cluster.searchers_of("queue-board");
    for searcher in &board {
        searcher.set_faults(slow.clone());
    }
    let running = || board.iter().map(|searcher| searcher.running()).sum::<usize>();
    let entry = (cluster.deployment.instance(0), 7400).into();
    let caller = tokio::spawn(async move {
        let local = std::net::Ipv4Addr::UNSPECIFIED;
        let mut client = Client::connect(local, entry, SECOND).await.expect("the entry listens");
        let request = Request::post("/v1/fraser-basin/queue-board/query")
            .header("x-deadline-ms", "30000")
            .body(Full::new(Bytes::from_static(br#"{"shape": "scan"}"#)))
            .expect("a valid request");
        client.send(request).await
    });
    until("every shard is being searched", || async { running() >= 20 }).await;
    // The connection closes when its task is dropped.
    caller.abort();
    until("no shard is being searched any more", || async { running() == 0 }).await;
}
