//! What members tell each other of a suspicion.

use std::time::Duration;

use bergamot_base::{Name, hash_bytes, hash_pair};
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// An end of searchers under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Names the occasion: all that ended while one caller's attempt was sent to many searchers
    /// is one, and so is each trial.
    #[serde(rename = "i")]
    pub id: u64,
    /// Whether the request was sent to one searcher alone.
    #[serde(rename = "t")]
    pub trial: bool,
    /// The hash of the searcher that a trial has ended, zero for other strikes.
    #[serde(rename = "w", default)]
    pub searcher: u64,
    /// Whether the request was answered since.
    #[serde(rename = "c")]
    pub cleared: bool,
}

impl Strike {
    /// Names the end of searchers while one attempt of a caller, by its identifier, was with many.
    pub fn together(attempt: &[u8]) -> Self {
        Self { id: hash_bytes(attempt), trial: false, searcher: 0, cleared: false }
    }

    /// Names the end of a searcher, by its incarnation, that had a caller's attempt alone.
    pub fn alone(attempt: &[u8], searcher: &str) -> Self {
        let searcher = hash_bytes(searcher.as_bytes());
        let id = hash_pair(hash_bytes(attempt), searcher);
        Self { id, trial: true, searcher, cleared: false }
    }
}

/// A suspicion, as it travels between members.
///
/// Two reports about one request merge into the union of their strikes, so the order in which
/// they arrive is of no matter, nor is it that some arrive twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// What speaks against it.
    #[serde(rename = "s")]
    pub strikes: Vec<Strike>,
    /// Services whose searchers ended under it, a few of them.
    #[serde(rename = "v")]
    pub services: Vec<Name>,
    /// How long ago the first searcher ended.
    #[serde(rename = "a")]
    pub age: Duration,
}

impl Report {
    /// Tells whether a trial has ended its searcher, so that the report can't wait.
    pub fn is_urgent(&self) -> bool {
        self.strikes.iter().any(|strike| strike.trial && !strike.cleared)
    }
}
