//! Simulation of a fleet that receives a request which crashes searchers, without network or clock.
//!
//! The load: one such request is sent a hundred times, each time to a random member, besides
//! popular requests that are always in flight somewhere. The faults: rack crashes, a total power
//! failure, a rolling restart and a network partition that heals. Members use the real [`Table`]
//! and [`Gate`]; the delay of reports between members is what the model of the membership gives for
//! each size of fleet.

mod world;

use world::{ATTEMPTS, Fault, Load, Observed, World};

const SIZES: [usize; 3] = [8, 75, 300];

const SEEDS: u64 = 20;

/// Some popular requests and a request that crashes a searcher of every shard.
fn load(members: usize, fault: Fault) -> Load {
    Load { members, shards: 20, fatal_shards: 20, popular: 20, fault, has_fatal: true }
}

fn run_all(fault: Fault, change: impl Fn(Load) -> Load, check: impl Fn(&Load, &Observed)) {
    for members in SIZES {
        for seed in 0..SEEDS {
            let load = change(load(members, fault));
            let observed = World::run(load, seed);
            println!("{members} members, seed {seed}: {observed:?}");
            check(&load, &observed);
        }
    }
}

#[track_caller]
fn assert_bounded(observed: &Observed, crashes: usize, forwarded: usize) {
    assert!(observed.crashes <= crashes, "{} searchers crashed", observed.crashes);
    assert!(
        observed.forwarded_late.len() <= forwarded,
        "forwarded {} times after the third crash",
        observed.forwarded_late.len()
    );
    assert_eq!(observed.false_positives, 0, "popular requests were condemned");
}

#[test]
fn a_request_fatal_to_one_shard_crashes_at_most_five_searchers() {
    let one = |load| Load { fatal_shards: 1, ..load };
    run_all(Fault::None, one, |_, observed| assert_bounded(observed, 5, 1));
}

#[test]
fn a_request_fatal_to_all_shards_crashes_one_searcher_of_each_and_three_more() {
    run_all(
        Fault::None,
        |load| load,
        |load, observed| assert_bounded(observed, load.shards + 3, 1),
    );
}

/// The rack crashes while the first attempt is in flight, so that popular requests lose searchers
/// to both causes.
#[test]
fn a_concurrent_rack_crash_does_not_change_the_bounds() {
    run_all(
        Fault::RackCrash,
        |load| load,
        |load, observed| assert_bounded(observed, load.shards + 3, 1),
    );
}

#[test]
fn a_rack_crash_alone_condemns_no_request() {
    let none = |load| Load { has_fatal: false, ..load };
    run_all(Fault::RackCrash, none, |load, observed| {
        assert_bounded(observed, 0, 0);
        let sent = load.popular * ATTEMPTS;
        let answered = observed.answered as u64;
        assert!(answered > sent * 8 / 10, "{answered} of {sent} answered");
    });
}

/// Records are not persistent: after a power failure of all members, the next attempt is treated
/// like the first one.
#[test]
fn after_a_total_power_failure_it_is_forwarded_at_most_three_times() {
    run_all(
        Fault::PowerFailure,
        |load| load,
        |_, observed| assert_bounded(observed, usize::MAX, 3),
    );
}

#[test]
fn a_rolling_restart_keeps_the_request_condemned() {
    run_all(
        Fault::RollingRestart,
        |load| load,
        |_, observed| assert_bounded(observed, usize::MAX, 3),
    );
}

#[test]
fn a_partition_that_heals_keeps_the_request_condemned() {
    run_all(Fault::Partition, |load| load, |_, observed| assert_bounded(observed, usize::MAX, 3));
}
