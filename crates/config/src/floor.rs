//! The revision floor: which document is in force.
//!
//! Invariant: the revision in force never falls during the life of a process,
//! whatever a stale service, a stale peer or a late message offers. Two documents
//! of one revision can't both be right; the one in force stays and the clash is
//! reported, because no daemon can know which one the operators meant.

use bergamot_base::Revision;

/// What became of a revision that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The revision is higher than the one in force: fetch, check and adopt it.
    Newer,
    /// The revision is the one in force.
    Same,
    /// The revision is lower than the one in force and is ignored.
    Older,
    /// The revision is the one in force, with other content: keep ours and alarm.
    Clash,
}

/// The revision in force and the hash of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    revision: Revision,
    hash: u64,
    clashes: u64,
}

impl Floor {
    /// Returns the revision in force, zero before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the hash of the document in force.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns how many offers clashed with the document in force.
    pub fn clashes(&self) -> u64 {
        self.clashes
    }

    /// Judges an offered revision without adopting it.
    pub fn judge(&self, revision: Revision, hash: u64) -> Verdict {
        if revision > self.revision {
            Verdict::Newer
        } else if revision < self.revision {
            Verdict::Older
        } else if hash == self.hash {
            Verdict::Same
        } else {
            Verdict::Clash
        }
    }

    /// Adopts a document that was checked whole, if it is still newer.
    pub fn adopt(&mut self, revision: Revision, hash: u64) -> Verdict {
        let verdict = self.judge(revision, hash);
        match verdict {
            Verdict::Newer => {
                self.revision = revision;
                self.hash = hash;
            }
            Verdict::Clash => self.clashes += 1,
            Verdict::Same | Verdict::Older => {}
        }
        verdict
    }
}
