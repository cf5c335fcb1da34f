//! Tests of the shared foundations.

use std::time::{Duration, Instant};

use bergamot_base::{Deadline, Entity, Pulse, Searcher, Shard, Table, hash_parts};

#[test]
fn deadline_never_grows_when_a_margin_is_taken() {
    let now = Instant::now();
    let deadline = Deadline::after(now, Duration::from_millis(50));
    let inner = deadline.less(Duration::from_millis(10));
    assert_eq!(inner.left(now), Duration::from_millis(40));
    assert!(inner < deadline);
    assert!(deadline.passed(now + Duration::from_millis(50)));
}

#[test]
fn pulse_reports_only_gaps_above_its_limit() {
    let start = Instant::now();
    let mut pulse = Pulse::new(start, Duration::from_millis(100));
    let later = start + Duration::from_millis(90);
    assert_eq!(pulse.beat(later), None);
    let woken = later + Duration::from_secs(5);
    assert!(pulse.slept(woken));
    assert_eq!(pulse.beat(woken), Some(Duration::from_secs(5)));
    assert_eq!(pulse.beat(woken + Duration::from_millis(50)), None);
}

#[test]
fn table_rows_are_named_in_order() {
    let mut table = Table::<Shard, &str>::new();
    let first = table.push("a");
    let second = table.push("b");
    assert_eq!((first.to_string(), second.to_string()), ("shard0".into(), "shard1".into()));
    assert_eq!(table[second], "b");
    assert_eq!(table.get(Shard::from_index(2)), None);
    assert_eq!(Searcher::from_index(3).to_string(), "searcher3");
}

#[test]
fn hash_of_parts_depends_on_their_borders() {
    let left: [&[u8]; 2] = [b"ab", b"c"];
    let right: [&[u8]; 2] = [b"a", b"bc"];
    assert_ne!(hash_parts(left), hash_parts(right));
}
