//! The number of requests of a pool that may run at once.
//!
//! While requests are early, each answer raises the limit by one for each `limit` answers. Otherwise,
//! and only while requests meet busy searchers ([`crate::congestion`]), the limit is lowered to the
//! number of answers within a part of the target, which by Little's law is the number of running
//! requests that the searchers can answer in it. Invariant: the limit stays between the number of
//! slots of the searchers and `most` times that number, and requests that were granted before a
//! decrease don't lower it again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bergamot_policy::Queue;

/// The largest number of slots that is taken from another member. It bounds the memory of a pool.
const MAX_SLOTS: usize = 4096;

/// The adaptive concurrency limit of a pool.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    policy: Queue,
    slots: usize,
    /// The limit as a multiple of the slots, so that it follows their number.
    per_slot: f64,
    lowered: Option<Instant>,
    /// The times of recent answers, at most as many as the limit.
    answers: VecDeque<Instant>,
}

impl Limit {
    /// Creates the limit of a pool without observations.
    pub(crate) fn new(policy: Queue, slots: usize) -> Self {
        let (slots, answers) = (slots.clamp(1, MAX_SLOTS), VecDeque::new());
        Self { policy, slots, per_slot: policy.start, lowered: None, answers }
    }

    /// Sets the number of slots; the limit changes in proportion.
    pub(crate) fn set_slots(&mut self, slots: usize) {
        self.slots = slots.clamp(1, MAX_SLOTS);
    }

    /// Returns how many requests may run at once.
    pub(crate) fn get(&self) -> usize {
        self.exact() as usize
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.answers.push_back(now);
        while self.answers.len() > self.get() {
            self.answers.pop_front();
        }
    }

    /// Raises the limit, unless it can't be the reason why no more than `running` requests run.
    pub(crate) fn raise(&mut self, running: usize) {
        if running * 2 >= self.get() {
            self.set(self.exact() + 1.0 / self.exact());
        }
    }

    /// Lowers the limit because of a request that was granted `age` ago and had `target` left, while
    /// `running` requests run. If these are fewer than the limit allows, the number of answers shows
    /// the load and not what the searchers can do, and counts for more accordingly.
    pub(crate) fn lower(&mut self, now: Instant, age: Duration, target: Duration, running: usize) {
        if self.lowered.is_some_and(|lowered| now.saturating_duration_since(lowered) < age) {
            return;
        }
        self.lowered = Some(now);
        let most = self.exact() * (1.0 - self.policy.least_decrease);
        let unused = self.exact() / running.max(1) as f64;
        self.set(most.min(self.answered(now, target) as f64 * unused.max(1.0)));
    }

    /// Returns the number of recent answers within the part of a target that searchers may take.
    fn answered(&self, now: Instant, target: Duration) -> usize {
        let time = target.mul_f64(self.policy.early);
        let is_recent = |answer: &&Instant| now.saturating_duration_since(**answer) <= time;
        self.answers.iter().rev().take_while(is_recent).count()
    }

    fn exact(&self) -> f64 {
        self.per_slot * self.slots as f64
    }

    fn set(&mut self, limit: f64) {
        self.per_slot = (limit / self.slots as f64).clamp(1.0, self.policy.most);
    }
}
