//! Membership of whole fleets: the loads of a start, a loss of power, deaths, cuts, losses of
//! datagrams and settings that name seeds which aren't there.
//!
//! The bounds are those of the product: callers keep an address answer for 4 s, news must be
//! in force within 5 s, and searchers accept a bounded number of connections from all members
//! together, so that whoever knows few of the others must soon know all of them.

use std::time::Duration;

use bergamot_model::fleet::{Fleet, LATER, Step, WITHIN, run};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Today's fleets: a small deployment, a grown one, a large one.
const SIZES: [usize; 3] = [8, 75, 300];

/// How long after the last start members may not know each other.
const STARTED: Duration = Duration::from_millis(1500);

/// Asserts that everybody knows everybody within a time after a moment, and nobody else.
#[track_caller]
fn assert_whole(fleet: &Fleet, from: Duration, bound: Duration) {
    let report = run(fleet);
    let (known, agreed) = (report.known(from, 0.99), report.agreed(from));
    let whole = known.is_some_and(|time| time <= bound) && agreed.is_some_and(|time| time <= bound);
    assert!(whole, "{} members: known after {known:?}, agreed after {agreed:?}", fleet.members);
}

#[test]
fn members_that_start_at_once_know_each_other() {
    for members in SIZES {
        assert_whole(&Fleet::starting(members), WITHIN, STARTED);
    }
}

/// Some four million records learnt one by one: the size that is designed for.
#[test]
fn members_of_the_largest_fleet_that_start_at_once_know_each_other() {
    assert_whole(&Fleet { lasts: SECOND * 5, ..Fleet::starting(1800) }, WITHIN, SECOND * 4);
}

#[test]
fn members_that_lose_their_power_at_once_know_each_other_again() {
    for members in SIZES {
        let back = LATER + MS * 1400 + WITHIN;
        assert_whole(&Fleet::losing_power(members), back, STARTED);
    }
}

#[test]
fn a_member_that_dies_is_known_to_be_dead_everywhere() {
    for members in SIZES {
        assert_whole(&Fleet::losing_one(members), LATER, SECOND * 3);
    }
}

/// Whoever was cut off takes all others for dead, and they it; but none of them doubts those
/// that it could reach all the while, whatever the others say.
#[test]
fn members_that_were_cut_off_are_back_and_nobody_else_is_doubted() {
    for members in SIZES {
        let healed = LATER + SECOND * 10;
        let fleet = Fleet::cut_apart(members);
        assert_whole(&fleet, healed, SECOND * 3);
        let report = run(&fleet);
        let least = report.lowest_median(healed);
        assert!(least > 0.6, "{members} members: the median member knew {least} of all");
    }
}

#[test]
fn members_that_are_replaced_are_known_and_control_stays_small() {
    for members in SIZES {
        let fleet = Fleet::being_replaced(members);
        let last = fleet.lasts.saturating_sub(SECOND * 10);
        let report = run(&fleet);
        let known = report.known(last, 0.99);
        assert!(known.is_some_and(|time| time <= SECOND), "{members} members: {known:?}");
        let (mean, most) = report.bytes(last, fleet.lasts);
        let (mean, most) = (mean / 10.0, most / 10);
        assert!(mean < 2000.0 && most < 7000, "{members} members: {mean} and {most} B/s");
    }
}

/// One datagram in ten is lost, as on a link that is full.
#[test]
fn losses_of_datagrams_only_cost_time() {
    for members in SIZES {
        assert_whole(&Fleet { loss: 0.1, ..Fleet::starting(members) }, WITHIN, SECOND * 3);
    }
}

#[test]
fn clocks_that_are_far_apart_change_nothing() {
    for members in SIZES {
        let clocks = SECOND * 30;
        let back = LATER + MS * 1400 + WITHIN;
        assert_whole(&Fleet { clocks, ..Fleet::losing_power(members) }, back, SECOND * 3);
    }
}

/// Two of the three seeds never start.
#[test]
fn one_seed_that_lives_is_enough() {
    for members in SIZES {
        let all = (2..members).collect();
        let steps = vec![(Duration::ZERO, Step::Start(all, WITHIN))];
        assert_whole(&Fleet { steps, ..Fleet::starting(members) }, WITHIN, STARTED);
    }
}

/// The settings name machines that are gone; after 3 s they name others.
#[test]
fn seeds_that_come_late_are_used_at_once() {
    for members in SIZES {
        let all = (3..members).collect();
        let steps = vec![
            (Duration::ZERO, Step::Start(all, WITHIN)),
            (SECOND * 3, Step::Seeds(vec![3, 4, 5])),
        ];
        assert_whole(&Fleet { steps, ..Fleet::starting(members) }, SECOND * 3, STARTED);
    }
}

#[test]
fn the_same_fleet_gives_the_same_report() {
    let fleet = Fleet::losing_power(30);
    let shown = |fleet: &Fleet| {
        let report = run(fleet);
        format!("{:?} {:?}", report.samples, report.sent)
    };
    assert_eq!(shown(&fleet), shown(&fleet));
    assert_ne!(shown(&fleet), shown(&Fleet { seed: 2, ..fleet.clone() }));
}

/// Until all have heard of it, each of them may lose a searcher to the request.
#[test]
fn a_request_that_one_member_condemns_is_condemned_by_all() {
    for members in SIZES {
        let told = run(&Fleet::condemning(members)).condemned(LATER);
        assert!(told.is_some_and(|time| time <= SECOND), "{members} members: {told:?}");
    }
}

/// A member that starts later, and those that were cut off, have to be told.
#[test]
fn members_that_were_away_hear_of_what_was_condemned_meanwhile() {
    for members in SIZES {
        let (away, back) = (LATER + SECOND * 2, LATER + SECOND * 8);
        let fleet = Fleet::starting(members).then([
            (LATER, Step::Cut((0..members).filter(|member| member % 3 == 0).collect())),
            (LATER, Step::Stop(vec![1])),
            (away, Step::Condemn(2)),
            (back, Step::Heal),
            (back, Step::Start(vec![1], Duration::ZERO)),
        ]);
        let told = run(&fleet).condemned(back);
        assert!(told.is_some_and(|time| time <= SECOND * 3), "{members} members: {told:?}");
    }
}
