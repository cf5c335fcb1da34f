//! Identity of a request across attempts and callers.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies all requests with the same method, path, query and body.
///
/// The caller's attempt identifier is not included. The hash is cryptographic, so that nobody
/// can craft a request with the fingerprint of somebody else's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(method: &str, uri: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), uri.as_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let hash = hash.finalize();
        let (first, _rest) = hash.split_first_chunk().expect("the hash has 32 bytes");
        Self(u64::from_le_bytes(*first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
