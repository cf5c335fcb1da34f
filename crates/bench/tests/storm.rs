//! A short fixed set of fault pairs; `bergamot-bench storm` runs longer ones.

mod support;

use bergamot_bench::history::History;
use bergamot_bench::storm::Storm;
use support::{SEED, assert_held, settings};

#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults_break_no_promise() {
    let mut storm =
        Storm::start(SEED, [62, 1], settings()).await.expect("the block is this test's own");
    let mut whole = History::default();
    for _ in 0..4 {
        let (history, faults) = storm.round().await.expect("the stand-ins come back");
        println!("{SEED:?}: {faults:?}");
        whole.requests.extend(history.requests);
    }
    let (_, over) = storm.finish(&mut whole);
    assert_held(&whole);
    assert_eq!(over, 0, "no connection above a limit");
}
