//! Starts of clusters beside whatever else the machine does.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bergamot_bench::cluster::Cluster;
use bergamot_bench::deployment::Deployment;
use bergamot_bench::descriptors::Descriptors;
use bergamot_standin::Faults;
use support::{SEED, settings, under_load, warm};

/// Requests of the first load are cut by searchers that a busy machine could not serve in time;
/// their writes stay unknown for good, and nothing else may wait for them.
#[tokio::test(flavor = "multi_thread")]
async fn a_cluster_whose_first_writes_ended_unknown_becomes_whole() {
    let deployment = Deployment::fraser_basin([62, 1], SEED);
    let cluster = Cluster::start(deployment, settings()).await.expect("the block is its own");
    let cut = Faults { cut_writes: 1.0, ..Faults::default() };
    for searcher in cluster.searchers_of("glycol-ledger") {
        searcher.set_faults(cut.clone());
    }
    let first = under_load(&cluster, Duration::from_millis(200), async {}).await;
    assert!(first.requests.iter().any(|request| request.key.is_some()), "something was written");
    for searcher in cluster.searchers_of("glycol-ledger") {
        searcher.set_faults(Faults::default());
    }
    warm(&cluster).await;
}

/// Nine tests start a cluster each where the process may have 20,000 descriptors; one takes
/// 8,060 if its searchers hold all the connections that they accept.
#[tokio::test]
async fn clusters_wait_for_the_descriptors_that_they_may_need() {
    let descriptors = Descriptors::new(20_000);
    let wanted = Deployment::fraser_basin([62, 2], SEED).descriptors();
    let (held, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clusters = (0..9).map(|_| {
        let (descriptors, held, most) = (descriptors.clone(), Arc::clone(&held), Arc::clone(&most));
        tokio::spawn(async move {
            let _taken = descriptors.take(wanted).await;
            most.fetch_max(held.fetch_add(wanted, Ordering::Relaxed) + wanted, Ordering::Relaxed);
            tokio::task::yield_now().await;
            held.fetch_sub(wanted, Ordering::Relaxed);
        })
    });
    futures::future::join_all(clusters).await;
    let most = most.load(Ordering::Relaxed);
    assert!(most >= 2 * wanted, "clusters run side by side: {most}");
    assert!(most < 20_000, "no more than there are: {most}");
    assert_eq!(descriptors.free(), 19_500, "what was taken is given back");
}
