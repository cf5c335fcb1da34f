//! Hashes that are the same in every process and every build.
//!
//! Rendezvous hashing and section hashes must agree over the fleet, so the
//! standard library's keyed hasher can't be used for them.

use twox_hash::XxHash64;

/// Hashes a byte string.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// Hashes a pair of numbers, for weights of rendezvous hashing.
pub fn hash_pair(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    hash_bytes(&bytes)
}

/// Hashes several byte strings, each closed off so that borders matter.
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    parts.into_iter().fold(0, |sum, part| hash_pair(sum, hash_bytes(part)))
}
