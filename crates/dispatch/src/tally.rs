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
}

impl Tally {
    /// Starts the count for a number of shards of which `fewest` make a success.
    pub fn new(shards: usize, fewest: usize) -> Self {
        Self { shards, fewest, arrived: 0, missing: 0 }
    }

    /// Counts a shard that is in.
    pub fn arrive(&mut self) {
        self.arrived += 1;
    }

    /// Counts a shard that can't be had any more.
    pub fn miss(&mut self) {
        self.missing += 1;
    }

    /// Returns how many shards are in.
    pub fn arrived(&self) -> usize {
        self.arrived
    }

    /// Returns how many shards are not in.
    pub fn absent(&self) -> usize {
        self.shards - self.arrived
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
