//! The merge of shards' answers into one answer of one snapshot.
//!
//! The merge is the last place where a wrong answer can be stopped, so it trusts
//! nobody: it checks the pin of each partial answer, that the shard was asked, and
//! that it has not answered before. Invariant: after any sequence of offers, the
//! hits are those of distinct asked shards, all for the pin.

use std::collections::BTreeMap;

use bergamot_base::Shard;
use serde::{Deserialize, Serialize};

use crate::coverage::{Coverage, Missing, Reason};
use crate::pin::Pin;
use crate::shape::{Hit, Shape};

/// One shard's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// The shard.
    pub shard: Shard,
    /// The snapshot from which the searcher answered.
    pub pin: Pin,
    /// How many documents the shard holds at that snapshot.
    pub documents: u64,
    /// The hits.
    pub hits: Vec<Hit>,
}

/// Why the merge refused a partial answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The shard was not asked.
    NotAsked,
    /// The shard has answered already.
    Repeated,
    /// The answer is for another snapshot.
    WrongSnapshot,
}

/// A merged answer with its coverage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The hits, in the order of the shape.
    pub hits: Vec<Hit>,
    /// What they cover.
    pub coverage: Coverage,
}

/// A merge in progress.
#[derive(Debug)]
pub struct Merge {
    pin: Pin,
    map: usize,
    shards: BTreeMap<Shard, Slot>,
    documents: u64,
    hits: Vec<Hit>,
}

/// What became of a shard so far, with its position in the map.
#[derive(Debug)]
struct Slot {
    position: usize,
    answered: bool,
    reason: Reason,
}

impl Merge {
    /// Starts a merge over the shards to be asked, each with its map position.
    pub fn new(pin: Pin, map: usize, asked: impl IntoIterator<Item = (Shard, usize)>) -> Self {
        let slot = |position| Slot { position, answered: false, reason: Reason::Deadline };
        let shards = asked.into_iter().map(|(shard, position)| (shard, slot(position))).collect();
        Self { pin, map, shards, documents: 0, hits: Vec::new() }
    }

    /// Takes a partial answer in, or refuses it.
    pub fn offer(&mut self, partial: Partial) -> Result<(), Rejection> {
        let slot = self.shards.get_mut(&partial.shard).ok_or(Rejection::NotAsked)?;
        if slot.answered {
            return Err(Rejection::Repeated);
        }
        if partial.pin != self.pin {
            slot.reason = Reason::WrongSnapshot;
            return Err(Rejection::WrongSnapshot);
        }
        slot.answered = true;
        self.documents += partial.documents;
        self.hits.extend(partial.hits);
        Ok(())
    }

    /// Records why a shard did not answer; an answer that came stays.
    pub fn miss(&mut self, shard: Shard, reason: Reason) {
        if let Some(slot) = self.shards.get_mut(&shard) {
            slot.reason = reason;
        }
    }

    /// Returns the shards that have not answered.
    pub fn open(&self) -> Vec<Shard> {
        self.shards.iter().filter(|(_, slot)| !slot.answered).map(|(shard, _)| *shard).collect()
    }

    /// Tells whether every shard that was asked has answered.
    pub fn whole(&self) -> bool {
        self.shards.values().all(|slot| slot.answered)
    }

    /// Closes the merge and states what it covers.
    pub fn finish(mut self, shape: &Shape) -> Outcome {
        shape.arrange(&mut self.hits);
        let asked = self.shards.len();
        let missing: Vec<_> = self
            .shards
            .values()
            .filter(|slot| !slot.answered)
            .map(|slot| Missing { shard: slot.position, reason: slot.reason })
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
