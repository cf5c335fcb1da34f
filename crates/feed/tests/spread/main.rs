//! How fast versions of a large value reach all members, in a simulation without a network.
//!
//! The limits for how late a member may be follow from the time within which a version must be in
//! force: 3 s on the smallest fleets, 5 s and 6 s on the larger ones. Without failures a sixth to a
//! quarter of that is allowed, which leaves the rest for faults.

mod load;
mod partition;
mod store;
mod world;

use std::time::Duration;

use load::{Load, Restore, Results};
use store::declaration_size;
use world::{IDLE_PERIOD, run};

const MS: Duration = Duration::from_millis(1);

/// Fleet sizes, and how late a member may be without failures.
const FLEETS: [(usize, Duration); 3] = [
    (6, Duration::from_millis(500)),
    (75, Duration::from_secs(1)),
    (300, Duration::from_millis(1500)),
];

/// How late a member may be during a fault, or with links at their limit.
const FAULT_LAG_LIMIT: Duration = Duration::from_millis(2500);

/// The capacity of a 14 Mbit/s link, in bytes a second.
const SLOW_LINK: u64 = 1_750_000;

/// How many values a member may store the chunks of: two versions that share no chunks.
const MAX_STORED_VALUES: usize = 2;

/// The rate of queries by a reader, which pauses 250 ms after changes.
const QUERIES_PER_S: u32 = 4;

/// How many calls a query takes: one, or two if only the newest version is read.
#[derive(Clone, Copy)]
enum Calls {
    One = 1,
    Two = 2,
}

/// Simulates a load, and checks the lag, the stored chunks and the number of calls.
fn check(load: Load, lag_limit: Duration, calls: Calls) -> Results {
    let results = run(load);
    assert!(results.max_lag <= lag_limit && results.members_behind == 0, "{load:?}: {results:?}");
    assert!(
        results.max_chunk_bytes <= MAX_STORED_VALUES * declaration_size(load.routes),
        "{load:?}: {results:?}"
    );
    let readers = load.regions as u32;
    let queries = (load.duration + IDLE_PERIOD).as_secs() as u32 * QUERIES_PER_S * readers;
    assert!(results.store_calls <= (queries * calls as u32) as usize, "{load:?}: {results:?}");
    results
}

/// Guards against instances that lag for as long as versions come in quick succession.
///
/// Versions are published 10 to 300 ms apart for 8 s. A member that reads the store finds up to 25
/// of them in one reply.
#[test]
fn versions_in_quick_succession_reach_all_members() {
    for (members, lag_limit) in FLEETS {
        let load = Load { members, ..Load::default() };
        let simulate = |pause| check(Load { pause: MS * pause, ..load }, lag_limit, Calls::One);
        let sent_one_by_one = simulate(300).max_bytes_sent;
        for pause in [10, 30, 60, 100, 150] {
            // At most one change can be sent for each query.
            assert!(simulate(pause).max_bytes_sent <= sent_one_by_one * 300 / 250 * 11 / 10);
        }
    }
}

/// Guards against a reader that reads every version of a large value and falls further behind with
/// each reply.
///
/// Versions of 35 to 700 KB are published ten times a second and more, over 14 Mbit/s links: one
/// version of the largest takes 0.4 s.
#[test]
fn a_reader_on_a_slow_link_keeps_up() {
    for (members, routes, pause) in
        [(6, 80, 10), (6, 400, 10), (6, 400, 100), (6, 2850, 300), (75, 80, 10), (75, 400, 100)]
    {
        let pause = MS * pause;
        check(
            Load { members, routes, pause, rate: SLOW_LINK, ..Load::default() },
            FAULT_LAG_LIMIT,
            Calls::Two,
        );
    }
}

/// Guards against a member that takes over from a lost reader and reads every version that it
/// missed.
///
/// The reader of a region is lost 2 s into a series of versions.
#[test]
fn the_replacement_of_a_lost_reader_keeps_up() {
    let reader_lost_at = Some(Duration::from_secs(2));
    for (members, routes, pause, rate) in [
        (6, 18, 10, 125_000_000),
        (6, 400, 100, 125_000_000),
        (75, 18, 10, SLOW_LINK),
        (75, 400, 100, SLOW_LINK),
    ] {
        let pause = MS * pause;
        check(
            Load { members, routes, pause, rate, reader_lost_at, ..Load::default() },
            FAULT_LAG_LIMIT,
            Calls::Two,
        );
    }
}

/// Guards against fetches that restart with each version and so never finish.
///
/// Versions are published four times a second, and a third of 300 members queries one reader over a
/// 3.5 Mbit/s link, so that a fetch takes longer than the time between versions.
#[test]
fn fetches_slower_than_the_version_interval_complete() {
    for (routes, pause) in [(18, 100), (18, 300)] {
        let pause = MS * pause;
        let load = Load { members: 300, routes, pause, rate: SLOW_LINK / 4, ..Load::default() };
        check(load, FAULT_LAG_LIMIT, Calls::One);
    }
}

/// Guards against members that compare the revisions of a restored store with those from before the
/// restore.
///
/// Versions are published ten times a second. The store is down for half a second and comes back
/// from a copy that lacks the versions of two seconds, while the operator continues its numbering.
#[test]
fn all_members_follow_a_restored_store() {
    let restore = Restore { at: MS * 3000, downtime: MS * 500, lost_versions: 20 };
    let pause = MS * 100;
    for members in [6, 75, 300] {
        let load = Load { members, pause, restore: Some(restore), ..Load::default() };
        check(load, FAULT_LAG_LIMIT, Calls::Two);
    }
    // The reader of one region is also lost while the store is down.
    let reader_lost_at = Some(MS * 3200);
    let load =
        Load { members: 75, pause, restore: Some(restore), reader_lost_at, ..Load::default() };
    check(load, FAULT_LAG_LIMIT, Calls::Two);
}
