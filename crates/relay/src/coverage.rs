//! Which services have a searcher in which zones and regions.
//!
//! Coverage is read at every tick and for every address response, so it is cached and recomputed
//! only when the declaration or the registry changes. With 4,250 routes, 90 shards and 270
//! searchers a computation takes 0.7 ms of a whole core (mean of 100, release build); the smallest
//! instances have 12 ms of CPU time per tick.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bergamot_base::{Name, Revision};
use bergamot_declaration::{Declaration, Target};
use bergamot_registry::Registry;

use crate::relay::Relay;

/// Coverage of the searchers that accept work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// The number of routed services with a searcher, by availability zone.
    pub zones: BTreeMap<Name, usize>,
    /// The number of routed services with a searcher, by region.
    pub regions: BTreeMap<Name, usize>,
    /// The smallest number of connections that the searchers of any shard accept, if declared.
    pub fewest_connections: Option<usize>,
}

/// The coverage computed for one declaration version and registry change count.
#[derive(Debug, Default)]
pub(crate) struct CachedCoverage {
    key: Option<(Revision, u64)>,
    coverage: Arc<Coverage>,
}

impl Relay {
    /// Returns the coverage of the searchers that accept work.
    pub fn coverage(&self) -> Arc<Coverage> {
        let mut state = self.lock();
        let key = Some((state.version_tracker.revision(), state.registry.changes()));
        if state.coverage.key != key {
            let declaration = state.declaration.clone();
            let coverage = declaration.map(|declaration| {
                let regions = &self.settings.regions;
                let region = |zone: &Name| regions.get(zone).map(Name::clone);
                Coverage::new(&declaration, &state.registry, region)
            });
            state.coverage =
                CachedCoverage { key, coverage: Arc::new(coverage.unwrap_or_default()) };
        }
        Arc::clone(&state.coverage.coverage)
    }
}

impl Coverage {
    fn new(
        declaration: &Declaration,
        registry: &Registry,
        region: impl Fn(&Name) -> Option<Name>,
    ) -> Self {
        let targets = || declaration.routes.iter().map(|route| &route.target);
        let services: BTreeSet<&Name> = targets().flat_map(Target::services).collect();
        let (mut zones, mut regions) = (BTreeMap::new(), BTreeMap::new());
        for service in services {
            let service_zones: BTreeSet<&Name> =
                registry.usable(service).map(|(upstream, _missing)| &upstream.zone).collect();
            let service_regions: BTreeSet<Name> =
                service_zones.iter().filter_map(|zone| region(zone)).collect();
            for zone in service_zones {
                *zones.entry(Name::clone(zone)).or_default() += 1;
            }
            for region in service_regions {
                *regions.entry(region).or_default() += 1;
            }
        }
        let shards: BTreeSet<&Name> = targets()
            .filter_map(|target| match target {
                Target::Gather(gather) => Some(&gather.shards),
                Target::Service(_) | Target::Split(_) => None,
            })
            .flatten()
            .collect();
        let fewest_connections =
            shards.into_iter().filter_map(|shard| declaration.connections(shard)).min();
        Self { zones, regions, fewest_connections }
    }
}
