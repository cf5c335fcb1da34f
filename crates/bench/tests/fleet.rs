//! Fleet changes under load: leaving searchers, rolling replacement, configuration.

mod support;

use std::time::Duration;

use bergamot_base::Name;
use bergamot_bench::cluster::Cluster;
use bergamot_bench::history::Ending;
use bergamot_bench::load::Load;
use bergamot_standin::{Faults, Instance};
use support::{assert_invariants, settings, start, start_with, under_load, until};

const SECOND: Duration = Duration::from_secs(1);

fn searches(cluster: &Cluster, service: &str) -> usize {
    cluster.searchers_of(service).iter().step_by(2).map(|searcher| searcher.searches()).sum()
}

fn revisions(cluster: &Cluster) -> Vec<u64> {
    let nodes = cluster.instances.values().flat_map(|i| [i.entry.node(), i.gather.node()]);
    nodes
        .map(|node| node.active_document().map_or(0, |current| current.document.revision))
        .collect()
}

async fn all_have(cluster: &Cluster, revision: u64) {
    until(&format!("revision {revision} is in force everywhere"), || async {
        revisions(cluster).iter().all(|have| *have == revision)
    })
    .await;
}

/// Asserts that the even searchers of `queue-board` receive no new sub-queries a few seconds
/// after `mark` has marked them as leaving.
async fn assert_no_new_requests(cluster: &Cluster, mark: impl Future<Output = ()>) {
    let history = under_load(cluster, 6 * SECOND, async {
        tokio::time::sleep(SECOND).await;
        mark.await;
        // The requirement is "after a few seconds".
        tokio::time::sleep(3 * SECOND).await;
        let settled = searches(cluster, "queue-board");
        tokio::time::sleep(SECOND).await;
        assert_eq!(
            searches(cluster, "queue-board"),
            settled,
            "no new sub-queries after a few seconds"
        );
    })
    .await;
    assert_invariants(&history);
    // On a busy machine some answers are late, and are then marked as partial.
    assert!(
        history.count(Ending::Complete) * 2 > history.requests.len(),
        "the other replicas answer"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn searchers_that_report_leaving_receive_no_new_requests() {
    let cluster = start([61, 1]).await;
    let leaving = Faults { leaving: true, ..Faults::default() };
    assert_no_new_requests(&cluster, async {
        for searcher in cluster.searchers_of("queue-board").iter().step_by(2) {
            searcher.set_faults(leaving.clone());
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn searchers_listed_as_leaving_receive_no_new_requests_after_a_stale_list() {
    let cluster = start([61, 2]).await;
    let stale = cluster.deployment.list(0..8);
    let mut fresh = stale.clone();
    for searcher in cluster.searchers_of("queue-board").iter().step_by(2) {
        fresh.push(Instance {
            address: Name::from(searcher.address().to_string()),
            zone: Name::from("yvr-south-a"),
            state: Name::from("leaving"),
        });
    }
    assert_no_new_requests(&cluster, async {
        cluster.platform.set_instances(fresh);
        tokio::time::sleep(SECOND).await;
        // A stale list without the mark must not make them eligible again.
        cluster.platform.set_instances(stale);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_the_fleet_interrupts_no_request() {
    let mut cluster = start([61, 3]).await;
    let deployment = cluster.deployment.clone();
    let loaded = deployment.clone();
    let load = tokio::spawn(async move {
        bergamot_bench::load::run(&loaded, Load::of(&loaded, 18 * SECOND)).await
    });
    for round in 0..4 {
        let (old, new) = ([2 * round, 2 * round + 1], [8 + 2 * round, 9 + 2 * round]);
        for number in new {
            cluster.add(number).await.expect("the addresses are free");
        }
        cluster.platform.set_instances(deployment.list(2 * round + 2..10 + 2 * round));
        cluster.remove_all(&old).await;
    }
    let mut history = load.await.expect("the load ran to its end");
    cluster.collect(&mut history);
    assert_invariants(&history);
    let (_, over) = cluster.connections();
    assert_eq!(over, 0, "no connection above a limit while homes are replaced");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_document_is_active_on_all_instances_and_does_not_revert() {
    let cluster = start([61, 4]).await;
    let document = |revision| cluster.deployment.document(revision);
    cluster.platform.publish(&document(5));
    all_have(&cluster, 5).await;
    // The service returns an older document for a while.
    cluster.platform.set_stale(Some(&document(3)));
    tokio::time::sleep(2 * SECOND).await;
    assert!(revisions(&cluster).iter().all(|have| *have == 5), "a stale service changes nothing");
    cluster.platform.set_stale(None);
    // Two operators race: the higher revision wins regardless of the order of arrival.
    cluster.platform.publish(&document(8));
    // The service keeps only the last published document, so a revision counts as accepted
    // once a daemon has read it. From then on it must win everywhere.
    until("some daemon has revision 8", || async { revisions(&cluster).contains(&8) }).await;
    cluster.platform.publish(&document(7));
    all_have(&cluster, 8).await;
    tokio::time::sleep(2 * SECOND).await;
    assert!(
        revisions(&cluster).iter().all(|have| *have == 8),
        "the lower revision never comes back"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_is_rejected_and_the_active_one_is_kept() {
    let cluster = start([61, 5]).await;
    let good = cluster.deployment.document(2);
    let cut = &good[..good.len() / 2];
    let wrong =
        good.replace("\"slots\":2", "\"slots\":0").replace("\"revision\":2", "\"revision\":4");
    for faulty in [cut, &wrong] {
        cluster.platform.publish(faulty);
        tokio::time::sleep(2 * SECOND).await;
        assert!(revisions(&cluster).iter().all(|have| *have == 1), "revision 1 stays active");
    }
    cluster.platform.publish(&cluster.deployment.document(5));
    all_have(&cluster, 5).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_fetches_the_revision_from_peers_if_the_service_is_stale() {
    let mut cluster = start([61, 6]).await;
    let (old, new) = (cluster.deployment.document(1), cluster.deployment.document(6));
    cluster.platform.publish(&new);
    all_have(&cluster, 6).await;
    cluster.platform.set_stale(Some(&old));
    cluster.add(8).await.expect("the address is free");
    assert_eq!(
        revisions(&cluster).iter().min(),
        Some(&6),
        "the revision is fetched from peers before the instance serves"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_serves_and_grows_while_the_platform_is_down() {
    let mut cluster = start([61, 7]).await;
    cluster.platform.set_down(true);
    let history = under_load(&cluster, 3 * SECOND, async {}).await;
    assert_invariants(&history);
    cluster.platform.set_down(false);
    cluster.platform.publish(&cluster.deployment.document(2));
    all_have(&cluster, 2).await;
    cluster.add(8).await.expect("the address is free");
}

#[tokio::test(flavor = "multi_thread")]
async fn only_a_few_readers_query_the_configuration_service() {
    let cluster = start_with([61, 8], settings()).await;
    let before = cluster.platform.counts().document;
    cluster.platform.publish(&cluster.deployment.document(2));
    all_have(&cluster, 2).await;
    let reads = cluster.platform.counts().document - before;
    let daemons = 2 * cluster.instances.len() as u64;
    // Two readers in each of six zones renew their watch; direct reads are rare.
    assert!(reads <= 2 * daemons, "{reads} reads by {daemons} daemons for one change");
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_documents_of_one_revision_are_counted_and_not_applied() {
    let cluster = start([61, 9]).await;
    let first = cluster.deployment.document(3);
    cluster.platform.publish(&first);
    all_have(&cluster, 3).await;
    let hashes = |cluster: &Cluster| -> Vec<u64> {
        let nodes = cluster.instances.values().flat_map(|i| [i.entry.node(), i.gather.node()]);
        nodes.filter_map(|node| Some(node.active_document()?.document.hash)).collect()
    };
    let before = hashes(&cluster);
    cluster.platform.publish(&first.replace("\"deadline_ms\":150", "\"deadline_ms\":151"));
    until("a daemon has counted a clash", || async {
        let mut nodes = cluster.instances.values().map(|instance| instance.entry.node());
        nodes.any(|node| node.metrics().clashes.get() > 0)
    })
    .await;
    assert_eq!(hashes(&cluster), before, "the active document changed");
}
