//! Round-trip times to zones, observed from new connections.

use std::time::{Duration, Instant};

use bergamot_base::Name;
use bergamot_dispatch::ZoneRoundTrips;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_fastest_connection_gives_the_round_trip() {
    let (mut round_trips, now) = (ZoneRoundTrips::default(), Instant::now());
    let zone = Name::from("far");
    assert_eq!(round_trips.round_trip("far"), None);
    for took in [61, 38, 45] {
        round_trips.record(&zone, ms(took), now);
    }
    assert_eq!(round_trips.round_trip("far"), Some(ms(38)));
    assert_eq!(round_trips.round_trip("near"), None);
}

#[test]
fn the_nearest_zone_gives_the_round_trip_to_a_region() {
    let (mut round_trips, now) = (ZoneRoundTrips::default(), Instant::now());
    for (zone, took) in [("east-1", 40), ("east-2", 36), ("west-1", 3)] {
        round_trips.record(&Name::from(zone), ms(took), now);
    }
    assert_eq!(round_trips.shortest_to(|zone| zone.starts_with("east")), Some(ms(36)));
    assert_eq!(round_trips.shortest_to(|zone| zone.starts_with("north")), None);
}

/// A route whose round trip has increased is detected after at most two windows.
#[test]
fn an_increased_round_trip_is_detected() {
    let (mut round_trips, start) = (ZoneRoundTrips::default(), Instant::now());
    let zone = Name::from("far");
    round_trips.record(&zone, ms(16), start);
    for second in 1..180 {
        round_trips.record(&zone, ms(40), start + Duration::from_secs(second));
    }
    assert_eq!(round_trips.round_trip("far"), Some(ms(40)));
}
