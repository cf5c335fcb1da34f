//! What the progress of a query to a member implies for the shards that it asks for.

use crate::progress::Progress;

/// What a member reports of one shard of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<S> {
    /// The shard is in the reply.
    Arrived,
    /// A searcher was asked and may still answer; the member delivers its answer later.
    Silent(S),
    /// A searcher was asked and will not answer.
    Failed(S),
    /// No searcher was asked.
    NotAsked,
}

/// An attempt that the sender of a query makes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<S> {
    /// The first attempt for a shard.
    First,
    /// An additional attempt, after one at this searcher.
    After(S),
    /// An additional attempt, after one at a searcher that is not known.
    AfterUnknown,
}

/// What follows from an event of a query.
///
/// The attempts begin before the ends take effect, so that a shard for which one begins is not
/// missing in between.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Steps<S> {
    /// The attempts that the sender makes itself, each with its shard.
    pub attempts: Vec<(usize, Next<S>)>,
    /// The shards that the query won't deliver any more ([`Progress::end_source`]).
    pub ended: Vec<usize>,
}

/// What a query has yet to deliver of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Share {
    /// The member may still deliver it.
    Owed,
    /// The member has delivered it, or said that it won't.
    Settled,
}

/// A query to a member for a group of shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    shards: Vec<(usize, Share)>,
    has_reply: bool,
}

impl Query {
    /// Records a query for some shards.
    pub fn send(shards: &[usize], progress: &mut Progress) -> Self {
        for shard in shards {
            progress.add_query(*shard);
        }
        let shards = shards.iter().map(|shard| (*shard, Share::Owed)).collect();
        Self { shards, has_reply: false }
    }

    /// Returns the shard at a position of the query.
    pub fn shard(&self, position: usize) -> Option<usize> {
        self.shards.get(position).map(|(shard, _)| *shard)
    }

    /// Returns the shards that the member may still deliver.
    pub fn owed(&self) -> Vec<usize> {
        let owed = self.shards.iter().filter(|(_, share)| *share == Share::Owed);
        owed.map(|(shard, _)| *shard).collect()
    }

    /// Handles that the reply is overdue. It may still come, so nothing ends.
    pub fn overdue<S>(&self, progress: &Progress) -> Steps<S> {
        let attempts = if self.has_reply { Vec::new() } else { self.others(progress, true) };
        Steps { attempts, ended: Vec::new() }
    }

    /// Handles the reply, given the outcome of each shard.
    pub fn reply<S>(&mut self, outcomes: Vec<Outcome<S>>, progress: &Progress) -> Steps<S> {
        self.has_reply = true;
        let mut steps = Steps { attempts: Vec::new(), ended: Vec::new() };
        for ((shard, share), outcome) in self.shards.iter_mut().zip(outcomes) {
            let next = match outcome {
                Outcome::Arrived => {
                    *share = Share::Settled;
                    continue;
                }
                Outcome::Silent(searcher) => Next::After(searcher),
                Outcome::Failed(searcher) => {
                    *share = Share::Settled;
                    steps.ended.push(*shard);
                    Next::After(searcher)
                }
                Outcome::NotAsked => {
                    *share = Share::Settled;
                    steps.ended.push(*shard);
                    Next::First
                }
            };
            if progress.is_unattempted(*shard) {
                steps.attempts.push((*shard, next));
            }
        }
        steps
    }

    /// Handles the end of a query without a reply; `may_have_run` is whether the member may have
    /// received it.
    pub fn fail<S>(&mut self, may_have_run: bool, progress: &Progress) -> Steps<S> {
        self.has_reply = true;
        Steps { attempts: self.others(progress, may_have_run), ended: self.end() }
    }

    /// Handles that the member has delivered or lost a shard after its reply. Returns the shard,
    /// unless it was settled before.
    pub fn settle(&mut self, position: usize) -> Option<usize> {
        let (shard, share) = self.shards.get_mut(position)?;
        let before = std::mem::replace(share, Share::Settled);
        (before == Share::Owed).then_some(*shard)
    }

    /// Handles that the member delivers nothing more, and returns the shards that it still owed.
    pub fn end(&mut self) -> Vec<usize> {
        let owed = self.owed();
        for (_, share) in &mut self.shards {
            *share = Share::Settled;
        }
        owed
    }

    /// Returns the attempts for all shards that nobody else was asked for.
    fn others<S>(&self, progress: &Progress, may_have_run: bool) -> Vec<(usize, Next<S>)> {
        let next = || if may_have_run { Next::AfterUnknown } else { Next::First };
        let shards = self.shards.iter().map(|(shard, _)| *shard);
        let unattempted = shards.filter(|shard| progress.is_unattempted(*shard));
        unattempted.map(|shard| (shard, next())).collect()
    }
}
