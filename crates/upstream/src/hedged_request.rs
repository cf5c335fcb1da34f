//! The attempts at one shard: first, hedge, retry, and who wins.
//!
//! Straggling is mostly a matter of the request and not of the searcher. When every
//! replica has been asked and all are slow, the first is asked once more in place of its
//! first attempt, which is cancelled: it has no more work than before.
//!
//! Invariant: at most one attempt at a searcher runs at a time, the race ends exactly
//! once, and nothing is sent after it has ended.

use std::collections::VecDeque;

use bergamot_base::{Budget, Searcher};
use bergamot_query::Reason;

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask this searcher.
    Send(Searcher),
    /// Another attempt is still running: wait for it.
    Wait,
    /// The shard is missing for this reason.
    Miss(Reason),
}

/// The attempts at one shard.
#[derive(Debug)]
pub struct Race {
    untried: VecDeque<Searcher>,
    running: Vec<Searcher>,
    again: Option<Searcher>,
    worst: Reason,
    ended: bool,
}

impl Race {
    /// Prepares a race over replicas in the order in which to ask them.
    pub fn new(order: impl IntoIterator<Item = Searcher>) -> Self {
        let untried: VecDeque<Searcher> = order.into_iter().collect();
        let again = untried.front().copied();
        Self { untried, running: Vec::new(), again, worst: Reason::Leaving, ended: false }
    }

    /// Starts with the first replica, if there is any.
    pub fn start(&mut self) -> Next {
        self.send().map_or_else(|| self.end(), Next::Send)
    }

    /// Asks another replica while all that were asked are slow, if the budget allows.
    ///
    /// Where none is left it returns the first replica once more: the caller puts a fresh
    /// attempt in place of the one that runs there.
    pub fn hedge(&mut self, budget: &mut Budget) -> Option<Searcher> {
        let again = self.again.filter(|first| self.running.contains(first));
        if self.ended || (self.untried.is_empty() && again.is_none()) || !budget.spend() {
            return None;
        }
        if self.untried.is_empty() {
            self.again = None;
            return again;
        }
        self.send()
    }

    /// Records a failed attempt and says what follows.
    pub fn fail(&mut self, searcher: Searcher, reason: Reason, budget: &mut Budget) -> Next {
        self.running.retain(|running| *running != searcher);
        self.worst = reason;
        if self.ended {
            return Next::Miss(reason);
        }
        if !self.running.is_empty() {
            return Next::Wait;
        }
        if !self.untried.is_empty()
            && budget.spend()
            && let Some(next) = self.send()
        {
            return Next::Send(next);
        }
        self.end()
    }

    /// Ends the race for a winner and returns the attempts to cancel.
    pub fn win(&mut self, winner: Searcher) -> Vec<Searcher> {
        self.ended = true;
        self.running.retain(|running| *running != winner);
        std::mem::take(&mut self.running)
    }

    /// Returns the searchers whose answers are awaited.
    pub fn running(&self) -> &[Searcher] {
        &self.running
    }

    fn send(&mut self) -> Option<Searcher> {
        let next = self.untried.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    fn end(&mut self) -> Next {
        self.ended = true;
        Next::Miss(self.worst)
    }
}
