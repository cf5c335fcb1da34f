//! Seeded randomness, for reproducible runs.

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::hash::{hash_bytes, hash_pair};

/// A seed from which named random number generators are derived.
///
/// Each use derives its own generator by name, so that drawing more values in one place does
/// not change the values drawn elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Seed {
    /// Derives the generator for the use with the given name.
    pub fn generator(self, name: &str) -> StdRng {
        StdRng::seed_from_u64(hash_pair(self.0, hash_bytes(name.as_bytes())))
    }
}
