//! How long a searcher is expected to take, from what this member has seen of it.
//!
//! Three signals: the mean of recent answers, which holds distance and speed; the age of
//! the oldest request that is still unanswered, which shows a pause or a silence long
//! before any answer could; and the share of recent failures. Estimates fade towards the
//! best that was seen, so that a searcher that was slow is tried again after some seconds.
//! Invariant: an answer after a long silence counts almost alone, one in a busy second
//! counts an eighth, so neither a single outlier nor old news decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_policy::Policy;

use crate::rhythm::{Rhythm, Silences};

/// The least weight of a new sample.
const LEAST_WEIGHT: f64 = 0.125;

/// The time after which an old estimate counts a third beside a new sample, in seconds.
const MEMORY: f64 = 1.0;

/// The time in which an estimate fades half the way to the best that was seen, in seconds.
const FADE: f64 = 2.0;

/// How fast the best that was seen gives way to slower answers, a sample.
const BEST_DRIFT: f64 = 0.005;

/// What one member has seen of one searcher.
#[derive(Clone, Debug)]
pub struct Outlook {
    policy: Arc<Policy>,
    mean: f64,
    best: f64,
    seen: Option<Instant>,
    failing: f64,
    failed: Option<Instant>,
    running: Vec<Instant>,
    /// When the last answer came.
    alive: Option<Instant>,
    rhythm: Rhythm,
    silences: Silences,
    /// The silence that another member expects.
    told: Option<(Instant, Instant)>,
}

impl Outlook {
    /// Starts with a guess that is made from the distance; `rhythm` is shared by all searchers of
    /// a member.
    pub fn new(guess: Duration, policy: Arc<Policy>, rhythm: Rhythm) -> Self {
        let guess = millis(guess);
        Self {
            policy,
            mean: guess,
            best: guess,
            seen: None,
            failing: 0.0,
            failed: None,
            running: Vec::new(),
            alive: None,
            rhythm,
            silences: Silences::default(),
            told: None,
        }
    }

    /// Records that a request was sent.
    pub fn send(&mut self, now: Instant) {
        self.running.push(now);
    }

    /// Records that a request that was sent at `sent` has ended without an answer.
    pub fn end(&mut self, sent: Instant) {
        if let Some(position) = self.running.iter().position(|running| *running == sent) {
            self.running.swap_remove(position);
        }
    }

    /// Records an answer to a request that was sent at `sent`.
    pub fn answer(&mut self, sent: Instant, now: Instant) {
        self.end(sent);
        self.hear(sent, now);
        let took = millis(now.saturating_duration_since(sent));
        self.best = if self.seen.is_none() { took } else { self.best.min(took) };
        self.best += (took - self.best) * BEST_DRIFT;
        self.sample(took, now);
        self.note(0.0, now);
    }

    /// Records that a request was abandoned: it would have taken at least this long.
    pub fn abandon(&mut self, sent: Instant, now: Instant) {
        self.end(sent);
        self.miss(sent, now);
        let took = millis(now.saturating_duration_since(sent));
        if took > self.mean(now) {
            self.sample(took, now);
        }
    }

    /// Records a failure.
    pub fn fail(&mut self, now: Instant) {
        self.note(1.0, now);
    }

    /// Returns how many requests are unanswered.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Estimates how long one more request will take, in milliseconds.
    pub fn delay(&self, now: Instant, slots: usize) -> f64 {
        let mean = self.mean(now);
        let oldest = self.running.iter().min().map_or(0.0, |sent| millis(now - *sent));
        let policy = self.policy.overdue;
        let overdue = if policy.on && oldest > mean * policy.factor { oldest } else { 0.0 };
        let queue = 1.0 + self.running.len() as f64 / slots.max(1) as f64;
        mean * queue + overdue
    }

    /// Estimates how long the searcher will be silent for a request that is sent now, in
    /// milliseconds.
    fn silence(&self, now: Instant) -> f64 {
        let work = Duration::from_secs_f64(self.mean(now) / 1e3);
        let own = self.silences.wait(now, work, &self.rhythm, &self.policy.foresight);
        let told = self.told.filter(|(begin, _)| *begin < now + work);
        let told = told.map_or(Duration::ZERO, |(_, end)| end.saturating_duration_since(now));
        millis(own.max(told))
    }

    /// Returns the silence that is expected now or soon, to tell it to another member.
    pub fn next_silence(&self, now: Instant) -> Option<(Instant, Instant)> {
        let policy = &self.policy.foresight;
        self.silences.next(now, now + policy.told, &self.rhythm, policy)
    }

    /// Takes in a silence that another member expects.
    pub fn tell(&mut self, begin: Instant, end: Instant) {
        self.told = Some((begin, end));
    }

    /// Notes that an answer came, and what silence it ended.
    fn hear(&mut self, sent: Instant, now: Instant) {
        let policy = self.policy.foresight;
        let usual = Duration::from_secs_f64(self.mean(now) / 1e3);
        let due = sent + usual;
        let from = self.alive.replace(now).map_or(due, |alive| alive.max(due));
        if self.is_slow(now) {
            return;
        }
        let until = now.checked_sub(usual).unwrap_or(now);
        if until.saturating_duration_since(from) >= usual.mul_f64(policy.silent - 1.0) {
            self.silences.silent(from, until, &self.rhythm, &policy);
        } else if now <= due {
            self.silences.worked(sent, now, &self.rhythm, &policy);
        }
    }

    /// Tells whether answers take much longer than the best did, so that a request without an
    /// answer shows no silence.
    fn is_slow(&self, now: Instant) -> bool {
        self.mean(now) > self.best * self.policy.foresight.slow
    }

    /// Notes that a request was not answered until now.
    fn miss(&mut self, sent: Instant, now: Instant) {
        let policy = self.policy.foresight;
        let usual = Duration::from_secs_f64(self.mean(now) / 1e3);
        let due = sent + usual;
        let from = self.alive.map_or(due, |alive| alive.max(due));
        let silent = now.saturating_duration_since(from) >= usual.mul_f64(policy.silent - 1.0);
        if silent && !self.is_slow(now) {
            self.silences.silent(from, now, &self.rhythm, &policy);
        }
    }

    /// Estimates the same for the choice among searchers, with what speaks against this one.
    pub fn expected(&self, now: Instant, slots: usize, cold: bool) -> f64 {
        let cold = if cold && self.policy.cold.on { self.policy.cold.factor } else { 1.0 };
        let weight = if self.policy.failing.on { self.policy.failing.factor } else { 0.0 };
        let failing = 1.0 + weight * self.failing(now).powi(2);
        (self.delay(now, slots) + self.silence(now)) * cold * failing
    }

    fn mean(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else {
            return self.mean;
        };
        let fade = 0.5_f64.powf(seconds(now, seen) / FADE);
        self.best + (self.mean - self.best).max(0.0) * fade
    }

    fn failing(&self, now: Instant) -> f64 {
        let forgive = self.policy.failing.forgive.as_secs_f64();
        self.failed
            .map_or(0.0, |failed| self.failing * 0.5_f64.powf(seconds(now, failed) / forgive))
    }

    fn sample(&mut self, took: f64, now: Instant) {
        let age = self.seen.map_or(f64::INFINITY, |seen| seconds(now, seen));
        let weight = (1.0 - (-age / MEMORY).exp()).max(LEAST_WEIGHT);
        let mean = self.mean(now);
        self.mean = mean + (took - mean) * weight;
        self.seen = Some(now);
    }

    fn note(&mut self, failure: f64, now: Instant) {
        let before = self.failing(now);
        self.failing = before + (failure - before) * LEAST_WEIGHT * 2.0;
        self.failed = Some(now);
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn seconds(now: Instant, then: Instant) -> f64 {
    now.saturating_duration_since(then).as_secs_f64()
}
