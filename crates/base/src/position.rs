//! A position in the changes of a store that may be restored from a copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in the changes of a store.
///
/// A store that comes back from a copy gives its revisions out again, so that a revision alone
/// says nothing: it belongs to an era. The era goes first in the order, so that all of a later one
/// comes after all of an earlier one. See `docs/design/0016-restored-stores.md`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store has been restored, by its own count; zero if it doesn't say.
    pub era: u64,
    /// The store's revision within the era; zero for nothing.
    pub revision: u64,
}

impl Position {
    /// Tells whether nothing is known up to here.
    pub fn is_start(self) -> bool {
        self.revision == 0
    }
}

impl From<u64> for Position {
    /// A revision of a store that names no era.
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
