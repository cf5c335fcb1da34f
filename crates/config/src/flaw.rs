//! Validation errors of documents and settings files.

use std::fmt;

use bergamot_base::{Name, Peer, Step};
use snafu::Snafu;

/// A single error: its location, the invalid value and what is allowed instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flaw {
    /// The path of the key, such as `workspaces[0].services[2].slots`.
    pub place: String,
    /// The invalid value.
    pub found: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl Flaw {
    /// Creates an error for the value `found` at `place`.
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

/// The rejection of a whole document or settings file, with every error found in it.
#[derive(Debug, Snafu)]
#[snafu(display("{step} {peer}: refused with {} faults\n{}", flaws.len(), list(flaws)))]
pub struct Refusal {
    /// The operation that failed.
    pub step: Step,
    /// The source of the input.
    pub peer: Peer,
    /// The errors, in the order in which they were found.
    pub flaws: Vec<Flaw>,
}

impl Refusal {
    /// Sets the file that the input came from.
    #[must_use]
    pub fn at(self, file: &str) -> Self {
        Self { peer: Peer::File(Name::from(file)), ..self }
    }
}

fn list(flaws: &[Flaw]) -> String {
    flaws.iter().map(|flaw| format!("  {flaw}")).collect::<Vec<_>>().join("\n")
}
