//! The slots of the searchers that bind the requests to a pool.
//!
//! They depend on the declaration, the registry and the regions that serve callers, and are computed
//! again only after one of these has changed.

use std::collections::HashMap;

use bergamot_admission::Pool;
use bergamot_base::{Name, Revision};

use crate::admission::Need;
use crate::relay::Relay;

/// The slots that bind the requests to each pool, by the number of services that a request needs.
#[derive(Debug, Default)]
pub(crate) struct PoolSlots {
    /// The declaration version, the number of registry changes and the number of regions that they
    /// were computed for.
    key: (Revision, u64, usize),
    slots: HashMap<(Pool, usize), u32>,
}

impl Relay {
    /// Returns this region's share of the slots of the shard that binds a request: the one with the
    /// fewest slots that the request can't do without.
    pub(crate) fn binding_slots(&self, pool: Pool, need: Need<'_>) -> u32 {
        let regions = self.with_delegates(|delegates| delegates.count_regions(self.own_region()));
        let mut state = self.lock();
        let key = (state.version_tracker.revision(), state.registry.changes(), regions);
        if state.pool_slots.key != key {
            state.pool_slots = PoolSlots { key, slots: HashMap::new() };
        }
        if let Some(slots) = state.pool_slots.slots.get(&(pool, need.fewest)) {
            return *slots;
        }
        let of_service = |service: &Name| {
            state.registry.usable(service).map(|(upstream, _missing)| upstream.slots).sum()
        };
        let mut slots: Vec<usize> = need.services.iter().map(of_service).collect();
        slots.sort_unstable();
        let binding = slots.get(slots.len().saturating_sub(need.fewest)).copied().unwrap_or(0);
        let share = (binding / regions).max(1) as u32;
        state.pool_slots.slots.insert((pool, need.fewest), share);
        share
    }
}
