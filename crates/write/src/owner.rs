//! Deduplication of write keys by the entry incarnation that owns them.
//!
//! Every request for a key is forwarded to the incarnation named in the key. The
//! first request executes and later ones wait for its outcome. This is safe without
//! shared state for two reasons. A restarted entry has a new incarnation, so it never
//! executes the keys of its predecessor. A key is accepted only in the window in which
//! it was issued or in the next one, and outcomes are kept until their keys are no
//! longer accepted, so no key is executed after its outcome was removed.
//!
//! Invariant: [`Owner::begin`] returns [`Decision::Execute`] at most once for a key,
//! except after [`Status::NotRun`], which proves that the key had no effect.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use bergamot_base::{Incarnation, Name};

use crate::key::{Key, Prefix};
use crate::outcome::{Outcome, Status};

/// Number of windows after the one it was issued in during which a key may still begin.
const GRACE_WINDOWS: u64 = 1;

/// Maximum number of keys that one incarnation keeps; bounds its memory use.
const MAX_KEYS: usize = 200_000;

/// How to handle a request for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Execute the write, then call [`Owner::finish`].
    Execute,
    /// The key is already being executed: wait for its outcome.
    Join,
    /// The key already has an outcome: return it.
    Replay(Outcome),
    /// Another incarnation owns the key: forward the request to it.
    Forward(Incarnation),
    /// The key was already used for a request with different content.
    Conflict,
    /// The maximum number of keys is reached; the write did not run.
    Full,
}

/// The write keys of one entry incarnation and their outcomes.
#[derive(Debug)]
pub struct Owner {
    incarnation: Incarnation,
    start: Instant,
    window: Duration,
    keys: HashMap<Key, KeyState>,
    /// The window in which expired keys were last removed.
    last_sweep: u64,
}

#[derive(Debug)]
struct KeyState {
    digest: u64,
    outcome: Option<Outcome>,
}

impl Owner {
    /// Creates the state of an incarnation whose keys are valid for one to two times `window`.
    pub fn new(incarnation: Incarnation, start: Instant, window: Duration) -> Self {
        Self { incarnation, start, window, keys: HashMap::new(), last_sweep: 0 }
    }

    /// Returns the prefix of keys that are issued at `now`.
    pub fn prefix(&self, now: Instant) -> Prefix {
        Prefix { incarnation: self.incarnation, window: self.current_window(now) }
    }

    /// Decides how to handle a request, given its key and the digest of its content.
    pub fn begin(&mut self, now: Instant, key: &Key, digest: u64) -> Decision {
        if key.prefix.incarnation != self.incarnation {
            return Decision::Forward(key.prefix.incarnation);
        }
        let current = self.current_window(now);
        self.sweep(current);
        match self.keys.get_mut(key) {
            Some(state) if state.digest != digest => return Decision::Conflict,
            Some(KeyState { outcome: None, .. }) => return Decision::Join,
            Some(KeyState { outcome: Some(outcome), .. }) if outcome.status != Status::NotRun => {
                return Decision::Replay(outcome.clone());
            }
            Some(state) => {
                state.outcome = None;
                return Decision::Execute;
            }
            None => {}
        }
        if !(key.prefix.window..=key.prefix.window + GRACE_WINDOWS).contains(&current) {
            return Decision::Replay(Outcome::unknown("the key is out of its time"));
        }
        if self.keys.len() >= MAX_KEYS {
            return Decision::Full;
        }
        self.keys.insert(key.clone(), KeyState { digest, outcome: None });
        Decision::Execute
    }

    /// Records the outcome of an executed key.
    pub fn finish(&mut self, key: &Key, outcome: Outcome) {
        if let Some(state) = self.keys.get_mut(key) {
            state.outcome = Some(outcome);
        }
    }

    /// Returns the outcome of a key, if it has finished.
    pub fn outcome(&self, key: &Key) -> Option<&Outcome> {
        self.keys.get(key).and_then(|state| state.outcome.as_ref())
    }

    /// Returns the digest of a write's content. All requests for a key must have the same digest.
    pub fn digest(service: &str, record: &str, body: &str) -> u64 {
        bergamot_base::hash_parts([service.as_bytes(), record.as_bytes(), body.as_bytes()])
    }

    /// Returns the outcome of a key whose owner can't be reached or, if `gone`, no longer exists.
    pub fn unavailable_outcome(gone: bool) -> Outcome {
        let reason = if gone {
            "the entry that issued the key is gone"
        } else {
            "the entry that issued the key can't be reached"
        };
        Outcome::unknown(Name::from(reason))
    }

    fn current_window(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.start).as_nanos();
        u64::try_from(age / self.window.as_nanos().max(1)).unwrap_or(u64::MAX)
    }

    /// Removes finished keys that are no longer accepted. Runs at most once per window.
    ///
    /// Keys that are still being executed are kept, so that they can't be executed twice.
    fn sweep(&mut self, current: u64) {
        if current == self.last_sweep {
            return;
        }
        self.last_sweep = current;
        self.keys.retain(|key, state| {
            state.outcome.is_none() || key.prefix.window + GRACE_WINDOWS >= current
        });
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let running = self.keys.values().filter(|state| state.outcome.is_none()).count();
        let count = |status| {
            let has =
                |state: &&KeyState| state.outcome.as_ref().is_some_and(|o| o.status == status);
            self.keys.values().filter(has).count()
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
