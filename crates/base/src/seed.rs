//! Seeded randomness, so that a run can be repeated.

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::hash::{hash_bytes, hash_pair};

/// A seed from which named generators are derived.
///
/// Each use derives its own generator by name, so that a draw more in one place
/// leaves the draws of all others as they were.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Seed {
    /// Derives the generator of a named use.
    pub fn generator(self, name: &str) -> StdRng {
        StdRng::seed_from_u64(hash_pair(self.0, hash_bytes(name.as_bytes())))
    }
}
