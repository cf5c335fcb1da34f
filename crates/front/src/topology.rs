//! The roles by which members distribute the store's updates, as this member sees them.
//!
//! The first member of each region reads the store, the second is its deputy, and large values pass
//! down a tree of the region's members. Invariant: members with the same view assign the same roles.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use bergamot_feed::{ReadRole, Topology, ancestors};
use bergamot_members::{Endpoint, Role, rank_members};

use crate::daemon::Inner;

impl Inner {
    /// Returns the roles by which members distribute the store's updates, or `None` while they
    /// cannot be determined.
    ///
    /// The first member of each region reads the store, and the second is its deputy. Members with
    /// the most processor capacity rank first, because everything that is read passes over their
    /// links, which have more bandwidth as well.
    pub(crate) fn topology(&self) -> Option<Topology> {
        if !self.peers.is_settled() {
            return self.bootstrap_topology();
        }
        let settings = self.relay.settings();
        let (own, region) = (settings.address, self.region(&settings.zone));
        let (up_to_date, member_count) = (self.peers.up_to_date_members(), self.peers.size());
        let is_isolated = !self.peers.hears_others();
        self.peers.with_view(|view| {
            let mut regions: Vec<_> =
                rank_members(view, |record| self.region(&record.zone)).into_iter().collect();
            for (_, members) in &mut regions {
                let weight = |endpoint| view.get(endpoint).map_or(0, |record| record.weight);
                members.sort_by_cached_key(|endpoint| Reverse(weight(*endpoint)));
            }
            regions.sort_by_key(|(name, _)| *name != region);
            let at_rank = |rank: usize| {
                let members = regions.iter().filter_map(move |(_, members)| members.get(rank));
                members.map(|endpoint| endpoint.ip).collect::<Vec<_>>()
            };
            let (first, second) = (at_rank(0), at_rank(1));
            let role = match () {
                () if first.contains(&own) || !settings.policy.readers.on => ReadRole::Reader,
                () if second.contains(&own) => ReadRole::Deputy,
                () => ReadRole::Follower,
            };
            let others = first.into_iter().chain(second).filter(|ip| *ip != own);
            let mut readers: Vec<Ipv4Addr> = others.collect();
            let in_region = regions.first().map(|(_, members)| chunk_tree_ancestors(members, own));
            let mut chunk_sources = in_region.unwrap_or_default();
            append_missing(&mut chunk_sources, &readers);
            append_missing(&mut readers, &up_to_date);
            Some(Topology { role, readers, chunk_sources, member_count, is_isolated })
        })
    }

    /// Returns the roles that apply until this member knows all others.
    fn bootstrap_topology(&self) -> Option<Topology> {
        let own = self.relay.settings().address;
        let is_reachable = |ip| {
            let endpoint = Endpoint { ip, role: Role::Entry };
            self.peers.with_view(|view| view.takes_work(endpoint))
        };
        let (seeds, up_to_date) = (self.peers.seeds(), self.peers.up_to_date_members());
        Topology::bootstrap(own, &seeds, is_reachable, up_to_date, self.peers.size())
    }
}

/// Appends the addresses that the list does not contain yet.
fn append_missing(ips: &mut Vec<Ipv4Addr>, others: &[Ipv4Addr]) {
    let missing = others.iter().filter(|ip| !ips.contains(ip)).copied();
    let missing: Vec<Ipv4Addr> = missing.collect();
    ips.extend(missing);
}

/// Returns the ancestors of a member in the chunk distribution tree of its region, whose members
/// are given in rank order.
fn chunk_tree_ancestors(members: &[Endpoint], own: Ipv4Addr) -> Vec<Ipv4Addr> {
    let position = members.iter().position(|endpoint| endpoint.ip == own);
    position
        .into_iter()
        .flat_map(ancestors)
        .filter_map(|position| members.get(position))
        .map(|endpoint| endpoint.ip)
        .collect()
}
