//! What is wrong with a document or a settings file, and where.

use std::fmt;

use bergamot_base::{Name, Peer, Step};
use snafu::Snafu;

/// One fault: the place, what was found there and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flaw {
    /// The path of the key, such as `workspaces[0].services[2].slots`.
    pub place: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

impl Flaw {
    /// Describes a fault.
    pub fn new(
        place: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self { place: place.into(), found: found.into(), allowed: allowed.into() }
    }
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed: {}", self.place, self.found, self.allowed)
    }
}

/// The refusal of a whole document or settings file, with every fault.
#[derive(Debug, Snafu)]
#[snafu(display("{step} {peer}: refused with {} faults\n{}", flaws.len(), list(flaws)))]
pub struct Refusal {
    /// What was being done.
    pub step: Step,
    /// Where the input came from.
    pub peer: Peer,
    /// Every fault found.
    pub flaws: Vec<Flaw>,
}

impl Refusal {
    /// Refuses the input that came from a named file.
    #[must_use]
    pub fn at(self, file: &str) -> Self {
        Self { peer: Peer::File(Name::from(file)), ..self }
    }
}

fn list(flaws: &[Flaw]) -> String {
    flaws.iter().map(|flaw| format!("  {flaw}")).collect::<Vec<_>>().join("\n")
}
