//! Property tests: the invariants of `Merge` hold for any sequence of partial results.

use bergamot_base::{Entity, Name, Shard};
use bergamot_query::{Hit, Merge, Partial, Pin, Reason, Shape};
use proptest::prelude::*;

const PIN: Pin = Pin { revision: 3, epoch: 2, version: 7 };
const SHARDS: usize = 6;

/// Generates a partial result, possibly for a wrong snapshot or a shard that was not queried.
fn partial() -> impl Strategy<Value = Partial> {
    (0..SHARDS + 2, 6_u64..9, 1_u64..4, 0_u64..100).prop_map(|(shard, version, epoch, rank)| {
        let key = Name::from(format!("{shard}-{rank}"));
        let body = Name::from(format!("v{version}e{epoch}"));
        Partial {
            shard: Shard::from_index(shard),
            pin: Pin { version, epoch, ..PIN },
            documents: 1,
            hits: vec![Hit { key, rank, body }],
        }
    })
}

proptest! {
    #[test]
    fn only_results_for_the_pin_are_merged_and_each_shard_counts_once(
        partials in proptest::collection::vec(partial(), 0..30),
    ) {
        let asked = (0..SHARDS).map(|i| (Shard::from_index(i), i));
        let mut merge = Merge::new(PIN, SHARDS, asked);
        for partial in partials {
            merge.mark_missing(partial.shard, Reason::Busy);
            // Rejections are expected: the generator also produces invalid results.
            let _ = merge.offer(partial);
        }
        let is_complete = merge.is_complete();
        let outcome = merge.finish(&Shape::Scan);
        let stamp = format!("v{}e{}", PIN.version, PIN.epoch);
        prop_assert!(outcome.hits.iter().all(|hit| *hit.body == *stamp));
        let coverage = outcome.coverage;
        prop_assert_eq!(coverage.complete, is_complete);
        prop_assert_eq!(coverage.answered as u64, coverage.documents);
        prop_assert_eq!(coverage.answered, outcome.hits.len());
        prop_assert_eq!(coverage.answered + coverage.missing.len(), SHARDS);
    }
}
