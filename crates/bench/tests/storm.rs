//! Runs a short fixed set of fault pairs; `bergamot-bench storm` runs longer ones.

mod support;

use bergamot_bench::history::History;
use bergamot_bench::storm::Storm;
use support::{SEED, assert_invariants, settings};

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_pairs_of_faults() {
    let mut storm = Storm::start(SEED, [62, 1], settings())
        .await
        .expect("the address block is reserved for this test");
    let mut total = History::default();
    for _ in 0..4 {
        let (history, faults) = storm.round().await.expect("the stand-ins restart");
        println!("{SEED:?}: {faults:?}");
        total.requests.extend(history.requests);
    }
    let (_, over_limit) = storm.finish(&mut total);
    assert_invariants(&total);
    assert_eq!(over_limit, 0, "no connection above a limit");
}
