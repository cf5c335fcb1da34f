//! A version that is published while members are cut off from the store, or from everything.
//!
//! The limits are those that the users state for fleets of each size: how long after its
//! acknowledgement a version may be missing on a member that was never cut off, and how long after
//! the end of its cut on another.

use std::time::Duration;

use crate::load::{Cut, Load};
use crate::world::{IDLE_PERIOD, run};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Fleet sizes, how late a member that is never cut off may be, and another after its cut.
const FLEETS: [(usize, Duration, Duration); 6] = [
    (8, seconds(3), seconds(4)),
    (18, seconds(3), seconds(4)),
    (75, seconds(5), seconds(6)),
    (130, seconds(5), seconds(6)),
    (300, seconds(6), seconds(6)),
    (1168, seconds(8), seconds(8)),
];

/// The version is published one second into the cut.
const CUT_AT: Duration = IDLE_PERIOD.saturating_sub(seconds(1));

/// The readers and deputies of three regions are the first members.
const READERS_AND_DEPUTIES: usize = 6;

fn check(cut: fn(usize, Duration) -> Cut) {
    for (members, lag_limit, lag_limit_after_cut) in FLEETS {
        let (pause, duration) = (seconds(16), seconds(16));
        let results = run(Load { members, routes: 60, pause, duration, cut, ..Load::default() });
        println!("{members} members: {results:?}");
        assert_eq!(results.members_behind, 0, "{members} members: {results:?}");
        assert!(results.max_lag <= lag_limit, "{members} members: {results:?}");
        assert!(results.max_lag_after_cut <= lag_limit_after_cut, "{members} members: {results:?}");
    }
}

/// Guards against members that wait for each other's chunks of a version that a follower has read,
/// until the next version.
#[test]
fn a_version_reaches_all_members_while_readers_and_deputies_are_cut_off_from_the_store() {
    check(|member, at| {
        let is_cut = member < READERS_AND_DEPUTIES && (CUT_AT..seconds(11)).contains(&at);
        if is_cut { Cut::Store } else { Cut::None }
    });
}

/// Guards against members that ask for one version after the other, each of which those that are
/// asked lack or no longer have, while others have later versions in force.
///
/// Versions are published four times a second. The reader of a region loses the store, and the reader
/// of another is cut off from everything soon after.
#[test]
fn members_keep_up_with_a_series_of_versions_while_two_readers_are_cut_off() {
    let cut = |member, at: Duration| match member {
        0 if (seconds(4)..seconds(9)).contains(&at) => Cut::Store,
        1 if (Duration::from_millis(5500)..seconds(9)).contains(&at) => Cut::Everything,
        _ => Cut::None,
    };
    for (members, lag_limit, _) in FLEETS {
        let (pause, routes) = (Duration::from_millis(250), 300);
        let results = run(Load { members, routes, pause, cut, ..Load::default() });
        println!("{members} members: {results:?}");
        assert!(results.max_lag <= lag_limit, "{members} members: {results:?}");
    }
}

/// Guards against members that stay behind after the end of a cut, since all that they ask learnt of
/// the version in the same way.
#[test]
fn a_version_reaches_all_members_after_all_but_a_follower_were_cut_off_from_the_store() {
    check(|member, at| {
        let is_cut = member != 7 && (CUT_AT..seconds(6)).contains(&at);
        if is_cut { Cut::Store } else { Cut::None }
    });
}

/// Guards against members that stay behind because the members that they ask are cut off for longer.
#[test]
fn a_version_reaches_all_members_after_cuts_that_end_at_different_times() {
    check(|member, at| {
        let until = IDLE_PERIOD + seconds(2 + (member % 4) as u64);
        let is_cut = member != 7 && (CUT_AT..until).contains(&at);
        if is_cut { Cut::Everything } else { Cut::None }
    });
}
