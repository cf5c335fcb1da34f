//! Fleets in which only some members serve: the others take over from those that fall silent.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bergamot_dispatch::{Presence, Serving, Share, Spenders, SpendingTimes};
use proptest::prelude::*;

use crate::fleet::{LIMITS, STOP};

/// The number of members that serve if all are heard: the first of each part that can.
const SERVING: usize = 4;

fn ip(member: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(member).expect("few members"))
}

fn select(members: impl Iterator<Item = usize>) -> BTreeSet<Ipv4Addr> {
    members.take(SERVING).map(ip).collect()
}

/// Returns the share of each member that serves in its part, and whether it hears a member that
/// served before the cut.
fn shares(parts: &[usize]) -> Vec<(Share, bool)> {
    let (size, started) = (parts.len(), Instant::now());
    let cut = started + Duration::from_mins(1);
    let counted = select(0..size);
    let mut shares = Vec::new();
    for own in 0..size {
        let times = SpendingTimes { window: LIMITS.window, stop: STOP };
        let mut spenders = Spenders::new(started, ip(own), times);
        spenders.update(started, (0..size).map(|member| (ip(member), Presence::Heard)));
        let is_heard = |member: &usize| parts[*member] == parts[own];
        let presence = |member: usize| {
            (ip(member), if is_heard(&member) { Presence::Heard } else { Presence::Silent })
        };
        spenders.update(cut, (0..size).map(presence));
        let heard = select((0..size).filter(is_heard));
        if heard.contains(&ip(own)) {
            let serving = Serving { heard: &heard, counted: &counted };
            let share = spenders.share(cut, serving, true, true);
            shares.push((share, !heard.is_disjoint(&counted)));
        }
    }
    shares
}

// Guards against a calm fleet that divides by more members than serve.
#[test]
fn serving_members_of_a_calm_fleet_divide_among_themselves() {
    assert_eq!(shares(&[0; 12]), vec![(Share::OneOf(SERVING), true); SERVING]);
}

proptest! {
    // Guards against members that were selected in place of silent ones and take their shares, too.
    #[test]
    fn members_that_take_over_leave_the_silent_ones_their_shares(
        parts in prop::collection::vec(0_usize..5, 1..16),
    ) {
        let shares = shares(&parts);
        let sum = |beside: bool| -> f64 {
            let of = shares.iter().filter(|(_, heard)| *heard == beside);
            of.map(|(share, _)| share.slack(1.0)).sum()
        };
        prop_assert!(sum(true) <= 1.0 + 1e-9, "{shares:?}");
        // Standbys divide by the whole fleet, cut off or not.
        prop_assert!(sum(false) <= 1.0, "{shares:?}");
    }
}
