//! Pools of searchers that requests need together, and the members that coordinate them.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use bergamot_base::{Name, hash_bytes, hash_pair};

/// Identifies the set of services that a request needs: all shards of a gathered route, or the one
/// service of another route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool(u64);

impl Pool {
    /// Returns the pool of some services, whatever their order.
    pub fn of<'a>(services: impl IntoIterator<Item = &'a Name>) -> Self {
        let hashes = services.into_iter().map(|service| hash_bytes(service.as_bytes()));
        Self(hashes.fold(0, u64::wrapping_add))
    }

    /// Returns the pool with an identifier received from another member.
    pub fn from_id(id: u64) -> Self {
        Self(id)
    }

    /// Returns the identifier that names the pool in messages.
    pub fn id(self) -> u64 {
        self.0
    }
}

/// Orders the members of a region by rendezvous hashing: the first one coordinates the pool, and
/// the next one takes over when it doesn't answer.
pub fn rank_coordinators(pool: Pool, members: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|ip| Reverse(hash_pair(hash_bytes(&ip.octets()), pool.0)));
    ranked
}
