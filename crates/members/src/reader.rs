//! Which members hold a watch on the configuration service.
//!
//! The service answers about two thousand reads a second over all readers, and a
//! waiting watch counts as one, so only a few members of each zone watch; the others
//! learn of revisions from their peers. Invariant: in one view, each zone with a
//! reachable member has a reader, and the number of readers grows with the zones and
//! not with the fleet.

use std::collections::BTreeMap;

use bergamot_base::hash_pair;

use crate::record::Endpoint;
use crate::view::View;

/// The salt that keeps readers independent of the homes of cells.
const SALT: u64 = 0x7265_6164;

/// Returns the readers: the `per_zone` members of the highest weight in each zone.
pub fn readers(view: &View, per_zone: usize) -> Vec<Endpoint> {
    let mut zones = BTreeMap::<&str, Vec<(u64, Endpoint)>>::new();
    for record in view.iter().filter(|record| view.takes_work(record.endpoint)) {
        let weight = hash_pair(record.endpoint.hash(), SALT);
        zones.entry(&record.zone).or_default().push((weight, record.endpoint));
    }
    let mut chosen = Vec::new();
    for ranked in zones.values_mut() {
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        chosen.extend(ranked.iter().take(per_zone).map(|(_, endpoint)| *endpoint));
    }
    chosen
}
