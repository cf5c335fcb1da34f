//! Selection of the members that accept callers and hold connections to searchers.
//!
//! A searcher accepts a bounded number of connections from all members together. If that allows a
//! few for every member, all members serve. In a larger fleet most would have one connection or
//! none, and a gathered answer takes tens of milliseconds on a small machine. There, only the
//! largest machines of each region serve; the others are on standby: ready, up to date, and able
//! to take over when a serving one is lost. Members in an availability zone with searchers are
//! preferred, since traffic between zones is billed. Invariant: members with the same view select
//! the same members, and each region with a member has one that serves.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use bergamot_base::{Name, hash_bytes};
use bergamot_policy::Seats;

/// A candidate to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The member.
    pub ip: Ipv4Addr,
    /// Its region.
    pub region: Name,
    /// Whether searchers run in its availability zone.
    pub beside: bool,
    /// The processor time available to it, in thousandths of a core.
    pub weight: u32,
}

/// Selects the members that serve, given how many connections a searcher accepts.
pub fn serving(seats: &[Seat], connections: usize, policy: &Seats) -> BTreeSet<Ipv4Addr> {
    let available = connections.saturating_sub(1);
    if !policy.on || seats.len() * policy.fewest_connections <= available {
        return seats.iter().map(|seat| seat.ip).collect();
    }
    let mut regions = BTreeMap::<&Name, Vec<&Seat>>::new();
    for seat in seats {
        regions.entry(&seat.region).or_default().push(seat);
    }
    let most = (available / policy.connections / regions.len().max(1)).max(policy.fewest);
    regions.into_values().flat_map(|members| select_largest(members, policy.fewest, most)).collect()
}

/// Selects between `fewest` and `most` members of a region: the large ones, of these only those in
/// a zone with searchers if there are enough, and smaller ones only to reach `fewest`.
fn select_largest(mut members: Vec<&Seat>, fewest: usize, most: usize) -> Vec<Ipv4Addr> {
    let threshold = members.iter().map(|seat| seat.weight).max().unwrap_or(0) / 2;
    let is_large = |seat: &&Seat| seat.weight >= threshold;
    let rank = |seat: &&Seat| {
        (!is_large(seat), !seat.beside, Reverse(seat.weight), hash_bytes(&seat.ip.octets()))
    };
    members.sort_by_key(rank);
    let beside = members.iter().filter(|seat| is_large(seat) && seat.beside).count();
    let large = members.iter().filter(|seat| is_large(seat)).count();
    let preferred = if beside >= fewest { beside } else { large };
    let count = preferred.max(fewest).min(most);
    members.into_iter().take(count).map(|seat| seat.ip).collect()
}
