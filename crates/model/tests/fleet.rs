//! Convergence of the membership of whole fleets after a start, a power failure, crashes, network
//! partitions, datagram loss and unreachable seeds.
//!
//! The bounds follow from the product's requirements. Callers cache an address list for 4 s, and
//! updates must be in force within 5 s. Searchers accept a bounded number of connections from all
//! members together, so a member that knows only a few others must soon know all of them.

use std::time::Duration;

use bergamot_model::fleet::{FIRST_CHANGE_AT, Fleet, START_SPREAD, Step, run};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// The fleet sizes of current deployments: small, medium and large.
const SIZES: [usize; 3] = [8, 75, 300];

/// The limit on the time from the last start until all members know each other.
const START_LIMIT: Duration = Duration::from_millis(1500);

/// Asserts that within `bound` after `from` all members have the same view, which has 99% of the
/// running members and no stopped one.
#[track_caller]
fn assert_converges(fleet: &Fleet, from: Duration, bound: Duration) {
    let report = run(fleet);
    let (known, agreed) = (report.time_until_known(from, 0.99), report.time_until_agreed(from));
    let converged =
        known.is_some_and(|time| time <= bound) && agreed.is_some_and(|time| time <= bound);
    assert!(converged, "{} members: known after {known:?}, agreed after {agreed:?}", fleet.members);
}

#[test]
fn members_that_start_together_discover_each_other() {
    for members in SIZES {
        assert_converges(&Fleet::starting(members), START_SPREAD, START_LIMIT);
    }
}

/// The design limit of 1,800 members, at which some four million records are learnt one by one.
#[test]
fn members_of_the_largest_fleet_that_start_together_discover_each_other() {
    assert_converges(
        &Fleet { duration: SECOND * 5, ..Fleet::starting(1800) },
        START_SPREAD,
        SECOND * 4,
    );
}

#[test]
fn members_rediscover_each_other_after_a_power_failure() {
    for members in SIZES {
        let back = FIRST_CHANGE_AT + MS * 1400 + START_SPREAD;
        assert_converges(&Fleet::with_power_failure(members), back, START_LIMIT);
    }
}

#[test]
fn a_dead_member_is_detected_by_all_others() {
    for members in SIZES {
        assert_converges(&Fleet::with_crash(members), FIRST_CHANGE_AT, SECOND * 3);
    }
}

/// Members on the two sides of a partition consider each other dead. After it heals, no member may
/// suspect a member that it could reach all along, whatever the other side reports.
#[test]
fn members_rejoin_after_a_partition_and_no_other_is_suspected() {
    for members in SIZES {
        let healed = FIRST_CHANGE_AT + SECOND * 10;
        let fleet = Fleet::with_partition(members);
        assert_converges(&fleet, healed, SECOND * 3);
        let report = run(&fleet);
        let least = report.lowest_median(healed);
        assert!(least > 0.6, "{members} members: the median member knew {least} of all");
    }
}

#[test]
fn replaced_members_are_discovered_with_little_control_traffic() {
    for members in SIZES {
        let fleet = Fleet::with_replacements(members);
        let last = fleet.duration.saturating_sub(SECOND * 10);
        let report = run(&fleet);
        let known = report.time_until_known(last, 0.99);
        assert!(known.is_some_and(|time| time <= SECOND), "{members} members: {known:?}");
        let (mean, max) = report.bytes_sent(last, fleet.duration);
        let (mean, max) = (mean / 10.0, max / 10);
        assert!(mean < 2000.0 && max < 7000, "{members} members: {mean} and {max} B/s");
    }
}

/// One datagram in ten is lost, as on a saturated link.
#[test]
fn datagram_loss_only_delays_convergence() {
    for members in SIZES {
        assert_converges(
            &Fleet { loss: 0.1, ..Fleet::starting(members) },
            START_SPREAD,
            SECOND * 3,
        );
    }
}

#[test]
fn members_converge_despite_clock_skew() {
    for members in SIZES {
        let max_clock_skew = SECOND * 30;
        let back = FIRST_CHANGE_AT + MS * 1400 + START_SPREAD;
        assert_converges(
            &Fleet { max_clock_skew, ..Fleet::with_power_failure(members) },
            back,
            SECOND * 3,
        );
    }
}

/// Two of the three seeds never start.
#[test]
fn one_running_seed_is_enough() {
    for members in SIZES {
        let all = (2..members).collect();
        let steps = vec![(Duration::ZERO, Step::Start(all, START_SPREAD))];
        assert_converges(&Fleet { steps, ..Fleet::starting(members) }, START_SPREAD, START_LIMIT);
    }
}

/// The configured seeds no longer exist; after 3 s the settings name other members.
#[test]
fn changed_seeds_are_used_at_once() {
    for members in SIZES {
        let all = (3..members).collect();
        let steps = vec![
            (Duration::ZERO, Step::Start(all, START_SPREAD)),
            (SECOND * 3, Step::SetSeeds(vec![3, 4, 5])),
        ];
        assert_converges(&Fleet { steps, ..Fleet::starting(members) }, SECOND * 3, START_LIMIT);
    }
}

#[test]
fn the_same_fleet_gives_the_same_report() {
    let fleet = Fleet::with_power_failure(30);
    let render = |fleet: &Fleet| {
        let report = run(fleet);
        format!("{:?} {:?}", report.samples, report.sent)
    };
    assert_eq!(render(&fleet), render(&fleet));
    assert_ne!(render(&fleet), render(&Fleet { seed: 2, ..fleet.clone() }));
}

/// Each member that does not know the verdict yet may lose a searcher to the request.
#[test]
fn a_request_condemned_by_one_member_is_condemned_by_all() {
    for members in SIZES {
        let spread = run(&Fleet::with_condemnation(members)).time_until_condemned(FIRST_CHANGE_AT);
        assert!(spread.is_some_and(|time| time <= SECOND), "{members} members: {spread:?}");
    }
}

/// A member that starts after the verdict, and members that were partitioned from it, must learn
/// of it.
#[test]
fn absent_members_learn_of_requests_condemned_meanwhile() {
    for members in SIZES {
        let (condemned, healed) = (FIRST_CHANGE_AT + SECOND * 2, FIRST_CHANGE_AT + SECOND * 8);
        let fleet = Fleet::starting(members).with_steps([
            (
                FIRST_CHANGE_AT,
                Step::Partition((0..members).filter(|member| member % 3 == 0).collect()),
            ),
            (FIRST_CHANGE_AT, Step::Stop(vec![1])),
            (condemned, Step::Condemn(2)),
            (healed, Step::Heal),
            (healed, Step::Start(vec![1], Duration::ZERO)),
        ]);
        let spread = run(&fleet).time_until_condemned(healed);
        assert!(spread.is_some_and(|time| time <= SECOND * 3), "{members} members: {spread:?}");
    }
}
