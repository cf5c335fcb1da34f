//! Which shards are left out of a request to 90 shards with a target of 200 ms, of which 5 ms is the
//! usual latency.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamot_dispatch::{binding_shard, leave_out};
use bergamot_policy::LeaveOut;

const TARGET: Duration = Duration::from_millis(200);
const SHARDS: usize = 90;

/// The required shards at a coverage of 0.85 and of 0.95.
const LOOSE: usize = 77;
const STRICT: usize = 86;

/// Latencies of which the first ones are given.
fn delays(slow: &[f64]) -> Vec<Option<f64>> {
    let usual = std::iter::repeat_n(5.0, SHARDS - slow.len());
    slow.iter().copied().chain(usual).map(Some).collect()
}

/// A policy that queries none of the shards that would be left out.
fn policy() -> LeaveOut {
    LeaveOut { least: 0.0, ..LeaveOut::default() }
}

fn select(delays: &[Option<f64>], fewest: usize, policy: &LeaveOut) -> BTreeSet<usize> {
    leave_out(delays, fewest, TARGET, policy, rand::random).into_iter().collect()
}

/// Guards against shards that are left out while nothing is short, or while it is switched off.
#[test]
fn shards_that_can_answer_in_time_are_queried() {
    assert!(select(&delays(&[300.0; 90]), LOOSE, &policy()).is_empty());
    assert_eq!(select(&delays(&[301.0; 90]), LOOSE, &policy()).len(), SHARDS - LOOSE);
    let late = leave_out(&delays(&[]), LOOSE, Duration::ZERO, &policy(), rand::random);
    assert!(late.is_empty());
    let off = LeaveOut { on: false, ..policy() };
    assert!(select(&delays(&[900.0; 10]), LOOSE, &off).is_empty());
}

/// Guards against answers that miss their coverage because of shards that were left out, for one
/// binding shard, ten and all, on two routes of different coverage.
#[test]
fn the_slowest_shards_are_left_out_as_far_as_the_coverage_allows() {
    assert_eq!(select(&delays(&[900.0]), STRICT, &policy()), BTreeSet::from([0]));
    let ten: Vec<f64> = (0..10).map(|shard| 1300.0 - 100.0 * f64::from(shard)).collect();
    assert_eq!(select(&delays(&ten), STRICT, &policy()), (0..4).collect());
    assert_eq!(select(&delays(&ten), LOOSE, &policy()), (0..10).collect());
    assert_eq!(select(&delays(&[900.0; 90]), LOOSE, &policy()).len(), SHARDS - LOOSE);
    assert!(select(&delays(&[900.0; 90]), SHARDS, &policy()).is_empty());
}

/// Guards against leaving out shards on top of those without a searcher, which the coverage has to
/// spare as well.
#[test]
fn shards_without_a_searcher_use_up_what_the_coverage_spares() {
    let mut delays = delays(&[900.0; 10]);
    delays[SHARDS - 3..].fill(None);
    assert_eq!(select(&delays, STRICT, &policy()).len(), 1);
}

/// Guards against the same shards missing from every answer while ten are equally slow.
#[test]
fn the_choice_among_equally_slow_shards_varies() {
    let delays = delays(&[900.0; 10]);
    let chosen: BTreeSet<usize> =
        (0..100).flat_map(|_| select(&delays, STRICT, &policy())).collect();
    assert_eq!(chosen, (0..10).collect());
}

/// Guards against a shard that has recovered and is never queried again.
#[test]
fn some_of_the_slow_shards_are_queried() {
    let delays = delays(&[900.0]);
    let left_out = (0..2000).filter(|_| !select(&delays, LOOSE, &LeaveOut::default()).is_empty());
    // The bounds are five standard deviations from 0.85.
    assert!((1620..=1780).contains(&left_out.count()));
}

/// Guards against a refusal that names a shard which the request could do without.
#[test]
fn the_binding_shard_is_the_slowest_that_is_needed() {
    let mut delays = delays(&[900.0, 400.0, 700.0, 800.0, 600.0]);
    assert_eq!(binding_shard(&delays, STRICT), Some(1));
    delays[0] = None;
    assert_eq!(binding_shard(&delays, SHARDS - 1), Some(3));
    assert_eq!(binding_shard(&delays, SHARDS), None);
}
