//! Which members take callers and hold connections to searchers.
//!
//! A searcher accepts a bounded number of connections from all members together. Where
//! every member can have a few, all of them serve. In a larger fleet most would have one or
//! none, and each gathered answer costs a small machine tens of milliseconds; there the
//! largest machines of each region serve and the others stand by: they are ready, follow the
//! news, and take over when one of them is lost. Members in a zone with searchers go first,
//! since each part of a gathered answer that crosses zones is paid for. Invariant: members that see the same
//! members choose the same ones, and every region with a member has one that serves.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use bergamot_base::{Name, hash_bytes};
use bergamot_policy::Seats;

/// A member that could serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The member.
    pub ip: Ipv4Addr,
    /// Its region.
    pub region: Name,
    /// Whether searchers run in its availability zone.
    pub beside: bool,
    /// How much processor time it has, in thousandths of a core.
    pub weight: u32,
}

/// Chooses the members that serve, given how many connections a searcher accepts.
pub fn serving(seats: &[Seat], connections: usize, policy: &Seats) -> BTreeSet<Ipv4Addr> {
    let room = connections.saturating_sub(1);
    if !policy.on || seats.len() * policy.fewest_connections <= room {
        return seats.iter().map(|seat| seat.ip).collect();
    }
    let mut regions = BTreeMap::<&Name, Vec<&Seat>>::new();
    for seat in seats {
        regions.entry(&seat.region).or_default().push(seat);
    }
    let each = (room / policy.connections / regions.len().max(1)).max(policy.fewest);
    regions.into_values().flat_map(|members| largest(members, policy.fewest, each)).collect()
}

/// Takes the large members of a region, those beside the searchers if there are enough, and
/// a smaller one only where there is no other.
fn largest(mut members: Vec<&Seat>, fewest: usize, most: usize) -> Vec<Ipv4Addr> {
    let large = members.iter().map(|seat| seat.weight).max().unwrap_or(0) / 2;
    let is_large = |seat: &&Seat| seat.weight >= large;
    let rank = |seat: &&Seat| {
        (!is_large(seat), !seat.beside, Reverse(seat.weight), hash_bytes(&seat.ip.octets()))
    };
    members.sort_by_key(rank);
    let beside = members.iter().filter(|seat| is_large(seat) && seat.beside).count();
    let large = members.iter().filter(|seat| is_large(seat)).count();
    let enough = if beside >= fewest { beside } else { large };
    let taken = enough.max(fewest).min(most);
    members.into_iter().take(taken).map(|seat| seat.ip).collect()
}
