//! How fast versions of a large value spread over a fleet, in a model without a network.
//!
//! How late a member may be follows from the 3 s in which a version must be in force on the
//! smallest fleets, 5 s and 6 s on the larger ones: a sixth to a quarter of it while nothing fails,
//! which leaves the rest to faults.

mod store;
mod world;

use std::time::Duration;

use store::size;
use world::{CALM, Load, Restored, Seen, run};

const MS: Duration = Duration::from_millis(1);

/// Fleets, and how late a member of them may be while nothing fails.
const FLEETS: [(usize, Duration); 3] = [
    (6, Duration::from_millis(500)),
    (75, Duration::from_secs(1)),
    (300, Duration::from_millis(1500)),
];

/// How late a member may be beside a fault, or where links are at their limit.
const HARMED: Duration = Duration::from_millis(2500);

/// What a link of 14 Mbit/s carries in a second, in bytes.
const SLOW_LINK: u64 = 1_750_000;

/// How many values a member may hold the chunks of: two versions that share nothing.
const HELD: usize = 2;

/// How many questions a second a reader asks: it rests 250 ms after news.
const QUESTIONS_PER_S: u32 = 4;

/// How many calls one question is: one, or two where the newest version is read alone.
#[derive(Clone, Copy)]
enum Calls {
    One = 1,
    Two = 2,
}

/// Plays a load, and checks how late members are and what they hold and ask.
fn check(load: Load, latest: Duration, calls: Calls) -> Seen {
    let seen = run(load);
    assert!(seen.latest <= latest && seen.behind == 0, "{load:?}: {seen:?}");
    assert!(seen.held <= HELD * size(load.routes), "{load:?}: {seen:?}");
    let readers = load.regions as u32;
    let questions = (load.lasts + CALM).as_secs() as u32 * QUESTIONS_PER_S * readers;
    assert!(seen.calls <= (questions * calls as u32) as usize, "{load:?}: {seen:?}");
    seen
}

/// Guards against instances that are behind for as long as versions come in quick succession.
///
/// The pattern: one version follows the other with a pause of 10 to 300 ms, for 8 s; a member
/// that reads the store finds up to 25 of them in one answer.
#[test]
fn versions_in_quick_succession_are_in_force_everywhere() {
    for (members, latest) in FLEETS {
        let load = Load { members, ..Load::default() };
        let play = |pause| check(Load { pause: MS * pause, ..load }, latest, Calls::One);
        let read_one_by_one = play(300).busiest;
        for pause in [10, 30, 60, 100, 150] {
            // A change a question is the most that can be told of.
            assert!(play(pause).busiest <= read_one_by_one * 300 / 250 * 11 / 10);
        }
    }
}

/// Guards against a reader that reads every version of a large value and falls further behind
/// with each answer.
///
/// The pattern: versions of 35 to 700 KB, ten and more a second, over links of 14 Mbit/s: one
/// version of the largest takes 0.4 s.
#[test]
fn a_reader_whose_link_carries_few_versions_keeps_up() {
    for (members, routes, pause) in
        [(6, 80, 10), (6, 400, 10), (6, 400, 100), (6, 2850, 300), (75, 80, 10), (75, 400, 100)]
    {
        let pause = MS * pause;
        check(
            Load { members, routes, pause, rate: SLOW_LINK, ..Load::default() },
            HARMED,
            Calls::Two,
        );
    }
}

/// Guards against a member that takes over from a lost reader and reads all that it missed.
///
/// The pattern: the reader of a region is lost 2 s into the series.
#[test]
fn whoever_takes_over_from_a_lost_reader_keeps_up() {
    let killed = Some(Duration::from_secs(2));
    for (members, routes, pause, rate) in [
        (6, 18, 10, 125_000_000),
        (6, 400, 100, 125_000_000),
        (75, 18, 10, SLOW_LINK),
        (75, 400, 100, SLOW_LINK),
    ] {
        let pause = MS * pause;
        check(Load { members, routes, pause, rate, killed, ..Load::default() }, HARMED, Calls::Two);
    }
}

/// Guards against fetches that begin anew with each version and so never end.
///
/// The pattern: versions come four times a second, and a third of 300 members asks one reader
/// over a link of 3.5 Mbit/s, so that a fetch takes longer than that.
#[test]
fn fetches_that_take_longer_than_the_next_version_end() {
    for (routes, pause) in [(18, 100), (18, 300)] {
        let pause = MS * pause;
        let load = Load { members: 300, routes, pause, rate: SLOW_LINK / 4, ..Load::default() };
        check(load, HARMED, Calls::One);
    }
}

/// Guards against members that follow a restored store by the revisions of before.
///
/// The pattern: versions come ten times a second; the store is away for half a second, comes back
/// from a copy that lacks two seconds of them, and the operator goes on.
#[test]
fn a_restored_store_is_followed_by_all() {
    let restored = Restored { at: MS * 3000, away: MS * 500, lost: 20 };
    let pause = MS * 100;
    for members in [6, 75, 300] {
        let load = Load { members, pause, restored: Some(restored), ..Load::default() };
        check(load, HARMED, Calls::Two);
    }
    // Readers of one region are lost while the store is away.
    let killed = Some(MS * 3200);
    let load = Load { members: 75, pause, restored: Some(restored), killed, ..Load::default() };
    check(load, HARMED, Calls::Two);
}
