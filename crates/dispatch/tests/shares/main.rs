//! Shares of the fleet's bounds while members are cut off, end, start and stop.

mod fleet;
mod standbys;

use std::time::Duration;

use bergamot_dispatch::Share;
use proptest::prelude::*;

use crate::fleet::{Fleet, LIMITS, STOP};

/// The time in which a fleet regains the shares of members that were lost without a word.
const REGAINED: Duration = Duration::from_mins(16);

/// The connections that a searcher accepts.
const CONNECTIONS: usize = 25;

#[derive(Clone, Debug)]
enum Event {
    Cut { members: u16, together: bool },
    Heal { members: u16 },
    Kill(usize),
    Start(usize),
    Stop(usize),
    Join,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (any::<u16>(), any::<bool>())
            .prop_map(|(members, together)| Event::Cut { members, together }),
        3 => any::<u16>().prop_map(|members| Event::Heal { members }),
        2 => (0_usize..8).prop_map(Event::Kill),
        4 => (0_usize..8).prop_map(Event::Start),
        1 => (0_usize..8).prop_map(Event::Stop),
        1 => Just(Event::Join),
    ]
}

/// Applies an event. A machine joins only a fleet that is not cut, of less than 12, and of which
/// some process is left that knows it.
fn apply(fleet: &mut Fleet, event: &Event) {
    let address = |number: usize| number % fleet.size();
    match *event {
        Event::Cut { members, together } => fleet.cut(members, together),
        Event::Heal { members } => fleet.heal(members),
        Event::Kill(number) => fleet.kill(address(number)),
        Event::Start(number) => fleet.start(address(number)),
        Event::Stop(number) => fleet.stop(address(number)),
        Event::Join if fleet.is_whole() && fleet.is_known() && fleet.size() < 12 => fleet.join(),
        Event::Join => {}
    }
}

/// Eight members, of which six are cut off from everybody by two cuts that begin 100 ms apart.
fn cut_off_fleet() -> Fleet {
    let mut fleet = Fleet::new(8);
    fleet.cut(0b0000_0111, false);
    fleet.step(Duration::from_millis(100));
    fleet.cut(0b0011_1000, false);
    fleet
}

// Guards against members that each spend the whole slack while they are cut off from each other.
#[test]
fn members_cut_off_from_each_other_stay_within_the_bound() {
    let mut fleet = cut_off_fleet();
    let (mut most, mut largest) = (0.0_f64, 0.0_f64);
    for _ in 0..120 {
        fleet.step(Duration::from_millis(100));
        most = most.max(fleet.spent());
        largest = largest.max(fleet.slack());
    }
    assert!(most <= LIMITS.slack, "{most} attempts in a window, sum of shares {largest}");
}

// Guards against members that each open all connections to a searcher while they are cut off.
#[test]
fn members_cut_off_from_each_other_stay_within_the_connections_of_a_searcher() {
    let mut fleet = cut_off_fleet();
    for _ in 0..120 {
        fleet.step(Duration::from_millis(100));
        let open: usize =
            fleet.shares().into_iter().map(|share| share.connections(CONNECTIONS - 1)).sum();
        assert!(open <= CONNECTIONS, "{open} connections");
    }
}

// Guards against a process that starts where it can reach nobody and takes the whole slack.
#[test]
fn a_process_that_starts_alone_takes_no_slack() {
    let mut fleet = Fleet::new(8);
    fleet.cut(0b1, false);
    fleet.kill(0);
    fleet.start(0);
    for _ in 0..240 {
        fleet.step(Duration::from_millis(500));
        assert!(fleet.shares().contains(&Share::Unknown) && fleet.slack() <= 1.0);
    }
}

// Guards against a process that starts in a part of the fleet and divides the bounds by that part.
#[test]
fn a_process_that_starts_in_a_part_learns_of_the_members_that_it_never_heard() {
    let mut fleet = Fleet::new(8);
    fleet.cut(0b11, true);
    for _ in 0..10 {
        fleet.step(Duration::from_millis(500));
    }
    fleet.kill(0);
    fleet.start(0);
    for _ in 0..4 {
        fleet.step(Duration::from_millis(500));
    }
    assert_eq!(fleet.shares(), vec![Share::OneOf(8); 8]);
}

// Guards against caution that outlasts the disturbance: cuts, restarts and planned stops.
#[test]
fn shares_are_back_once_the_cuts_are_over() {
    let mut fleet = cut_off_fleet();
    for _ in 0..24 {
        fleet.step(Duration::from_millis(500));
    }
    fleet.kill(7);
    fleet.start(7);
    fleet.heal_all();
    fleet.step(Duration::from_millis(500));
    assert_eq!(fleet.shares(), vec![Share::OneOf(8); 8]);
    fleet.stop(3);
    let expected_after = STOP + LIMITS.window + Duration::from_secs(1);
    let stopped_at = fleet.now;
    while fleet.shares() != vec![Share::OneOf(7); 7] {
        fleet.step(Duration::from_millis(500));
        assert!(fleet.now - stopped_at <= expected_after, "{:?}", fleet.shares());
        assert!(fleet.slack() > 0.75, "{:?}", fleet.shares());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    // Guards against every order of cuts that overlap, heal apart and come again, kills, starts,
    // planned stops and growth in which the members together exceed a bound, or don't regain it.
    #[test]
    fn the_shares_of_all_members_add_up_to_at_most_one_bound(
        size in 2_usize..9,
        events in prop::collection::vec((0_u64..16, event()), 1..60),
        gap in 100_u64..450,
    ) {
        let mut fleet = Fleet::new(size);
        for (steps, event) in events {
            apply(&mut fleet, &event);
            for _ in 0..=steps {
                fleet.step(Duration::from_millis(gap));
                prop_assert!(fleet.slack() <= 1.0 + 1e-9, "{event:?}: {:?}", fleet.shares());
                prop_assert!(fleet.spent() <= fleet.bound(), "{event:?}: {}", fleet.spent());
                let shares = fleet.shares().into_iter();
                let open: usize = shares.map(|share| share.connections(CONNECTIONS - 1)).sum();
                prop_assert!(open <= CONNECTIONS, "{event:?}: {open} of {:?}", fleet.shares());
            }
        }
        fleet.heal_all();
        for _ in 0..REGAINED.as_secs() {
            fleet.step(Duration::from_secs(1));
        }
        let running = fleet.shares();
        let equal = Share::OneOf(running.len());
        prop_assert!(running.iter().all(|share| *share == equal), "{running:?}");
    }
}
