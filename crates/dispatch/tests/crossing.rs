//! Places are as far as new connections say, and as the policy guesses until one was opened.

use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_dispatch::Crossings;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_fastest_connection_is_the_way() {
    let (mut crossings, now) = (Crossings::default(), Instant::now());
    let zone = Name::from("far");
    assert_eq!(crossings.round_trip("far"), None);
    for took in [61, 38, 45] {
        crossings.note(&zone, ms(took), now);
    }
    assert_eq!(crossings.round_trip("far"), Some(ms(38)));
    assert_eq!(crossings.round_trip("near"), None);
}

#[test]
fn the_nearest_zone_of_a_region_counts_for_it() {
    let (mut crossings, now) = (Crossings::default(), Instant::now());
    for (zone, took) in [("east-1", 40), ("east-2", 36), ("west-1", 3)] {
        crossings.note(&Name::from(zone), ms(took), now);
    }
    assert_eq!(crossings.nearest(|zone| zone.starts_with("east")), Some(ms(36)));
    assert_eq!(crossings.nearest(|zone| zone.starts_with("north")), None);
}

/// A way that has become longer is known after two windows at the latest.
#[test]
fn a_way_that_has_become_longer_is_learnt() {
    let (mut crossings, start) = (Crossings::default(), Instant::now());
    let zone = Name::from("far");
    crossings.note(&zone, ms(16), start);
    for second in 1..180 {
        crossings.note(&zone, ms(40), start + Duration::from_secs(second));
    }
    assert_eq!(crossings.round_trip("far"), Some(ms(40)));
}
