//! How fast versions of a large value spread over a fleet, in a model without a network.
//!
//! How late a member may be follows from the 3 s in which a version must be in force on the
//! smallest fleets, 5 s and 6 s on the larger ones: a sixth to a quarter of it while nothing fails,
//! which leaves the rest to faults.

mod world;

use std::time::Duration;

use world::{CALM, Load, Seen, run, size};

const MS: Duration = Duration::from_millis(1);

/// Fleets, and how late a member of them may be while nothing fails.
const FLEETS: [(usize, Duration); 3] = [
    (6, Duration::from_millis(500)),
    (75, Duration::from_secs(1)),
    (300, Duration::from_millis(1500)),
];

/// How many values a member may hold the chunks of: two versions that share nothing.
const HELD: usize = 2;

/// How many calls a second a reader makes: it rests 250 ms after news.
const CALLS_PER_S: u32 = 4;

/// Plays a load, and checks how late members are and what they hold and ask.
fn check(load: Load, latest: Duration) -> Seen {
    let seen = run(load);
    assert!(seen.latest <= latest && seen.behind == 0, "{load:?}: {seen:?}");
    assert!(seen.held <= HELD * size(load.routes), "{load:?}: {seen:?}");
    let readers = load.regions as u32;
    let calls = (load.lasts + CALM).as_secs() as u32 * CALLS_PER_S * readers;
    assert!(seen.calls <= calls as usize, "{load:?}: {seen:?}");
    seen
}

/// Guards against instances that are behind for as long as versions come in quick succession.
///
/// The pattern: one version follows the other with a pause of 10 to 300 ms, for 8 s; a member
/// that reads the store finds up to 25 of them in one answer.
#[test]
fn versions_in_quick_succession_are_in_force_everywhere() {
    for (members, latest) in FLEETS {
        let play = |pause| check(Load { members, pause: MS * pause, ..Load::default() }, latest);
        let read_one_by_one = play(300).busiest;
        for pause in [10, 30, 60, 100, 150] {
            // A change a question is the most that can be told of.
            assert!(play(pause).busiest <= read_one_by_one * 300 / 250 * 11 / 10);
        }
    }
}
