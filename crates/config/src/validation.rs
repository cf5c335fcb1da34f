//! Validation errors of documents and settings files.

use std::fmt;

use bergamot_base::{Name, Peer, Step};
use snafu::Snafu;

/// A single error: its location, the invalid value and what is allowed instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The path of the key, such as `workspaces[0].services[2].slots`.
    pub path: String,
    /// The invalid value.
    pub found: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl Violation {
    /// Creates an error for the value `found` at `path`.
    pub fn new(
        path: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self { path: path.into(), found: found.into(), allowed: allowed.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed: {}", self.path, self.found, self.allowed)
    }
}

/// The rejection of a whole document or settings file, with every error found in it.
#[derive(Debug, Snafu)]
#[snafu(display("{step} {peer}: refused with {} faults\n{}", violations.len(), list(violations)))]
pub struct ValidationError {
    /// The operation that failed.
    pub step: Step,
    /// The source of the input.
    pub peer: Peer,
    /// The errors, in the order in which they were found.
    pub violations: Vec<Violation>,
}

impl ValidationError {
    /// Sets the file that the input came from.
    #[must_use]
    pub fn with_file(self, file: &str) -> Self {
        Self { peer: Peer::File(Name::from(file)), ..self }
    }
}

fn list(violations: &[Violation]) -> String {
    violations.iter().map(|violation| format!("  {violation}")).collect::<Vec<_>>().join("\n")
}
