//! Selection of the members that watch the configuration service.
//!
//! The service sustains about two thousand reads a second over all readers, and each waiting watch
//! counts as one. Only a few members of each zone therefore watch it; the others learn of revisions
//! from their peers. Invariant: for a given view, each zone with a reachable member has a reader,
//! and the number of readers grows with the number of zones, not with the fleet.

use std::collections::BTreeMap;

use bergamot_base::{Name, hash_pair};

use crate::record::{Endpoint, Record};
use crate::view::View;

/// The hash salt that makes the choice of readers independent of the homes of cells.
const SALT: u64 = 0x7265_6164;

/// Returns the readers: the `per_zone` members of the highest rendezvous weight in each zone.
pub fn readers(view: &View, per_zone: usize) -> Vec<Endpoint> {
    let zones = rank_members(view, |record| Name::clone(&record.zone));
    zones.into_values().flat_map(|zone| zone.into_iter().take(per_zone)).collect()
}

/// Groups the members that accept work, and sorts each group by rendezvous weight, highest first.
pub fn rank_members(view: &View, group: impl Fn(&Record) -> Name) -> BTreeMap<Name, Vec<Endpoint>> {
    let mut groups = BTreeMap::<Name, Vec<(u64, Endpoint)>>::new();
    for record in view.iter().filter(|record| view.takes_work(record.endpoint)) {
        let weight = hash_pair(record.endpoint.hash(), SALT);
        groups.entry(group(record)).or_default().push((weight, record.endpoint));
    }
    let sorted = |mut members: Vec<(u64, Endpoint)>| {
        members.sort_unstable_by(|a, b| b.cmp(a));
        members.into_iter().map(|(_, endpoint)| endpoint).collect()
    };
    groups.into_iter().map(|(name, members)| (name, sorted(members))).collect()
}
