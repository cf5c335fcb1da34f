//! Estimates the latency of a searcher from this member's observations.
//!
//! The estimate is based on three signals: the mean latency of recent answers, which reflects
//! distance and speed; the age of the oldest unanswered request, which reveals a stall long before
//! any answer could; and the rate of recent failures. Estimates decay towards the best observed
//! latency, so that a searcher that was slow is tried again after several seconds. Invariant: an
//! answer after a long time without any has nearly all the weight, and one within a busy second has
//! an eighth, so that neither a single outlier nor outdated samples dominate.
//!
//! A member near the searcher may report its latency there. Until this member has a newer answer,
//! the report replaces the mean and doesn't decay, so that only the members near a slow searcher
//! try it again, whatever the number of members. Invariant: a report never makes the searcher look
//! better than this member's own samples of the last second do.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_policy::Policy;

use crate::load_report::{Measured, Slowness};
use crate::rejections::{Conclusion, Others, RejectionHistory};
use crate::stalls::{StallHistory, StallPeriod};

/// The minimum weight of a new sample.
const MIN_WEIGHT: f64 = 0.125;

/// The time after which the weight of the previous mean has dropped to 1/e, in seconds.
const MEAN_TIME_CONSTANT: f64 = 1.0;

/// The half-life of the difference between the mean and the best latency, in seconds.
const MEAN_HALF_LIFE: f64 = 2.0;

/// The weight with which each sample raises the best latency, so that outdated minima expire.
const BEST_DRIFT: f64 = 0.005;

/// The estimated latency of another request, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Without the penalties that only affect the choice among searchers.
    pub delay: f64,
    /// With the penalties for predicted stalls, cold starts and recent failures.
    pub expected: f64,
    /// When the latest sample was taken on which the estimate is based; `None` without any.
    pub sampled_at: Option<Instant>,
}

/// One member's observations of one searcher.
#[derive(Clone, Debug)]
pub struct LatencyEstimator {
    policy: Arc<Policy>,
    mean: f64,
    best: f64,
    last_sample: Option<Instant>,
    failure_rate: f64,
    failure_rate_updated: Option<Instant>,
    rejections: RejectionHistory,
    /// When each unanswered request was sent.
    in_flight: Vec<Instant>,
    last_answer: Option<Instant>,
    stall_period: StallPeriod,
    stalls: StallHistory,
    /// The stall that another member has predicted.
    reported_stall: Option<(Instant, Instant)>,
    slowness: Slowness,
    /// The latency that another member has reported, in milliseconds, and when it was received.
    reported_delay: Option<(f64, Instant)>,
}

impl LatencyEstimator {
    /// Creates an estimator with an initial estimate of the latency; `stall_period` is shared by
    /// all searchers of a member.
    pub fn new(initial: Duration, policy: Arc<Policy>, stall_period: StallPeriod) -> Self {
        let initial = millis(initial);
        Self {
            policy,
            mean: initial,
            best: initial,
            last_sample: None,
            failure_rate: 0.0,
            failure_rate_updated: None,
            rejections: RejectionHistory::default(),
            in_flight: Vec::new(),
            last_answer: None,
            stall_period,
            stalls: StallHistory::default(),
            reported_stall: None,
            slowness: Slowness::default(),
            reported_delay: None,
        }
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records that a request sent at `sent` has ended without an answer.
    pub fn record_end(&mut self, sent: Instant) {
        if let Some(position) = self.in_flight.iter().position(|other| *other == sent) {
            self.in_flight.swap_remove(position);
        }
    }

    /// Records the answer to a request sent at `sent`.
    pub fn record_answer(&mut self, sent: Instant, now: Instant) {
        self.record_end(sent);
        self.update_stalls_on_answer(sent, now);
        let took = millis(now.saturating_duration_since(sent));
        self.best = if self.last_sample.is_none() { took } else { self.best.min(took) };
        self.best += (took - self.best) * BEST_DRIFT;
        self.update_mean(took, now);
        self.update_slowness(sent, took, now);
        self.update_failure_rate(0.0, now);
        self.rejections.record_success();
    }

    /// Records that a request sent at `sent` was rejected, given what is known of the rejections of
    /// the other searchers. A rejection may cost no work, so its latency says nothing.
    pub fn record_rejection(&mut self, sent: Instant, now: Instant, others: Others) -> Conclusion {
        self.record_end(sent);
        let conclusion = self.rejections.record_rejection(others);
        if conclusion == Conclusion::Failed {
            self.record_failure(now);
        }
        conclusion
    }

    /// Returns the rejections of the searcher.
    pub fn rejections(&mut self) -> &mut RejectionHistory {
        &mut self.rejections
    }

    /// Records that a request sent at `sent` was abandoned: its latency would have been at least
    /// the time until now.
    pub fn record_abandon(&mut self, sent: Instant, now: Instant) {
        self.record_wait(sent, now, now);
    }

    /// Records that a request has waited until a time for its answer, and that it ended now.
    fn record_wait(&mut self, sent: Instant, until: Instant, now: Instant) {
        self.record_end(sent);
        self.update_stalls_on_abandon(sent, until);
        let took = millis(until.saturating_duration_since(sent));
        if took > self.mean(now) {
            self.update_mean(took, now);
            self.update_slowness(sent, took, now + self.policy.report.pause);
        }
    }

    /// Records that nobody waits any more for the rest of an answer that has begun.
    ///
    /// The request doesn't wait for others at the searcher, so the time of its answer isn't part of the
    /// delay. If it took longer than usual, the searcher has failed to end it.
    pub fn record_unfinished(&mut self, sent: Instant, begun: Instant, now: Instant) {
        let is_late = millis(now.saturating_duration_since(sent)) > self.mean(now);
        self.record_wait(sent, begun, now);
        if is_late {
            self.record_failure(now);
        }
    }

    /// Records that a request failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.update_failure_rate(1.0, now);
    }

    /// Returns how many requests are unanswered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Estimates the latency of another request, in milliseconds.
    pub fn delay(&self, now: Instant, slots: usize) -> f64 {
        let mean = self.reported_or_mean(now);
        let oldest = self.in_flight.iter().min().map_or(0.0, |sent| millis(now - *sent));
        let policy = self.policy.overdue;
        let overdue = if policy.on && oldest > mean * policy.factor { oldest } else { 0.0 };
        let queue = 1.0 + self.in_flight.len() as f64 / slots.max(1) as f64;
        mean * queue + overdue
    }

    /// Estimates how long a predicted stall delays a request that is sent now, in milliseconds.
    fn stall_delay(&self, now: Instant) -> f64 {
        let work = Duration::from_secs_f64(self.mean(now) / 1e3);
        let own =
            self.stalls.predicted_delay(now, work, &self.stall_period, &self.policy.foresight);
        let reported = self.reported_stall.filter(|(begin, _)| *begin < now + work);
        let reported =
            reported.map_or(Duration::ZERO, |(_, end)| end.saturating_duration_since(now));
        millis(own.max(reported))
    }

    /// Returns the current or next predicted stall, to report it to another member.
    pub fn next_stall(&self, now: Instant) -> Option<(Instant, Instant)> {
        let policy = &self.policy.foresight;
        self.stalls.next_stall(now, now + policy.told, &self.stall_period, policy)
    }

    /// Sets the stall that another member has predicted.
    pub fn set_reported_stall(&mut self, begin: Instant, end: Instant) {
        self.reported_stall = Some((begin, end));
    }

    /// Sets the latency that a member near the searcher has reported, as seen from this member.
    pub fn set_reported_delay(&mut self, now: Instant, delay: Duration) {
        self.reported_delay = Some((millis(delay), now));
    }

    /// Returns the reported latency that is in force, in milliseconds, and when it was received.
    pub fn reported_delay(&self, now: Instant) -> Option<(f64, Instant)> {
        let policy = self.policy.report;
        let is_in_force = |received: Instant| {
            // An abandoned request says only that the answer would have taken longer.
            let is_newest = self.last_answer.is_none_or(|last| last <= received);
            policy.on && is_newest && now.saturating_duration_since(received) < policy.valid
        };
        self.reported_delay.filter(|(_, received)| is_in_force(*received))
    }

    /// Returns the latencies that this member has measured, to report them to another member.
    pub fn measured(&self, now: Instant) -> Option<Measured> {
        self.last_sample?;
        let (decayed, is_slow) = (self.mean(now), self.slowness.is_slow());
        Some(Measured { mean: self.mean, decayed, best: self.best, is_slow })
    }

    /// Returns the reported latency if it is in force, and the mean of the own samples otherwise.
    fn reported_or_mean(&self, now: Instant) -> f64 {
        let mean = self.mean(now);
        let Some((reported, _)) = self.reported_delay(now) else {
            return mean;
        };
        let own = self.policy.report.own;
        let is_recent =
            self.last_sample.is_some_and(|last| now.saturating_duration_since(last) < own);
        if is_recent { reported.max(mean) } else { reported }
    }

    /// Updates the stall history after an answer, which may have ended a stall.
    fn update_stalls_on_answer(&mut self, sent: Instant, now: Instant) {
        let policy = self.policy.foresight;
        let usual = Duration::from_secs_f64(self.mean(now) / 1e3);
        let due = sent + usual;
        let from = self.last_answer.replace(now).map_or(due, |last| last.max(due));
        if self.is_slow(now) {
            return;
        }
        let until = now.checked_sub(usual).unwrap_or(now);
        if until.saturating_duration_since(from) >= usual.mul_f64(policy.silent - 1.0) {
            self.stalls.record_stall(from, until, &self.stall_period, &policy);
        } else if now <= due {
            self.stalls.record_work(sent, now, &self.stall_period, &policy);
        }
    }

    /// Returns whether answers currently take much longer than the best one, so that an unanswered
    /// request doesn't indicate a stall.
    fn is_slow(&self, now: Instant) -> bool {
        self.mean(now) > self.best * self.policy.foresight.slow
    }

    /// Updates the stall history after a request was abandoned.
    fn update_stalls_on_abandon(&mut self, sent: Instant, now: Instant) {
        let policy = self.policy.foresight;
        let usual = Duration::from_secs_f64(self.mean(now) / 1e3);
        let due = sent + usual;
        let from = self.last_answer.map_or(due, |last| last.max(due));
        let stalled = now.saturating_duration_since(from) >= usual.mul_f64(policy.silent - 1.0);
        if stalled && !self.is_slow(now) {
            self.stalls.record_stall(from, now, &self.stall_period, &policy);
        }
    }

    /// Estimates the latency for the choice among searchers, including the penalties for predicted
    /// stalls, cold starts and recent failures.
    pub fn expected(&self, now: Instant, slots: usize, cold: bool) -> f64 {
        self.estimate(now, slots, cold).expected
    }

    /// Estimates the latency of another request, with and without the penalties.
    pub fn estimate(&self, now: Instant, slots: usize, cold: bool) -> Estimate {
        let cold = if cold && self.policy.cold.on { self.policy.cold.factor } else { 1.0 };
        let weight = if self.policy.failing.on { self.policy.failing.factor } else { 0.0 };
        let penalty = 1.0 + weight * self.failure_rate(now).powi(2);
        let delay = self.delay(now, slots);
        let expected = (delay + self.stall_delay(now)) * cold * penalty;
        let reported_at = self.reported_delay(now).map(|(_, received)| received);
        Estimate { delay, expected, sampled_at: reported_at.or(self.last_sample) }
    }

    fn mean(&self, now: Instant) -> f64 {
        let Some(last) = self.last_sample else {
            return self.mean;
        };
        if self.mean <= self.best {
            return self.best;
        }
        let decay = 0.5_f64.powf(seconds(now, last) / MEAN_HALF_LIFE);
        self.best + (self.mean - self.best) * decay
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let half_life = self.policy.failing.forgive.as_secs_f64();
        self.failure_rate_updated.map_or(0.0, |updated| {
            self.failure_rate * 0.5_f64.powf(seconds(now, updated) / half_life)
        })
    }

    fn update_mean(&mut self, took: f64, now: Instant) {
        let age = self.last_sample.map_or(f64::INFINITY, |last| seconds(now, last));
        let weight = (1.0 - (-age / MEAN_TIME_CONSTANT).exp()).max(MIN_WEIGHT);
        let mean = self.mean(now);
        self.mean = mean + (took - mean) * weight;
        self.last_sample = Some(now);
    }

    /// Updates whether the searcher is slow, after the mean was updated.
    fn update_slowness(&mut self, sent: Instant, took: f64, pause_end: Instant) {
        let most = self.best * self.policy.report.slow;
        self.slowness.record(sent, pause_end, took > most, self.mean > most);
    }

    fn update_failure_rate(&mut self, failure: f64, now: Instant) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (failure - before) * MIN_WEIGHT * 2.0;
        self.failure_rate_updated = Some(now);
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn seconds(now: Instant, then: Instant) -> f64 {
    now.saturating_duration_since(then).as_secs_f64()
}
