//! The one run of an entry that may execute a key.
//!
//! Every request for a key ends at the run that the key names. There the first
//! one executes and all others join it. Two facts make that safe without shared
//! state: a run that restarts gets a new incarnation, so it never executes the keys
//! of its predecessor; and a key is only accepted in the window in which it was
//! issued or the next one, while outcomes are kept for one window longer, so no key
//! is executed after its outcome was forgotten.
//!
//! Invariant: [`Owner::begin`] returns [`Decision::Execute`] at most once for a key,
//! except after [`Status::NotRun`], which proves that the key had no effect.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::{Incarnation, Name};

use crate::key::{Key, Prefix};
use crate::outcome::{Outcome, Status};

/// How many windows after its own a key may still begin.
const GRACE: u64 = 1;

/// How many outcomes one run remembers, as a guard for its memory.
const MOST: usize = 200_000;

/// What to do with a request for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Execute the write and report with [`Owner::finish`].
    Execute,
    /// The key is being executed: wait for its outcome.
    Join,
    /// The key has an outcome.
    Replay(Outcome),
    /// Another run of an entry may execute the key: forward it there.
    Forward(Incarnation),
    /// The same key came with another request.
    Conflict,
    /// The run has no room to remember one more key; it did not run.
    Full,
}

/// The memory of one run of an entry.
#[derive(Debug)]
pub struct Owner {
    incarnation: Incarnation,
    start: Instant,
    window: Duration,
    entries: HashMap<Key, Entry>,
    swept: u64,
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    outcome: Option<Outcome>,
}

impl Owner {
    /// Starts the memory of a run whose keys are usable for `window` to twice that.
    pub fn new(incarnation: Incarnation, start: Instant, window: Duration) -> Self {
        Self { incarnation, start, window, entries: HashMap::new(), swept: 0 }
    }

    /// Returns the prefix for keys that are made now.
    pub fn prefix(&self, now: Instant) -> Prefix {
        Prefix { incarnation: self.incarnation, window: self.current(now) }
    }

    /// Decides about a request with a key and the digest of its content.
    pub fn begin(&mut self, now: Instant, key: &Key, digest: u64) -> Decision {
        if key.prefix.incarnation != self.incarnation {
            return Decision::Forward(key.prefix.incarnation);
        }
        let current = self.current(now);
        self.sweep(current);
        match self.entries.get_mut(key) {
            Some(entry) if entry.digest != digest => return Decision::Conflict,
            Some(Entry { outcome: None, .. }) => return Decision::Join,
            Some(Entry { outcome: Some(outcome), .. }) if outcome.status != Status::NotRun => {
                return Decision::Replay(outcome.clone());
            }
            Some(entry) => {
                entry.outcome = None;
                return Decision::Execute;
            }
            None => {}
        }
        if !(key.prefix.window..=key.prefix.window + GRACE).contains(&current) {
            return Decision::Replay(Outcome::unknown("the key is out of its time"));
        }
        if self.entries.len() >= MOST {
            return Decision::Full;
        }
        self.entries.insert(key.clone(), Entry { digest, outcome: None });
        Decision::Execute
    }

    /// Records the outcome of a key that was executed.
    pub fn finish(&mut self, key: &Key, outcome: Outcome) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.outcome = Some(outcome);
        }
    }

    /// Returns the outcome of a key, if it has one.
    pub fn outcome(&self, key: &Key) -> Option<&Outcome> {
        self.entries.get(key).and_then(|entry| entry.outcome.as_ref())
    }

    /// Returns the digest of a write's content, which must not change under a key.
    pub fn digest(service: &str, record: &str, body: &str) -> u64 {
        bergamot_base::hash_parts([service.as_bytes(), record.as_bytes(), body.as_bytes()])
    }

    /// Returns the answer for a key whose run can't be reached or is gone.
    pub fn lost(gone: bool) -> Outcome {
        let reason = if gone {
            "the entry that issued the key is gone"
        } else {
            "the entry that issued the key can't be reached"
        };
        Outcome::unknown(Name::from(reason))
    }

    fn current(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.start).as_nanos();
        u64::try_from(age / self.window.as_nanos().max(1)).unwrap_or(u64::MAX)
    }

    /// Forgets keys that can't begin any more, once a window.
    fn sweep(&mut self, current: u64) {
        if current == self.swept {
            return;
        }
        self.swept = current;
        self.entries
            .retain(|key, entry| entry.outcome.is_none() || key.prefix.window + GRACE >= current);
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let running = self.entries.values().filter(|entry| entry.outcome.is_none()).count();
        let count = |status| {
            let has = |entry: &&Entry| entry.outcome.as_ref().is_some_and(|o| o.status == status);
            self.entries.values().filter(has).count()
        };
        write!(
            f,
            "incarnation {:016x} running {running} done {} not_run {} unknown {}",
            self.incarnation,
            count(Status::Done),
            count(Status::NotRun),
            count(Status::Unknown)
        )
    }
}
