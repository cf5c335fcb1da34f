//! What a connection waits for, and when it may be closed for others.

use std::time::{Duration, Instant};

use bergamot_resources::{Activity, Admission, Memory, Table};
use tokio_util::sync::CancellationToken;

const SECOND: Duration = Duration::from_secs(1);

/// A connection that was accepted and has a place.
struct Open {
    activity: Activity,
    close: CancellationToken,
}

fn open(table: &mut Table, now: Instant) -> Open {
    let (activity, close) = (Activity::new(now), CancellationToken::new());
    let admission = table.admit(now, &activity, &close);
    assert!(matches!(admission, Admission::Place(_)), "{admission:?}");
    Open { activity, close }
}

/// Guards against silent connections that keep ordinary callers from theirs.
#[test]
fn one_that_never_carried_a_request_and_has_stalled_goes_first() {
    let (mut table, begin) = (Table::new(2), Instant::now());
    let ordinary = open(&mut table, begin);
    ordinary.activity.record_read(begin, 100);
    ordinary.activity.begin_exchange(begin, false);
    ordinary.activity.end_exchange(begin);
    let silent = open(&mut table, begin + SECOND);
    let (activity, close) = (Activity::new(begin), CancellationToken::new());
    assert_eq!(table.admit(begin + 3 * SECOND, &activity, &close), Admission::Wait);
    assert!(silent.close.is_cancelled() && !ordinary.close.is_cancelled());
}

/// Guards against ordinary callers whose request is on its way and who go before idle connections.
#[test]
fn an_idle_connection_goes_before_one_that_has_just_begun() {
    let (mut table, begin) = (Table::new(2), Instant::now());
    let idle = open(&mut table, begin);
    idle.activity.record_read(begin, 100);
    idle.activity.begin_exchange(begin, false);
    idle.activity.end_exchange(begin);
    let beginning = open(&mut table, begin + 5 * SECOND);
    let (activity, close) = (Activity::new(begin), CancellationToken::new());
    let now = begin + 5 * SECOND + SECOND / 100;
    assert_eq!(table.admit(now, &activity, &close), Admission::Wait);
    assert!(idle.close.is_cancelled() && !beginning.close.is_cancelled());
}

/// Guards against a request that is passed on and whose connection is closed for another one.
#[test]
fn a_connection_in_use_keeps_its_place() {
    let (mut table, begin) = (Table::new(1), Instant::now());
    let used = open(&mut table, begin);
    used.activity.record_read(begin, 100);
    used.activity.begin_exchange(begin, false);
    let (activity, close) = (Activity::new(begin), CancellationToken::new());
    assert_eq!(table.admit(begin + 60 * SECOND, &activity, &close), Admission::Full);
    assert_eq!((used.close.is_cancelled(), table.counts().refused), (false, 1));
}

/// Guards against the same by way of its head, which is complete and no longer discarded.
#[test]
fn a_complete_head_is_not_discarded_for_others() {
    let (memory, now, close) = (Memory::new(100_000), Instant::now(), CancellationToken::new());
    let activity = Activity::new(now);
    activity.record_read(now, 40_000);
    activity.hold_head(&memory, &close, 80_000).expect("there is room");
    assert_eq!(memory.usage().held, 80_000);
    activity.begin_exchange(now, false);
    assert_eq!(memory.usage().held, 0);
    memory.begin().append(&vec![0; 60_000]).expect("there is room");
    assert!(!close.is_cancelled());
}
