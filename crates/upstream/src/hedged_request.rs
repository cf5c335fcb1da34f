//! A sub-query to one shard with its hedges and retries.
//!
//! High latency is mostly a property of the individual request and not of the
//! searcher. If all replicas have been tried and all are slow, the first replica is
//! therefore tried once more. The new attempt replaces the first one, which is
//! cancelled, so the load on that replica does not increase.
//!
//! Invariant: at most one attempt per searcher runs at a time, the request ends
//! exactly once, and nothing is sent after it has ended.

use std::collections::VecDeque;

use bergamot_base::{Budget, Searcher};
use bergamot_query::Reason;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send an attempt to this searcher.
    Send(Searcher),
    /// Wait for an attempt that is still running.
    Wait,
    /// Give up: the shard is missing for this reason.
    GiveUp(Reason),
}

/// The state of a hedged request to the replicas of one shard.
#[derive(Debug)]
pub struct HedgedRequest {
    untried: VecDeque<Searcher>,
    running: Vec<Searcher>,
    /// The first replica, until it has been tried a second time.
    repeat: Option<Searcher>,
    last_failure: Reason,
    ended: bool,
}

impl HedgedRequest {
    /// Creates a request to the given replicas, which are tried in this order.
    pub fn new(order: impl IntoIterator<Item = Searcher>) -> Self {
        let untried: VecDeque<Searcher> = order.into_iter().collect();
        let repeat = untried.front().copied();
        Self { untried, running: Vec::new(), repeat, last_failure: Reason::Leaving, ended: false }
    }

    /// Starts with the first replica, or gives up if there is none.
    pub fn start(&mut self) -> NextAction {
        self.send().map_or_else(|| self.end(), NextAction::Send)
    }

    /// Returns the replica to hedge with if all running attempts are slow, or `None` if there
    /// is none left or the budget is exhausted.
    ///
    /// After all replicas have been tried, this returns the first one a second time. The
    /// caller must then replace the attempt that is running there.
    pub fn hedge(&mut self, budget: &mut Budget) -> Option<Searcher> {
        let repeat = self.repeat.filter(|first| self.running.contains(first));
        if self.ended || (self.untried.is_empty() && repeat.is_none()) || !budget.try_spend() {
            return None;
        }
        if self.untried.is_empty() {
            self.repeat = None;
            return repeat;
        }
        self.send()
    }

    /// Records a failed attempt and returns what to do next.
    pub fn fail(&mut self, searcher: Searcher, reason: Reason, budget: &mut Budget) -> NextAction {
        self.running.retain(|running| *running != searcher);
        self.last_failure = reason;
        if self.ended {
            return NextAction::GiveUp(reason);
        }
        if !self.running.is_empty() {
            return NextAction::Wait;
        }
        if !self.untried.is_empty()
            && budget.try_spend()
            && let Some(next) = self.send()
        {
            return NextAction::Send(next);
        }
        self.end()
    }

    /// Ends the request with the result of `winner` and returns the searchers whose attempts
    /// must be cancelled.
    pub fn succeed(&mut self, winner: Searcher) -> Vec<Searcher> {
        self.ended = true;
        self.running.retain(|running| *running != winner);
        std::mem::take(&mut self.running)
    }

    /// Returns the searchers with running attempts.
    pub fn running(&self) -> &[Searcher] {
        &self.running
    }

    fn send(&mut self) -> Option<Searcher> {
        let next = self.untried.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    fn end(&mut self) -> NextAction {
        self.ended = true;
        NextAction::GiveUp(self.last_failure)
    }
}
