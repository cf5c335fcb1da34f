//! The messages about suspect requests that members exchange.

use std::time::Duration;

use bergamot_base::{Name, hash_bytes, hash_pair};
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// A crash of one or more searchers while they ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Identifies the event: all crashes during the fan-out of one caller's attempt share an
    /// identifier, and each trial has its own.
    #[serde(rename = "i")]
    pub id: u64,
    /// Whether the request was sent to a single searcher.
    #[serde(rename = "t")]
    pub trial: bool,
    /// The hash of the searcher that crashed during a trial, zero for other strikes.
    #[serde(rename = "w", default)]
    pub searcher: u64,
    /// Whether the request has been answered since.
    #[serde(rename = "c")]
    pub cleared: bool,
}

impl Strike {
    /// Creates the strike for crashes during the fan-out of a caller's attempt, given the
    /// identifier of the attempt.
    pub fn from_fan_out(attempt: &[u8]) -> Self {
        Self { id: hash_bytes(attempt), trial: false, searcher: 0, cleared: false }
    }

    /// Creates the strike for the crash of a searcher, given as its incarnation, that was the only
    /// one to run a caller's attempt.
    pub fn from_trial(attempt: &[u8], searcher: &str) -> Self {
        let searcher = hash_bytes(searcher.as_bytes());
        let id = hash_pair(hash_bytes(attempt), searcher);
        Self { id, trial: true, searcher, cleared: false }
    }
}

/// The state of a suspect request, as sent between members.
///
/// Reports about one request merge into the union of their strikes, so that neither their order
/// nor duplicates matter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The crashes that are held against it.
    #[serde(rename = "s")]
    pub strikes: Vec<Strike>,
    /// Some of the services whose searchers crashed while they ran it.
    #[serde(rename = "v")]
    pub services: Vec<Name>,
    /// The time since the first crash.
    #[serde(rename = "a")]
    pub age: Duration,
}

impl Report {
    /// Returns whether a searcher crashed during a trial, in which case the report must be sent at
    /// once.
    pub fn is_urgent(&self) -> bool {
        self.strikes.iter().any(|strike| strike.trial && !strike.cleared)
    }
}
