//! The requests of a pool that hold a grant.
//!
//! Invariant: each grant ends when it is completed, or with its lease if the member that holds it
//! has gone away.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bergamot_base::Name;

use crate::decision::Grant;

/// The number of overdue requests that a single slow searcher doesn't explain.
const SEVERAL: usize = 3;

/// A request that holds a grant.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The availability zone of its member.
    pub(crate) origin: Name,
    /// When it was granted.
    pub(crate) since: Instant,
    /// The time that was left until its target latency when it was received.
    pub(crate) target: Duration,
    /// When the grant ends if it isn't completed.
    pub(crate) lease: Instant,
}

/// The requests that hold a grant, counted by origin.
#[derive(Clone, Debug, Default)]
pub(crate) struct Running {
    runs: HashMap<Grant, Run>,
    origins: HashMap<Name, usize>,
}

impl Running {
    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of requests from an availability zone.
    pub(crate) fn of(&self, origin: &Name) -> usize {
        self.origins.get(origin).copied().unwrap_or(0)
    }

    /// Adds a granted request.
    pub(crate) fn insert(&mut self, grant: Grant, run: Run) {
        *self.origins.entry(Name::clone(&run.origin)).or_default() += 1;
        self.runs.insert(grant, run);
    }

    /// Removes a request; returns it if it held its grant.
    pub(crate) fn remove(&mut self, grant: Grant) -> Option<Run> {
        let run = self.runs.remove(&grant)?;
        let count = self.origins.entry(Name::clone(&run.origin)).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.origins.remove(&run.origin);
        }
        Some(run)
    }

    /// Returns the latest request that has been running for longer than its target allows, if several
    /// requests and at least a quarter of all have been.
    pub(crate) fn overdue(&self, now: Instant) -> Option<&Run> {
        let is_overdue = |run: &&Run| now.saturating_duration_since(run.since) > run.target;
        let overdue: Vec<_> = self.runs.values().filter(is_overdue).collect();
        let enough = overdue.len() >= SEVERAL && overdue.len() * 4 >= self.len();
        overdue.into_iter().max_by_key(|run| run.since).filter(|_| enough)
    }

    /// Removes the requests whose lease has ended, and returns their grants.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Grant> {
        let ended = self.runs.iter().filter(|(_, run)| run.lease <= now);
        let mut ended: Vec<_> = ended.map(|(grant, _)| *grant).collect();
        ended.sort_unstable();
        for grant in &ended {
            self.remove(*grant);
        }
        ended
    }
}
