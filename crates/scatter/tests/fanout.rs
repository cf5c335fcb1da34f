//! The division of the shards of one place among machines of unlike sizes.

use std::time::Duration;

use bergamot_policy::{Fanout, Policy};
use bergamot_scatter::{Worker, capacity, divide};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn sizes(parts: &[(usize, Vec<usize>)]) -> Vec<usize> {
    parts.iter().map(|(_, shards)| shards.len()).collect()
}

/// A strict request to 180 shards that reaches an eighth of a core: alone, it would spend more than
/// its target latency on its own processor.
#[test]
fn a_small_machine_processes_no_more_shards_than_fit_the_target() {
    let policy = Fanout::default();
    let each = capacity(MS * 70, 120, &policy);
    let spent = MS.mul_f64(each as f64 * policy.shard / 0.12);
    assert!(spent <= MS * 14, "{each} shards take {spent:?}");
    let workers: Vec<_> = (0..40).map(|member| Worker { member, capacity: each }).collect();
    let shards: Vec<usize> = (0..180).collect();
    let parts = divide(&shards, &workers, 2);
    assert!(sizes(&parts).iter().all(|size| *size <= each), "{:?}", sizes(&parts));
    assert_eq!(parts.len(), 180_usize.div_ceil(each));
}

/// A whole core, a lenient route or a small index need no help.
#[test]
fn shards_that_one_machine_can_process_in_time_stay_together() {
    let policy = Fanout::default();
    let shards: Vec<usize> = (0..20).collect();
    for (target, weight) in [(70, 250), (70, 1000), (190, 120)] {
        let each = capacity(MS * target, weight, &policy);
        let workers = [Worker { member: 0, capacity: each }, Worker { member: 1, capacity: each }];
        assert_eq!(divide(&shards, &workers, 2), [(0, shards.clone())], "{target} {weight}");
    }
}

/// Where too few machines are left, they share the shards by their sizes.
#[test]
fn too_few_machines_share_the_shards_in_proportion() {
    let workers = [Worker { member: 0, capacity: 20 }, Worker { member: 1, capacity: 80 }];
    let shards: Vec<usize> = (0..200).collect();
    assert_eq!(sizes(&divide(&shards, &workers, 2)), [40, 160]);
}

#[test]
fn a_machine_of_unknown_size_or_a_disabled_mechanism_sets_no_limit() {
    let off = Policy::default().without(&["fanout"]).expect("the mechanism exists").fanout;
    assert!(capacity(MS * 70, 0, &Fanout::default()) > 10_000);
    assert!(capacity(MS * 70, 120, &off) > 10_000);
}

proptest! {
    #[test]
    fn every_shard_is_assigned_once(
        count in 0_usize..400,
        capacities in proptest::collection::vec(0_usize..120, 1..12),
        fewest in 1_usize..4,
    ) {
        let shards: Vec<usize> = (0..count).collect();
        let worker = |(member, capacity): (usize, &usize)| Worker { member, capacity: *capacity };
        let workers: Vec<_> = capacities.iter().enumerate().map(worker).collect();
        let parts = divide(&shards, &workers, fewest);
        let assigned: Vec<usize> = parts.iter().flat_map(|(_, shards)| shards.clone()).collect();
        prop_assert_eq!(assigned, shards);
    }
}
