//! Synthetic documents of a searcher, generated deterministically from their keys.
//!
//! Every process generates the same documents for a service, a version and an epoch. Each body
//! contains the version and the epoch, so that a test can detect results that mix snapshots.

use bergamot_base::{Epoch, Name, Version, hash_bytes, hash_pair};
use bergamot_query::{Hit, Shape};

/// The documents of one shard of a service.
#[derive(Clone, Debug)]
pub struct Corpus {
    /// The position of the shard in the partition map.
    pub position: usize,
    /// The number of shards in the partition map.
    pub shards: usize,
    /// The epoch of the partition map.
    pub epoch: Epoch,
    /// The number of documents in all shards of the service.
    pub documents: usize,
}

impl Corpus {
    /// Returns the key of a document.
    pub fn key(number: usize) -> Name {
        Name::from(format!("doc-{number}"))
    }

    /// Returns the keys of the documents in the shard.
    fn keys(&self) -> impl Iterator<Item = Name> + '_ {
        (0..self.documents).map(Self::key).filter(|key| self.contains(key))
    }

    fn contains(&self, key: &str) -> bool {
        hash_bytes(key.as_bytes()) % self.shards as u64 == self.position as u64
    }

    /// Generates the document with a key at a version.
    pub fn hit(&self, key: &Name, version: Version) -> Hit {
        let rank = hash_pair(hash_bytes(key.as_bytes()), version) >> 32;
        let body = Name::from(format!("{key}@v{version}e{}", self.epoch));
        Hit { key: Name::clone(key), rank, body }
    }

    /// Searches the shard; returns the number of its documents and the hits.
    pub fn search(&self, shape: &Shape, version: Version) -> (u64, Vec<Hit>) {
        let mut hits: Vec<Hit> = match shape {
            Shape::Record { key } => {
                let found = self.keys().any(|held| held == *key);
                found.then(|| self.hit(key, version)).into_iter().collect()
            }
            _ => self.keys().map(|key| self.hit(&key, version)).collect(),
        };
        shape.sort_and_truncate(&mut hits);
        (self.keys().count() as u64, hits)
    }
}
