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
pub struct Candidate {
    /// The member.
    pub ip: Ipv4Addr,
    /// Its region.
    pub region: Name,
    /// Whether searchers run in its availability zone.
    pub in_searcher_zone: bool,
    /// The processor time available to it, in thousandths of a core.
    pub weight: u32,
}

/// Selects the members that serve, given how many connections a searcher accepts.
pub fn select_serving(
    candidates: &[Candidate],
    connections: usize,
    policy: &Seats,
) -> BTreeSet<Ipv4Addr> {
    let available = connections.saturating_sub(1);
    if !policy.on || candidates.len() * policy.fewest_connections <= available {
        return candidates.iter().map(|candidate| candidate.ip).collect();
    }
    let mut regions = BTreeMap::<&Name, Vec<&Candidate>>::new();
    for candidate in candidates {
        regions.entry(&candidate.region).or_default().push(candidate);
    }
    let most = (available / policy.connections / regions.len().max(1)).max(policy.fewest);
    regions.into_values().flat_map(|members| select_largest(members, policy.fewest, most)).collect()
}

/// Selects between `fewest` and `most` members of a region: the large ones, of these only those in
/// a zone with searchers if there are enough, and smaller ones only to reach `fewest`.
fn select_largest(mut members: Vec<&Candidate>, fewest: usize, most: usize) -> Vec<Ipv4Addr> {
    let threshold = members.iter().map(|candidate| candidate.weight).max().unwrap_or(0) / 2;
    let is_large = |candidate: &&Candidate| candidate.weight >= threshold;
    let rank = |candidate: &&Candidate| {
        (
            !is_large(candidate),
            !candidate.in_searcher_zone,
            Reverse(candidate.weight),
            hash_bytes(&candidate.ip.octets()),
        )
    };
    members.sort_by_key(rank);
    let in_searcher_zone = members
        .iter()
        .filter(|candidate| is_large(candidate) && candidate.in_searcher_zone)
        .count();
    let large = members.iter().filter(|candidate| is_large(candidate)).count();
    let preferred = if in_searcher_zone >= fewest { in_searcher_zone } else { large };
    let count = preferred.max(fewest).min(most);
    members.into_iter().take(count).map(|candidate| candidate.ip).collect()
}
