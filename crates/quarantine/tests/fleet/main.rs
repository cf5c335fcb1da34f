//! A fleet under a request that ends searchers, without network or clock.
//!
//! The load: one such request comes again a hundred times at any member, beside popular requests
//! that always run somewhere, crashes of a rack, a loss of all power, a rolling replacement and a
//! cut that heals. What a member does with a request follows the real rules ([`Table`], [`Gate`]);
//! how long news takes is what the model of the membership shows for each size.

mod world;

use world::{Load, REPEATS, Seen, Trouble, World};

const SIZES: [usize; 3] = [8, 75, 300];

const SEEDS: u64 = 20;

/// Some popular requests beside a request that ends one searcher of every shard.
fn load(members: usize, trouble: Trouble) -> Load {
    Load { members, shards: 20, fatal_shards: 20, popular: 20, trouble, has_fatal: true }
}

fn each(trouble: Trouble, change: impl Fn(Load) -> Load, check: impl Fn(&Load, &Seen)) {
    for members in SIZES {
        for seed in 0..SEEDS {
            let load = change(load(members, trouble));
            let seen = World::run(load, seed);
            println!("{members} members, seed {seed}: {seen:?}");
            check(&load, &seen);
        }
    }
}

#[track_caller]
fn assert_bounded(seen: &Seen, ended: usize, sent_on: usize) {
    assert!(seen.ended <= ended, "{} searchers ended", seen.ended);
    assert!(seen.sent_on.len() <= sent_on, "sent on {} times", seen.sent_on.len());
    assert_eq!(seen.innocent, 0, "popular requests were condemned");
}

#[test]
fn a_request_that_is_fatal_to_one_shard_ends_at_most_five_searchers() {
    let one = |load| Load { fatal_shards: 1, ..load };
    each(Trouble::Nothing, one, |_, seen| assert_bounded(seen, 5, 1));
}

#[test]
fn a_request_that_is_fatal_to_all_shards_ends_one_searcher_each_and_three() {
    each(Trouble::Nothing, |load| load, |load, seen| assert_bounded(seen, load.shards + 3, 1));
}

/// The crash comes while the first attempt runs, so that the popular requests lose searchers to
/// both.
#[test]
fn a_rack_that_crashes_beside_it_changes_neither() {
    each(Trouble::Rack, |load| load, |load, seen| assert_bounded(seen, load.shards + 3, 1));
}

#[test]
fn a_rack_that_crashes_alone_condemns_nobody() {
    let none = |load| Load { has_fatal: false, ..load };
    each(Trouble::Rack, none, |load, seen| {
        assert_bounded(seen, 0, 0);
        let sent = load.popular * REPEATS;
        assert!(seen.answered as u64 > sent * 8 / 10, "{} of {sent} answered", seen.answered);
    });
}

/// Nothing outlives a loss of all power: the first attempt after it is as good as the first ever.
#[test]
fn after_a_loss_of_all_power_it_is_sent_on_three_times_at_most() {
    each(Trouble::Power, |load| load, |_, seen| assert_bounded(seen, usize::MAX, 3));
}

#[test]
fn a_rolling_replacement_leaves_the_verdict_in_force() {
    each(Trouble::Rolling, |load| load, |_, seen| assert_bounded(seen, usize::MAX, 3));
}

#[test]
fn a_cut_that_heals_leaves_the_verdict_in_force() {
    each(Trouble::Cut, |load| load, |_, seen| assert_bounded(seen, usize::MAX, 3));
}
