//! Content-addressed storage for the chunks of large values.
//!
//! Values are split by content-defined chunking rather than at fixed offsets, so an insertion
//! changes only the chunks around it. Invariants: a chunk is stored under the hash of its bytes, so
//! a peer cannot mislabel one; a chunk is stored only if one of the newest manifests, or the one
//! being fetched, references it, which bounds storage by the size of the values themselves; an
//! older version never replaces a newer one, whatever the order of arrival. See
//! `docs/design/0010-large-records.md`.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bergamot_base::{Name, hash_bytes};
use bergamot_wire::{Manifest, Rank, Value};
use fastcdc::v2020::FastCDC;

/// The largest value that is sent inline, in bytes. A reader sends inline values to every member of
/// its region: 25 copies of 8 KB take 0.11 s on a 14 Mbit/s link.
const MAX_INLINE_BYTES: usize = 8 << 10;

/// Chunk sizes in bytes. Changing one route replaces one or two chunks; each chunk adds eight bytes
/// to the manifest.
const MIN_CHUNK_BYTES: usize = 2 << 10;
const AVERAGE_CHUNK_BYTES: usize = 8 << 10;
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// How many versions of a key keep their chunks: the newest one that is known, and the newest other
/// one that is complete here, which other members may still be fetching. While none is complete, the
/// newest two.
const MAX_VERSIONS_PER_KEY: usize = 2;

/// One version of a chunked value.
#[derive(Clone, Debug)]
struct Version {
    rank: Rank,
    manifest: Manifest,
    is_complete: bool,
}

/// The chunks that this member stores.
#[derive(Clone, Debug, Default)]
pub struct Chunks {
    stored: HashMap<u64, Arc<[u8]>>,
    /// The latest versions of each key, newest first.
    versions: HashMap<Name, VecDeque<Version>>,
    /// The manifests of values that are being fetched, regardless of their age.
    pinned: Vec<Manifest>,
}

impl Chunks {
    /// Returns the form in which a value is sent to other members: inline, or as a manifest whose
    /// chunks are stored.
    pub fn split(&mut self, key: &Name, rank: Rank, value: Vec<u8>) -> Value {
        if value.len() <= MAX_INLINE_BYTES {
            return Value::Inline(value);
        }
        let bodies = FastCDC::new(&value, MIN_CHUNK_BYTES, AVERAGE_CHUNK_BYTES, MAX_CHUNK_BYTES)
            .map(|cut| &value[cut.offset..cut.offset + cut.length]);
        let bodies: Vec<(u64, &[u8])> = bodies.map(|body| (hash_bytes(body), body)).collect();
        let chunks = bodies.iter().map(|(hash, _)| *hash).collect();
        let manifest = Manifest { hash: hash_bytes(&value), chunks };
        self.register(key, rank, &manifest);
        let referenced = self.referenced_chunks();
        for (hash, body) in bodies.into_iter().filter(|(hash, _)| referenced.contains(hash)) {
            self.stored.entry(hash).or_insert_with(|| Arc::from(body));
        }
        self.register(key, rank, &manifest);
        Value::Chunked(manifest)
    }

    /// Registers a version of a key by its manifest, unless enough newer versions are known, and
    /// drops chunks that are no longer referenced.
    pub fn register(&mut self, key: &Name, rank: Rank, manifest: &Manifest) {
        let is_complete = self.missing(manifest).is_empty();
        let versions = self.versions.entry(Name::clone(key)).or_default();
        match versions.iter_mut().find(|known| known.rank == rank) {
            Some(known) if known.is_complete || !is_complete => return,
            Some(known) => known.is_complete = true,
            None => {
                let place = versions.partition_point(|known| known.rank > rank);
                versions.insert(place, Version { rank, manifest: manifest.clone(), is_complete });
            }
        }
        self.drop_superseded(key);
    }

    /// Drops the versions of a key that are no longer kept, and chunks that nothing references.
    fn drop_superseded(&mut self, key: &Name) {
        let Some(versions) = self.versions.get_mut(key) else { return };
        let other_complete = versions.iter().skip(1).position(|known| known.is_complete);
        if let Some(others) = other_complete {
            versions.drain(1..=others);
        }
        versions.truncate(MAX_VERSIONS_PER_KEY);
        let referenced = self.referenced_chunks();
        self.stored.retain(|hash, _| referenced.contains(hash));
    }

    /// Keeps the chunks of a manifest until [`Chunks::unpin`], regardless of its age.
    pub fn pin(&mut self, manifest: &Manifest) {
        self.pinned.push(manifest.clone());
    }

    /// Releases a pinned manifest.
    pub fn unpin(&mut self, manifest: &Manifest) {
        if let Some(place) = self.pinned.iter().position(|pinned| pinned == manifest) {
            self.pinned.swap_remove(place);
        }
    }

    /// Lists the chunks of a manifest that are not stored, in order.
    pub fn missing(&self, manifest: &Manifest) -> Vec<u64> {
        let hashes = manifest.chunks.iter().copied();
        hashes.filter(|hash| !self.stored.contains_key(hash)).collect()
    }

    /// Stores a chunk if a known manifest references it, and returns whether one does.
    pub fn insert(&mut self, body: &[u8]) -> bool {
        let hash = hash_bytes(body);
        let referenced = self.manifests().any(|known| known.chunks.contains(&hash));
        if referenced {
            self.stored.entry(hash).or_insert_with(|| Arc::from(body));
        }
        referenced
    }

    /// Returns the first of the given chunks that are stored, up to `limit` bytes in total but at
    /// least one.
    pub fn select(&self, hashes: &[u64], limit: usize) -> Vec<Vec<u8>> {
        let mut size = 0;
        let held = hashes.iter().filter_map(|hash| self.stored.get(hash));
        held.take_while(|body| {
            let fits = size == 0 || size + body.len() <= limit;
            size += body.len();
            fits
        })
        .map(|body| body.to_vec())
        .collect()
    }

    /// Reassembles a value. Returns `None` if a chunk is missing or the result does not match the
    /// manifest's hash.
    pub fn assemble(&self, manifest: &Manifest) -> Option<Vec<u8>> {
        let bodies: Option<Vec<&[u8]>> =
            manifest.chunks.iter().map(|hash| self.stored.get(hash).map(|body| &**body)).collect();
        let value = bodies?.concat();
        (hash_bytes(&value) == manifest.hash).then_some(value)
    }

    /// Returns the total size of the stored chunks in bytes.
    pub fn size(&self) -> usize {
        self.stored.values().map(|body| body.len()).sum()
    }

    fn referenced_chunks(&self) -> HashSet<u64> {
        self.manifests().flat_map(|manifest| manifest.chunks.iter().copied()).collect()
    }

    fn manifests(&self) -> impl Iterator<Item = &Manifest> {
        let versions = self.versions.values().flatten().map(|version| &version.manifest);
        versions.chain(&self.pinned)
    }
}
