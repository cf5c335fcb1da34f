//! Cluster start on a busy machine.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bergamot_bench::cluster::Cluster;
use bergamot_bench::deployment::Deployment;
use bergamot_bench::descriptors::Descriptors;
use bergamot_standin::Faults;
use support::{SEED, settings, under_load, wait_until_warm};

/// Guards against a warm-up that never completes: on a busy machine, the first writes may be
/// cut off by searchers and stay unknown for good. The warm-up must not depend on their keys.
#[tokio::test(flavor = "multi_thread")]
async fn warm_up_completes_after_writes_with_unknown_outcome() {
    let deployment = Deployment::fraser_basin([62, 1], SEED);
    let cluster = Cluster::start(deployment, settings())
        .await
        .expect("the address block is reserved for this test");
    let cut = Faults { cut_writes: 1.0, ..Faults::default() };
    for searcher in cluster.searchers_of("glycol-ledger") {
        searcher.set_faults(cut.clone());
    }
    let first = under_load(&cluster, Duration::from_millis(200), async {}).await;
    assert!(first.requests.iter().any(|request| request.key.is_some()), "a write was sent");
    for searcher in cluster.searchers_of("glycol-ledger") {
        searcher.set_faults(Faults::default());
    }
    wait_until_warm(&cluster).await;
}

/// Guards against running out of descriptors when tests start clusters concurrently. Nine
/// clusters share 20,000 descriptors; each needs 8,060 if its searchers hold all the
/// connections that they accept.
#[tokio::test]
async fn concurrent_clusters_stay_within_the_descriptor_limit() {
    let descriptors = Descriptors::new(20_000);
    let wanted = Deployment::fraser_basin([62, 2], SEED).descriptors();
    let (in_use, peak) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clusters = (0..9).map(|_| {
        let (descriptors, in_use, peak) =
            (descriptors.clone(), Arc::clone(&in_use), Arc::clone(&peak));
        tokio::spawn(async move {
            let _permit = descriptors.acquire(wanted).await;
            peak.fetch_max(in_use.fetch_add(wanted, Ordering::Relaxed) + wanted, Ordering::Relaxed);
            tokio::task::yield_now().await;
            in_use.fetch_sub(wanted, Ordering::Relaxed);
        })
    });
    futures::future::join_all(clusters).await;
    let peak = peak.load(Ordering::Relaxed);
    assert!(peak >= 2 * wanted, "clusters run concurrently: {peak}");
    assert!(peak < 20_000, "the limit is not exceeded: {peak}");
    assert_eq!(descriptors.available(), 19_500, "all descriptors are released");
}
