//! All members of a small fleet serve, and the largest of each region in a large fleet.

use std::net::Ipv4Addr;

use bergamot_peers::{Candidate, select_serving};
use bergamot_policy::Seats;

fn candidate(number: u8, region: &str, weight: u32) -> Candidate {
    Candidate {
        ip: Ipv4Addr::new(10, 0, 0, number),
        region: region.into(),
        in_searcher_zone: true,
        weight,
    }
}

/// A large fleet in 3 regions: 12 machines with half a core and 63 with an eighth.
fn large_fleet() -> Vec<Candidate> {
    let weight = |number: u8| if number < 12 { 500 } else { 120 };
    (0..75).map(|n| candidate(n, ["a", "b", "c"][usize::from(n) % 3], weight(n))).collect()
}

#[test]
fn all_members_of_a_small_fleet_serve() {
    let fleet: Vec<_> =
        (0..11).map(|n| candidate(n, ["a", "b", "c"][usize::from(n) % 3], 250)).collect();
    assert_eq!(select_serving(&fleet, 26, &Seats::default()).len(), 11);
}

#[test]
fn the_largest_members_of_a_large_fleet_serve() {
    let selected = select_serving(&large_fleet(), 60, &Seats::default());
    let wanted: Vec<_> = (0..12).map(|n| Ipv4Addr::new(10, 0, 0, n)).collect();
    assert!(selected.iter().eq(&wanted), "{selected:?}");
}

#[test]
fn only_members_in_zones_with_searchers_serve_if_there_are_two_of_them() {
    let fleet: Vec<_> = large_fleet()
        .into_iter()
        .map(|candidate| Candidate { in_searcher_zone: candidate.ip.octets()[3] < 6, ..candidate })
        .collect();
    assert_eq!(select_serving(&fleet, 60, &Seats::default()).len(), 6);
    let fleet: Vec<_> = large_fleet()
        .into_iter()
        .map(|candidate| Candidate { in_searcher_zone: candidate.ip.octets()[3] < 3, ..candidate })
        .collect();
    assert_eq!(select_serving(&fleet, 60, &Seats::default()).len(), 12);
}

#[test]
fn a_region_that_lost_its_large_members_is_served_by_two_small_ones() {
    let lost = |candidate: &Candidate| &*candidate.region != "a" || candidate.weight < 500;
    let left: Vec<_> = large_fleet().into_iter().filter(lost).collect();
    let selected = select_serving(&left, 60, &Seats::default());
    let small: Vec<_> = left
        .iter()
        .filter(|candidate| selected.contains(&candidate.ip) && candidate.weight < 500)
        .collect();
    assert!(small.iter().all(|candidate| &*candidate.region == "a"));
    assert!((2..=4).contains(&small.len()), "{small:?}");
}

#[test]
fn a_large_fleet_of_equal_members_keeps_its_connections_within_the_limit() {
    let fleet: Vec<_> =
        (0..88).map(|n| candidate(n, ["a", "b", "c"][usize::from(n) % 3], 250)).collect();
    let selected = select_serving(&fleet, 60, &Seats::default());
    assert!(selected.len() * 4 <= 59 && selected.len() >= 12, "{}", selected.len());
}
