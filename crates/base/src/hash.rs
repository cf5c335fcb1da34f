//! Hashes that are identical in every process and every build.
//!
//! Rendezvous hashing and section hashes must agree across the fleet, which rules out the
//! randomly keyed hasher of the standard library.

use twox_hash::XxHash64;

/// Hashes a byte string.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// Hashes a pair of numbers, such as for rendezvous hashing weights.
pub fn hash_pair(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    hash_bytes(&bytes)
}

/// Hashes a sequence of byte strings; the result depends on the boundaries between them.
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    parts.into_iter().fold(0, |sum, part| hash_pair(sum, hash_bytes(part)))
}
