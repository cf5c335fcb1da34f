//! What callers asked and got, and what searchers did.

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bergamot_base::{Name, Version};
use bergamot_standin::Effect;
use serde::{Deserialize, Serialize};

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A whole answer, or a write that is done.
    Complete,
    /// An answer that says that it covers only a part.
    Partial,
    /// Refused at once, with when to come back.
    Refused,
    /// A write that is said not to have run.
    NotRun,
    /// A write that may have run.
    Unknown,
    /// An error without when to come back.
    Failed,
    /// No final answer at all.
    Lost,
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The service, with its workspace.
    pub service: Name,
    /// When it was due, in microseconds since the start of the run.
    pub due_us: u64,
    /// How long after that its final answer came, in microseconds.
    pub took_us: u64,
    /// Its deadline, in microseconds.
    pub deadline_us: u64,
    /// How it ended.
    pub ending: Ending,
    /// The write key, for writes.
    pub key: Option<Name>,
    /// The record that was asked for or written to.
    pub record: Option<Name>,
    /// What the answer says and holds, for queries.
    pub answer: Option<Answer>,
    /// The entry that answered.
    pub entry: Name,
}

/// What the answer to a query says, and what it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The version that the answer names.
    pub version: Version,
    /// The epoch that the answer names.
    pub epoch: u64,
    /// The shards that had to be asked.
    pub asked: usize,
    /// The shards that answered.
    pub answered: usize,
    /// The shards that are named as missing.
    pub missing: Vec<usize>,
    /// Whether the answer says that it is complete.
    pub complete: bool,
    /// The sub-queries sent to searchers.
    pub attempts: u32,
    /// The versions and epochs found in the hits, as `v1e1`.
    pub stamps: Vec<Name>,
    /// How many hits there are.
    pub hits: usize,
    /// How many hits there must be for the answer to be whole.
    pub expected: usize,
    /// Whether a hit stands twice, or is not of the record asked for.
    pub foreign: bool,
}

/// Everything that happened in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The callers' requests.
    pub requests: Vec<Request>,
    /// What each searcher did.
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
    /// Writes the history, one JSON line a request or effect.
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

    /// Reads a history; empty lines and lines that begin with `#` are passed over.
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

    /// Counts the requests that ended in a way.
    pub fn count(&self, ending: Ending) -> usize {
        self.requests.iter().filter(|request| request.ending == ending).count()
    }
}

impl Request {
    /// Returns the time to the final answer; an unanswered one counts as its deadline
    /// at least.
    pub fn took(&self) -> Duration {
        let took = match self.ending {
            Ending::Lost | Ending::Refused | Ending::Failed => self.took_us.max(self.deadline_us),
            _ => self.took_us,
        };
        Duration::from_micros(took)
    }
}
