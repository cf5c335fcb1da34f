//! Merges per-shard results into one result for one snapshot.
//!
//! Merging is the last point at which an incorrect result can be rejected, so every
//! partial result is validated here whatever its origin: its pin must match, its
//! shard must have been queried, and the shard must not have answered before.
//! Invariant: after any sequence of [`Merge::offer`] calls, the hits come from
//! distinct queried shards, and all of them match the pin.

use std::collections::BTreeMap;

use bergamot_base::Shard;
use serde::{Deserialize, Serialize};

use crate::coverage::{Coverage, Missing, Reason};
use crate::pin::Pin;
use crate::shape::{Hit, Shape};

/// The result of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// The shard.
    pub shard: Shard,
    /// The snapshot that the searcher read.
    pub pin: Pin,
    /// Number of documents in the shard at that snapshot.
    pub documents: u64,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// Why a partial result was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The shard was not queried.
    NotAsked,
    /// The shard's result was already merged.
    Repeated,
    /// The result is for a different snapshot.
    WrongSnapshot,
}

/// A merged result and its coverage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The hits, ordered as the query shape requires.
    pub hits: Vec<Hit>,
    /// The shards that the hits come from.
    pub coverage: Coverage,
}

/// A merge in progress.
#[derive(Debug)]
pub struct Merge {
    pin: Pin,
    map: usize,
    shards: BTreeMap<Shard, ShardState>,
    documents: u64,
    hits: Vec<Hit>,
}

/// The state of one queried shard; `position` is its index in the partition map.
#[derive(Debug)]
struct ShardState {
    position: usize,
    answered: bool,
    reason: Reason,
}

impl Merge {
    /// Creates a merge over the queried shards, each with its index in the partition map.
    pub fn new(pin: Pin, map: usize, asked: impl IntoIterator<Item = (Shard, usize)>) -> Self {
        let pending = |position| ShardState { position, answered: false, reason: Reason::Deadline };
        let shards =
            asked.into_iter().map(|(shard, position)| (shard, pending(position))).collect();
        Self { pin, map, shards, documents: 0, hits: Vec::new() }
    }

    /// Merges a partial result, or rejects it.
    pub fn offer(&mut self, partial: Partial) -> Result<(), Rejection> {
        let state = self.shards.get_mut(&partial.shard).ok_or(Rejection::NotAsked)?;
        if state.answered {
            return Err(Rejection::Repeated);
        }
        if partial.pin != self.pin {
            state.reason = Reason::WrongSnapshot;
            return Err(Rejection::WrongSnapshot);
        }
        state.answered = true;
        self.documents += partial.documents;
        self.hits.extend(partial.hits);
        Ok(())
    }

    /// Records why a shard did not answer. A result that was already merged is kept.
    pub fn mark_missing(&mut self, shard: Shard, reason: Reason) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.reason = reason;
        }
    }

    /// Returns the shards that have not answered.
    pub fn pending(&self) -> Vec<Shard> {
        self.shards.iter().filter(|(_, state)| !state.answered).map(|(shard, _)| *shard).collect()
    }

    /// Returns whether every queried shard has answered.
    pub fn is_complete(&self) -> bool {
        self.shards.values().all(|state| state.answered)
    }

    /// Returns the sorted hits and their coverage.
    pub fn finish(mut self, shape: &Shape) -> Outcome {
        shape.sort_and_truncate(&mut self.hits);
        let asked = self.shards.len();
        let missing: Vec<_> = self
            .shards
            .values()
            .filter(|state| !state.answered)
            .map(|state| Missing { shard: state.position, reason: state.reason })
            .collect();
        let coverage = Coverage {
            map: self.map,
            asked,
            answered: asked - missing.len(),
            documents: self.documents,
            complete: missing.is_empty(),
            missing,
        };
        Outcome { hits: self.hits, coverage }
    }
}
