//! Tests of deadlines, pause detection, tables and hashes.

use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Entity, PauseDetector, Searcher, Shard, Table, hash_parts};

#[test]
fn subtracting_a_margin_makes_a_deadline_earlier() {
    let now = Instant::now();
    let deadline = Deadline::after(now, Duration::from_millis(50));
    let inner = deadline.with_margin(Duration::from_millis(10));
    assert_eq!(inner.remaining(now), Duration::from_millis(40));
    assert!(inner < deadline);
    assert!(deadline.has_passed(now + Duration::from_millis(50)));
}

#[test]
fn only_gaps_above_the_threshold_are_reported() {
    let start = Instant::now();
    let mut detector = PauseDetector::new(start, Duration::from_millis(100));
    let later = start + Duration::from_millis(90);
    assert_eq!(detector.tick(later), None);
    let resumed = later + Duration::from_secs(5);
    assert!(detector.was_paused(resumed));
    assert_eq!(detector.tick(resumed), Some(Duration::from_secs(5)));
    assert_eq!(detector.tick(resumed + Duration::from_millis(50)), None);
}

#[test]
fn table_entities_are_numbered_in_order() {
    let mut table = Table::<Shard, &str>::new();
    let first = table.push("a");
    let second = table.push("b");
    assert_eq!((first.to_string(), second.to_string()), ("shard0".into(), "shard1".into()));
    assert_eq!(table[second], "b");
    assert_eq!(table.get(Shard::from_index(2)), None);
    assert_eq!(Searcher::from_index(3).to_string(), "searcher3");
}

#[test]
fn hash_of_parts_depends_on_their_boundaries() {
    let left: [&[u8]; 2] = [b"ab", b"c"];
    let right: [&[u8]; 2] = [b"a", b"bc"];
    assert_ne!(hash_parts(left), hash_parts(right));
}
