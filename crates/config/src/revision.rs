//! Tracking of the document revision in force.
//!
//! Invariant: the revision in force never decreases during the lifetime of a process,
//! even if a stale service, a stale peer or a delayed message offers an older one. If two
//! documents have the same revision but different content, the one in force is kept and
//! the conflict is reported, because a daemon cannot know which one the operators intended.

use bergamot_base::Revision;

/// How an offered revision relates to the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionStatus {
    /// The revision is higher than the one in force and should be fetched, validated and adopted.
    Newer,
    /// The revision and the content are those in force.
    Same,
    /// The revision is lower than the one in force and must be ignored.
    Older,
    /// The revision is the one in force but the content differs; the offer must be reported and
    /// not adopted.
    Conflict,
}

/// The revision in force and the hash of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionTracker {
    revision: Revision,
    hash: u64,
    conflicts: u64,
}

impl RevisionTracker {
    /// Returns the revision in force, or zero if none has been adopted.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the content hash of the document in force.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the number of offers that conflicted with the document in force.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Compares an offered revision with the one in force, without adopting it.
    pub fn compare(&self, revision: Revision, hash: u64) -> RevisionStatus {
        if revision > self.revision {
            RevisionStatus::Newer
        } else if revision < self.revision {
            RevisionStatus::Older
        } else if hash == self.hash {
            RevisionStatus::Same
        } else {
            RevisionStatus::Conflict
        }
    }

    /// Adopts the revision of a validated document if it is newer, and counts conflicts.
    pub fn adopt(&mut self, revision: Revision, hash: u64) -> RevisionStatus {
        let status = self.compare(revision, hash);
        match status {
            RevisionStatus::Newer => {
                self.revision = revision;
                self.hash = hash;
            }
            RevisionStatus::Conflict => self.conflicts += 1,
            RevisionStatus::Same | RevisionStatus::Older => {}
        }
        status
    }
}
