//! The snapshot that a query reads.
//!
//! Index versions roll out searcher by searcher. A query pins the newest version
//! that a live replica of every shard holds, together with the epoch of the
//! partition map and the revision of the document, and carries the pin with each
//! sub-query. Invariant: no answer for another pin is ever merged.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use bergamot_base::{Epoch, Revision, Service, Shard, Version};
use serde::{Deserialize, Serialize};

/// One snapshot of a service's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pin {
    /// The revision of the document under which the query was planned.
    pub revision: Revision,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The version of the index.
    pub version: Version,
}

impl fmt::Display for Pin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{} e{} v{}", self.revision, self.epoch, self.version)
    }
}

/// The versions that each shard can serve, as far as this process knows.
///
/// A gather fills it from the searchers it homes; an entry from its gathers.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    shards: BTreeMap<Shard, BTreeSet<Version>>,
}

impl Catalog {
    /// Replaces what is known of a shard.
    pub fn learn(&mut self, shard: Shard, versions: impl IntoIterator<Item = Version>) {
        self.shards.insert(shard, versions.into_iter().collect());
    }

    /// Forgets everything, as when a new document renumbers the shards.
    pub fn clear(&mut self) {
        self.shards.clear();
    }

    /// Returns the newest version that every one of the shards holds.
    ///
    /// Shards of which nothing is known don't vote: the query finds out.
    pub fn newest(&self, shards: &[Shard]) -> Option<Version> {
        self.common(shards).and_then(|versions| versions.last().copied())
    }

    /// Returns the newest common version, or else the newest that most shards hold.
    ///
    /// With no common version no whole answer exists; the one that covers the
    /// largest part is the most useful truthful answer.
    pub fn best(&self, shards: &[Shard]) -> Option<Version> {
        self.newest(shards).or_else(|| {
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

    /// Returns the versions common to all known shards of each service.
    pub fn digest(&self, service_of: impl Fn(Shard) -> Service) -> Vec<(Service, Vec<Version>)> {
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
