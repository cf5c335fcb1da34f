//! The chunks of large values that this member holds.
//!
//! A value is cut where its content says so, not at fixed positions: an insertion moves all
//! that follows it, and still only the chunks around it change. Invariants: a chunk is held
//! under the hash of its bytes, so nobody's word is taken for what it is; only chunks are held
//! that one of the newest manifests names, or the one that is being fetched, so what is held is
//! bounded by the values themselves;
//! an older version never takes the place of a newer one, in whatever order they are heard of.
//! See `docs/design/0010-large-records.md`.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bergamot_base::{Name, hash_bytes};
use bergamot_wire::{Manifest, Rank, Value};
use fastcdc::v2020::FastCDC;

/// From how many bytes on a value is cut into chunks. A reader sends what is smaller to
/// every member of its region: 25 copies of 8 KB take 0.11 s on a link of 14 Mbit/s.
const LARGEST_INLINE: usize = 8 << 10;

/// The sizes of chunks in bytes. A changed route costs one or two of them; each costs eight
/// bytes of a manifest.
const SMALLEST: usize = 2 << 10;
const USUAL: usize = 8 << 10;
const LARGEST: usize = 16 << 10;

/// How many manifests of one key keep their chunks: the value in force, with which the next
/// one shares most chunks, and the one before, for which others may still ask.
const MANIFESTS: usize = 2;

/// One version of a value that was cut.
#[derive(Clone, Debug)]
struct Version {
    rank: Rank,
    manifest: Manifest,
}

/// The chunks that this member holds.
#[derive(Clone, Debug, Default)]
pub struct Chunks {
    held: HashMap<u64, Arc<[u8]>>,
    /// The newest versions of each key, the newest of all first.
    versions: HashMap<Name, VecDeque<Version>>,
    /// The manifest of what is being fetched, however old it is by now.
    pinned: Option<Manifest>,
}

impl Chunks {
    /// Makes what travels of a value: the value itself, or a manifest of chunks that are held
    /// from now on.
    pub fn cut(&mut self, key: &Name, rank: Rank, value: Vec<u8>) -> Value {
        if value.len() <= LARGEST_INLINE {
            return Value::Inline(value);
        }
        let bodies = FastCDC::new(&value, SMALLEST, USUAL, LARGEST)
            .map(|cut| &value[cut.offset..cut.offset + cut.length]);
        let bodies: Vec<(u64, &[u8])> = bodies.map(|body| (hash_bytes(body), body)).collect();
        let chunks = bodies.iter().map(|(hash, _)| *hash).collect();
        let manifest = Manifest { hash: hash_bytes(&value), chunks };
        self.want(key, rank, &manifest);
        let named = self.named();
        for (hash, body) in bodies.into_iter().filter(|(hash, _)| named.contains(hash)) {
            self.held.entry(hash).or_insert_with(|| Arc::from(body));
        }
        Value::Chunked(manifest)
    }

    /// Notes that a key has a value of which this is the manifest, unless newer ones are known
    /// already, and drops the chunks that are of no use any more.
    pub fn want(&mut self, key: &Name, rank: Rank, manifest: &Manifest) {
        let versions = self.versions.entry(Name::clone(key)).or_default();
        if versions.iter().any(|known| known.rank == rank) {
            return;
        }
        let place = versions.partition_point(|known| known.rank > rank);
        versions.insert(place, Version { rank, manifest: manifest.clone() });
        versions.truncate(MANIFESTS);
        let named = self.named();
        self.held.retain(|hash, _| named.contains(hash));
    }

    /// Holds the chunks of a manifest until [`Chunks::unpin`], however old it becomes.
    pub fn pin(&mut self, manifest: &Manifest) {
        self.pinned = Some(manifest.clone());
    }

    /// Holds what was pinned no longer than other versions.
    pub fn unpin(&mut self) {
        self.pinned = None;
    }

    /// Lists the chunks of a manifest that are not held, in order.
    pub fn missing(&self, manifest: &Manifest) -> Vec<u64> {
        let hashes = manifest.chunks.iter().copied();
        hashes.filter(|hash| !self.held.contains_key(hash)).collect()
    }

    /// Takes in a chunk, and tells whether a manifest names it.
    pub fn take(&mut self, body: &[u8]) -> bool {
        let hash = hash_bytes(body);
        let named = self.manifests().any(|known| known.chunks.contains(&hash));
        if named {
            self.held.entry(hash).or_insert_with(|| Arc::from(body));
        }
        named
    }

    /// Returns the first of these chunks that are held, up to a size in bytes, one at least.
    pub fn first(&self, hashes: &[u64], limit: usize) -> Vec<Vec<u8>> {
        let mut size = 0;
        let held = hashes.iter().filter_map(|hash| self.held.get(hash));
        held.take_while(|body| {
            let fits = size == 0 || size + body.len() <= limit;
            size += body.len();
            fits
        })
        .map(|body| body.to_vec())
        .collect()
    }

    /// Puts a value together, unless a chunk is missing or the chunks are not its own.
    pub fn assemble(&self, manifest: &Manifest) -> Option<Vec<u8>> {
        let bodies: Option<Vec<&[u8]>> =
            manifest.chunks.iter().map(|hash| self.held.get(hash).map(|body| &**body)).collect();
        let value = bodies?.concat();
        (hash_bytes(&value) == manifest.hash).then_some(value)
    }

    /// Returns how many bytes are held.
    pub fn size(&self) -> usize {
        self.held.values().map(|body| body.len()).sum()
    }

    fn named(&self) -> HashSet<u64> {
        self.manifests().flat_map(|manifest| manifest.chunks.iter().copied()).collect()
    }

    fn manifests(&self) -> impl Iterator<Item = &Manifest> {
        let versions = self.versions.values().flatten().map(|version| &version.manifest);
        versions.chain(&self.pinned)
    }
}
