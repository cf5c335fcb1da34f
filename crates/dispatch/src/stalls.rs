//! Prediction of periodic stalls: a searcher that stalls at regular intervals is avoided shortly
//! before it does.
//!
//! A stall is observed as a request that is unanswered for several times the usual latency while no
//! other request to the searcher is answered. The intervals between the stalls of a searcher are
//! pooled over all searchers, and the [`StallPeriod`] is the interval on which many of them agree.
//! If the stalls in a searcher's [`StallHistory`] are a whole number of periods apart, its next
//! stall is predicted at the same phase. Invariants: nothing is predicted unless intervals agree;
//! an answer in the middle of a predicted stall withdraws the prediction; and a prediction expires
//! after several periods unless the stall is observed again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bergamot_policy::Foresight;

/// The number of intervals and durations of stalls that are kept.
const MAX_SAMPLES: usize = 256;

/// The number of stalls of one searcher that are kept: those of several periods, and false ones
/// that slow requests seemed to indicate.
const MAX_STALLS: usize = 12;

/// The number of earlier stalls of a searcher from which the interval to a new one is taken: the
/// stall one period earlier may not be the last one.
const INTERVALS_PER_STALL: usize = 3;

/// The relative tolerance within which intervals agree on a period. A stall is first observed at
/// any point of its duration, which is a few hundredths of its period.
const TOLERANCE: f64 = 0.1;

/// The stall period that the searchers of a member have in common.
#[derive(Clone, Debug, Default)]
pub struct StallPeriod(Arc<Mutex<Samples>>);

#[derive(Debug, Default)]
struct Samples {
    intervals: VecDeque<f64>,
    period: Option<f64>,
    /// The observed durations of stalls, in seconds.
    durations: VecDeque<f64>,
    /// The 90th percentile of the durations.
    long_duration: f64,
}

impl StallPeriod {
    /// Returns the period, if the stalls are periodic.
    pub fn period(&self) -> Option<Duration> {
        let samples = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        samples.period.map(Duration::from_secs_f64)
    }

    /// Returns the 90th percentile of the observed durations of stalls, in seconds.
    fn long_duration(&self) -> f64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).long_duration
    }

    fn add_duration(&self, duration: Duration) {
        let mut samples = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.durations.len() == MAX_SAMPLES {
            samples.durations.pop_front();
        }
        samples.durations.push_back(duration.as_secs_f64());
        let mut durations: Vec<f64> = samples.durations.iter().copied().collect();
        let rank = durations.len() * 9 / 10;
        samples.long_duration = *durations.select_nth_unstable_by(rank, f64::total_cmp).1;
    }

    /// Records the interval between two stalls of a searcher.
    fn add_interval(&self, interval: Duration, policy: &Foresight) {
        let mut samples = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.intervals.len() == MAX_SAMPLES {
            samples.intervals.pop_front();
        }
        samples.intervals.push_back(interval.as_secs_f64());
        samples.period = find_period(samples.intervals.iter().copied().collect(), policy);
    }
}

/// Returns the mean of the largest group of intervals that agree, if it is large enough.
fn find_period(mut intervals: Vec<f64>, policy: &Foresight) -> Option<f64> {
    intervals.sort_by(f64::total_cmp);
    let agreeing = |first: usize| {
        let end = intervals[first] * (1.0 + TOLERANCE);
        &intervals[first..intervals.partition_point(|interval| *interval < end)]
    };
    let best = (0..intervals.len()).map(agreeing).max_by_key(|group| group.len())?;
    let enough = policy.fewest.max((intervals.len() as f64 * policy.agree).ceil() as usize);
    (best.len() >= enough).then(|| best.iter().sum::<f64>() / best.len() as f64)
}

/// The time during which a searcher was certainly stalled.
#[derive(Clone, Copy, Debug)]
struct Stall {
    from: Instant,
    until: Instant,
}

/// The recent stalls of one searcher.
#[derive(Clone, Debug, Default)]
pub struct StallHistory {
    stalls: VecDeque<Stall>,
}

impl StallHistory {
    /// Records that the searcher was stalled between two times.
    pub fn record_stall(
        &mut self,
        from: Instant,
        until: Instant,
        stall_period: &StallPeriod,
        policy: &Foresight,
    ) {
        if let Some(last) = self.stalls.back_mut()
            && from.saturating_duration_since(last.until) < policy.apart
        {
            last.until = last.until.max(until);
            last.from = last.from.min(from);
            return;
        }
        if let Some(last) = self.stalls.back() {
            stall_period.add_duration(last.until.saturating_duration_since(last.from));
        }
        for earlier in self.stalls.iter().rev().take(INTERVALS_PER_STALL) {
            stall_period.add_interval(from.saturating_duration_since(earlier.from), policy);
        }
        if self.stalls.len() == MAX_STALLS {
            self.stalls.pop_front();
        }
        self.stalls.push_back(Stall { from, until });
    }

    /// Records that the searcher was working between two times. If a stall was predicted for all of
    /// that time, the prediction is withdrawn.
    pub fn record_work(
        &mut self,
        from: Instant,
        until: Instant,
        stall_period: &StallPeriod,
        policy: &Foresight,
    ) {
        let middle = from + until.saturating_duration_since(from) / 2;
        if self
            .predicted_at(middle, stall_period, policy)
            .is_some_and(|(begin, end)| begin < from && until < end)
        {
            self.stalls.clear();
        }
    }

    /// Returns how long a predicted stall delays a request that is sent now and takes `work`; zero
    /// if none is predicted.
    pub fn predicted_delay(
        &self,
        now: Instant,
        work: Duration,
        stall_period: &StallPeriod,
        policy: &Foresight,
    ) -> Duration {
        let Some((begin, end)) = self.predicted_at(now + work, stall_period, policy) else {
            return Duration::ZERO;
        };
        end.saturating_duration_since(now.max(begin))
    }

    /// Returns the current or next predicted stall, if it begins before `until`.
    pub fn next_stall(
        &self,
        now: Instant,
        until: Instant,
        stall_period: &StallPeriod,
        policy: &Foresight,
    ) -> Option<(Instant, Instant)> {
        let period = stall_period.period()?;
        let last = self.stalls.back()?;
        let cycles = now.saturating_duration_since(last.from).div_duration_f64(period).ceil();
        let next = || self.predicted_at(last.from + period.mul_f64(cycles), stall_period, policy);
        let stall = self.predicted_at(now, stall_period, policy).or_else(next);
        stall.filter(|(begin, end)| *begin < until && now < *end)
    }

    /// Returns the predicted stall that includes a time, with a margin on both sides.
    fn predicted_at(
        &self,
        at: Instant,
        stall_period: &StallPeriod,
        policy: &Foresight,
    ) -> Option<(Instant, Instant)> {
        if !policy.on || self.stalls.is_empty() {
            return None;
        }
        let period = stall_period.period()?.as_secs_f64();
        let mut agreeing = 0;
        let (mut begin, mut end) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        for stall in &self.stalls {
            let age = at.saturating_duration_since(stall.from).as_secs_f64();
            let cycles = (age / period).round();
            // How long before `at` the stall would have begun in this cycle.
            let since = age - cycles * period;
            let is_near = since.abs() < period * TOLERANCE / 2.0;
            if !is_near || !(1.0..=policy.lapses).contains(&cycles) {
                continue;
            }
            let duration = stall.until.saturating_duration_since(stall.from).as_secs_f64();
            // A longer one is an outage.
            if duration > period * TOLERANCE {
                continue;
            }
            agreeing += 1;
            // Each observation covers a part of the stall: use the earliest begin and latest end.
            begin = begin.max(since);
            end = end.max(duration - since);
        }
        if agreeing == 0 {
            return None;
        }
        let unseen = (stall_period.long_duration() - begin - end).max(0.0) * policy.unseen;
        let begin = shift(at, -begin - unseen)?.checked_sub(policy.before)?;
        let end = shift(at, end + unseen)? + policy.after;
        (begin <= at && at < end).then_some((begin, end))
    }
}

fn shift(time: Instant, seconds: f64) -> Option<Instant> {
    let by = Duration::from_secs_f64(seconds.abs());
    if seconds < 0.0 { time.checked_sub(by) } else { time.checked_add(by) }
}
