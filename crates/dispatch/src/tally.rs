//! When the answer that is gathered from many shards goes out.
//!
//! Until the target latency the answer waits for every shard. From then on a truthful
//! partial answer with the declared coverage serves the caller better than a complete one
//! that comes late. Invariant: an answer goes out at most once, never below the declared
//! coverage, and as soon as the coverage can't be reached any more the request has failed.

/// What to do with a gathered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Wait for more shards.
    Wait,
    /// Answer with the shards that are in.
    Answer,
    /// Give up: too few shards can still come.
    Fail,
}

/// The count of the shards of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    shards: usize,
    fewest: usize,
    arrived: usize,
    missing: usize,
    deferred: usize,
    decided: Option<bool>,
}

impl Tally {
    /// Starts the count for a number of shards of which `fewest` make a success.
    pub fn new(shards: usize, fewest: usize) -> Self {
        Self { shards, fewest, arrived: 0, missing: 0, deferred: 0, decided: None }
    }

    /// Tells whether this counts one searcher's answer, and not shards.
    pub fn is_single(&self) -> bool {
        self.shards == 1
    }

    /// Counts a shard that is in.
    pub fn arrive(&mut self) {
        self.arrived += 1;
    }

    /// Counts a shard that can't be had any more.
    pub fn miss(&mut self) {
        self.missing += 1;
    }

    /// Counts shards that were in and can't be used.
    pub fn lose(&mut self, shards: usize) {
        self.arrived -= shards;
        self.missing += shards;
    }

    /// Returns how many shards are in.
    pub fn arrived(&self) -> usize {
        self.arrived
    }

    /// Returns how many shards are not in.
    pub fn absent(&self) -> usize {
        self.shards - self.arrived
    }

    /// Counts a shard whose first attempt failed, and whose next waits until it is known
    /// whether the request needs it.
    pub fn defer(&mut self) {
        self.deferred += 1;
    }

    /// Counts a shard that no longer waits for its next attempt.
    pub fn resume(&mut self) {
        self.deferred -= 1;
    }

    /// Tells whether every shard is in, missing or deferred.
    pub fn first_attempts_ended(&self) -> bool {
        self.arrived + self.missing + self.deferred == self.shards
    }

    /// Decides once for all deferred shards whether the request needs them and has a fair
    /// chance with them.
    ///
    /// While searchers refuse most of their work, a second attempt succeeds less than half
    /// the time: a request that needs more than a third of its deferred shards would spend
    /// for little what helps another.
    pub fn needs_deferred(&mut self) -> bool {
        let without = self.shards - self.missing - self.deferred;
        let needed = self.fewest.saturating_sub(without);
        let needs = needed > 0 && needed * 3 <= self.deferred;
        *self.decided.get_or_insert(needs)
    }

    /// Tells whether too many shards are still out for an answer with the coverage.
    pub fn needs_more(&self) -> bool {
        self.arrived < self.fewest
    }

    /// Says what to do, before the target latency has passed or after.
    pub fn verdict(&self, late: bool) -> Verdict {
        if self.shards - self.missing < self.fewest {
            return Verdict::Fail;
        }
        let settled = self.arrived + self.missing == self.shards;
        if settled || (late && self.arrived >= self.fewest) {
            return Verdict::Answer;
        }
        Verdict::Wait
    }
}
