//! Positions in the change history of a store that may be restored from a backup.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in the change history of a store.
///
/// A store that has been restored from a backup assigns the same revisions again, so a revision
/// is only unique together with the era, the number of restores before it. Positions are ordered
/// by era first, so that every position of a later era follows all positions of earlier ones. See
/// `docs/design/0016-restored-stores.md`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The number of restores reported by the store, or zero if it reports none.
    pub era: u64,
    /// The revision of the store within the era, or zero before the first change.
    pub revision: u64,
}

impl Position {
    /// Returns the first position after this one within the era.
    #[must_use]
    pub fn next(self) -> Self {
        Self { revision: self.revision.saturating_add(1), ..self }
    }

    /// Returns whether this is the position before the first change.
    pub fn is_start(self) -> bool {
        self.revision == 0
    }
}

impl From<u64> for Position {
    /// Converts a revision of a store that reports no era.
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
