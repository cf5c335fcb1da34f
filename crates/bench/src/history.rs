//! Recorded requests, their outcomes as callers saw them, and the effects at searchers.

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bergamot_base::{Name, Version};
use bergamot_standin::Effect;
use serde::{Deserialize, Serialize};

/// The outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A complete answer, or a write that was executed.
    Complete,
    /// An answer marked as partial.
    Partial,
    /// Rejected with a retry-after time.
    Refused,
    /// A write reported as not executed.
    NotRun,
    /// A write that may have been executed.
    Unknown,
    /// An error without a retry-after time.
    Failed,
    /// No final answer.
    Lost,
}

/// One request sent by a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The service, as `workspace/service`.
    pub service: Name,
    /// The scheduled send time, in microseconds since the start of the run.
    pub due_us: u64,
    /// The latency from the scheduled time to the final answer, in microseconds.
    pub took_us: u64,
    /// Its deadline, in microseconds.
    pub deadline_us: u64,
    /// The outcome.
    pub ending: Ending,
    /// The idempotency key, for writes.
    pub key: Option<Name>,
    /// The key of the record that was queried or written.
    pub record: Option<Name>,
    /// The stated coverage and the content of the answer, for queries.
    pub answer: Option<Answer>,
    /// The address of the entry that answered.
    pub entry: Name,
}

/// The stated coverage of a query answer, and what its hits show.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The index version stated by the answer.
    pub version: Version,
    /// The epoch stated by the answer.
    pub epoch: u64,
    /// The number of shards that the query covers.
    pub asked: usize,
    /// The number of shards that answered.
    pub answered: usize,
    /// The shards listed as missing.
    pub missing: Vec<usize>,
    /// Whether the answer is marked as complete.
    pub complete: bool,
    /// The number of sub-queries sent to searchers.
    pub attempts: u32,
    /// The versions and epochs found in the hits, as `v1e1`.
    pub stamps: Vec<Name>,
    /// The number of hits.
    pub hits: usize,
    /// The number of hits in a complete answer.
    pub expected: usize,
    /// Whether a hit is duplicated or belongs to a record that was not requested.
    pub foreign: bool,
}

/// The requests and effects recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The requests of all callers.
    pub requests: Vec<Request>,
    /// The effects at each searcher.
    pub effects: HashMap<SocketAddr, Vec<Effect>>,
}

/// A line of a history file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
enum Line {
    Request(Request),
    Effect { searcher: SocketAddr, effect: Effect },
}

impl History {
    /// Writes the history as one JSON line per request or effect.
    pub fn save(&self, file: &mut impl Write) -> std::io::Result<()> {
        for request in &self.requests {
            writeln!(file, "{}", serde_json::to_string(&Line::Request(request.clone()))?)?;
        }
        for (searcher, effects) in &self.effects {
            for effect in effects {
                let line = Line::Effect { searcher: *searcher, effect: effect.clone() };
                writeln!(file, "{}", serde_json::to_string(&line)?)?;
            }
        }
        Ok(())
    }

    /// Reads a history; skips empty lines and lines that begin with `#`.
    pub fn load(file: impl BufRead) -> std::io::Result<Self> {
        let mut history = Self::default();
        for line in file.lines() {
            let line = line?;
            if line.trim().is_empty() || line.starts_with('#') {
                continue;
            }
            match serde_json::from_str(&line)? {
                Line::Request(request) => history.requests.push(request),
                Line::Effect { searcher, effect } => {
                    history.effects.entry(searcher).or_default().push(effect);
                }
            }
        }
        Ok(history)
    }

    /// Counts the requests with an outcome.
    pub fn count(&self, ending: Ending) -> usize {
        self.requests.iter().filter(|request| request.ending == ending).count()
    }
}

impl Request {
    /// Returns the latency; for a lost, refused or failed request at least its deadline, so
    /// that fast errors do not improve the percentiles.
    pub fn latency(&self) -> Duration {
        let latency = match self.ending {
            Ending::Lost | Ending::Refused | Ending::Failed => self.took_us.max(self.deadline_us),
            _ => self.took_us,
        };
        Duration::from_micros(latency)
    }
}
