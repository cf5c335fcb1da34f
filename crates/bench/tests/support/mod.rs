//! Runs a cluster in this process under load with faults, and checks its history.

#![allow(dead_code, reason = "each test file uses a part of the support")]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamot_base::Seed;
use bergamot_bench::check::{Invariant, Violation, check};
use bergamot_bench::cluster::Cluster;
use bergamot_bench::deployment::Deployment;
use bergamot_bench::history::{Ending, History};
use bergamot_bench::load::{self, Load};
pub use bergamot_bench::wait::until;
use bergamot_config::Settings;

/// The seed of all tests, so that a failure can be reproduced.
pub const SEED: Seed = Seed(7);

/// The duration of the load that tests whether everything is connected.
const WARM_UP_LOAD: Duration = Duration::from_millis(200);

/// Returns settings with short periods, so that tests are short.
pub fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.control.probe = Duration::from_millis(100);
    settings.control.answer = Duration::from_millis(40);
    settings.control.suspicion = Duration::from_millis(400);
    settings.control.direct = Duration::from_secs(1);
    settings.platform.poll = Duration::from_millis(300);
    settings.gather.status = Duration::from_millis(100);
    settings.entry.address_ttl = Duration::from_millis(300);
    settings
}

/// Starts Fraser Basin at full size and waits until every searcher is connected.
pub async fn start(block: [u8; 2]) -> Cluster {
    start_with(block, settings()).await
}

/// Like [`start`], with the given settings.
pub async fn start_with(block: [u8; 2], settings: Settings) -> Cluster {
    let deployment = Deployment::fraser_basin(block, SEED);
    let cluster = Cluster::start(deployment, settings)
        .await
        .expect("the address block is reserved for this test");
    wait_until_warm(&cluster).await;
    cluster
}

/// Sends short loads until one of them is complete.
///
/// Each load has another seed: idempotency keys are derived from the seed, and a key with an
/// unknown outcome stays unknown however often its write is repeated.
pub async fn wait_until_warm(cluster: &Cluster) {
    let seeds = AtomicU64::new(SEED.0 + 1);
    until("a short load is complete", || async {
        let seed = Seed(seeds.fetch_add(1, Ordering::Relaxed));
        let load = Load { seed, ..Load::of(&cluster.deployment, WARM_UP_LOAD) };
        let history = load::run(&cluster.deployment, load).await;
        !history.requests.is_empty() && history.count(Ending::Complete) == history.requests.len()
    })
    .await;
}

/// Runs load concurrently with a script of faults; returns the history with the effects.
pub async fn under_load(
    cluster: &Cluster,
    time: Duration,
    script: impl Future<Output = ()>,
) -> History {
    let load = load::run(&cluster.deployment, Load::of(&cluster.deployment, time));
    let (mut history, ()) = futures::future::join(load, script).await;
    cluster.collect(&mut history);
    history
}

/// Asserts that no invariant was violated and that some requests were complete.
pub fn assert_invariants(history: &History) {
    assert_invariants_except(history, |_| false);
}

/// Like [`assert_invariants`], ignoring expected violations.
pub fn assert_invariants_except(history: &History, expected: impl Fn(&Violation) -> bool) {
    let violations: Vec<_> = check(history).into_iter().filter(|v| !expected(v)).collect();
    let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "seed {SEED:?}:\n{}", lines.join("\n"));
    let complete = history.count(Ending::Complete);
    assert!(complete > 0, "a request was complete");
}

/// Returns whether a violation is a lost request.
pub fn is_loss(violation: &Violation) -> bool {
    violation.invariant == Invariant::NoLoss
}
