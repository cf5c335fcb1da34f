//! Snapshot selection for queries.
//!
//! Index versions roll out one searcher at a time. A query pins the newest version
//! that a live replica of every shard holds, together with the epoch of the
//! partition map and the revision of the configuration document, and sends the pin
//! with each sub-query. Invariant: results for a different pin are never merged.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use bergamot_base::{Epoch, Revision, Service, Shard, Version};
use serde::{Deserialize, Serialize};

/// Identifies one snapshot of a service's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pin {
    /// Revision of the configuration document that the query was planned with.
    pub revision: Revision,
    /// Epoch of the partition map.
    pub epoch: Epoch,
    /// Index version.
    pub version: Version,
}

impl fmt::Display for Pin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{} e{} v{}", self.revision, self.epoch, self.version)
    }
}

/// The index versions that each shard is known to serve.
///
/// A gather fills it from the searchers that it connects to, and an entry from
/// the replies of gathers.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    shards: BTreeMap<Shard, BTreeSet<Version>>,
}

impl Catalog {
    /// Replaces the known versions of a shard.
    pub fn set_versions(&mut self, shard: Shard, versions: impl IntoIterator<Item = Version>) {
        self.shards.insert(shard, versions.into_iter().collect());
    }

    /// Removes all entries. Needed when a new document renumbers the shards.
    pub fn clear(&mut self) {
        self.shards.clear();
    }

    /// Returns the newest version that all of the given shards hold.
    ///
    /// Shards without known versions are ignored: the query itself will show whether
    /// they hold the version.
    pub fn newest_common(&self, shards: &[Shard]) -> Option<Version> {
        self.common(shards).and_then(|versions| versions.last().copied())
    }

    /// Returns the newest common version, or else the version that most shards hold,
    /// the newest in case of a tie.
    ///
    /// Without a common version no complete result is possible, and the version that
    /// most shards hold gives the largest consistent partial result.
    pub fn best_version(&self, shards: &[Shard]) -> Option<Version> {
        self.newest_common(shards).or_else(|| {
            let mut counts = BTreeMap::<Version, usize>::new();
            for version in shards.iter().filter_map(|shard| self.shards.get(shard)).flatten() {
                *counts.entry(*version).or_default() += 1;
            }
            counts.into_iter().max_by_key(|&(version, count)| (count, version)).map(|(v, _)| v)
        })
    }

    fn common(&self, shards: &[Shard]) -> Option<BTreeSet<Version>> {
        let mut known = shards.iter().filter_map(|shard| self.shards.get(shard));
        let first = known.next()?.clone();
        Some(known.fold(first, |common, versions| &common & versions))
    }

    /// Returns, for each service, the versions common to all of its known shards.
    pub fn common_by_service(
        &self,
        service_of: impl Fn(Shard) -> Service,
    ) -> Vec<(Service, Vec<Version>)> {
        let mut services = BTreeMap::<Service, BTreeSet<Version>>::new();
        for (shard, versions) in &self.shards {
            services
                .entry(service_of(*shard))
                .and_modify(|common| *common = &*common & versions)
                .or_insert_with(|| versions.clone());
        }
        services.into_iter().map(|(service, held)| (service, held.into_iter().collect())).collect()
    }

    /// Iterates over the shards and their versions.
    pub fn iter(&self) -> impl Iterator<Item = (Shard, Vec<Version>)> + '_ {
        self.shards.iter().map(|(shard, held)| (*shard, held.iter().copied().collect()))
    }
}
