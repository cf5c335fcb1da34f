//! Silences that recur: a searcher that pauses in a rhythm is passed over before it pauses.
//!
//! A member sees a silence as a request that is unanswered for several times the usual time
//! while nothing else is answered either. The times from one silence of a searcher to its
//! next are pooled over all searchers: where many of them agree, that is the [`Rhythm`]. A
//! searcher whose [`Silences`] then fall together, a whole number of periods apart, is
//! expected to be silent again at the same phase. Invariants: without agreement nothing is
//! expected; an answer in the midst of an expected silence takes the expectation back; and
//! an expectation lapses after some periods, so that it must be seen again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bergamot_policy::Foresight;

/// How many times between silences are remembered.
const GAPS: usize = 256;

/// How many silences of one searcher are remembered: those of some periods, and others that slow
/// requests seemed to show.
const SILENCES: usize = 12;

/// To how many earlier silences of its searcher the time from a new one is taken: the one a period
/// before may not be the last.
const GAPS_EACH: usize = 3;

/// Within which part of it times between silences agree on a period. A pause is first met at some
/// moment of its length, which is a few hundredths of its period.
const AGREEMENT: f64 = 0.1;

/// The time between silences that the searchers of a member have in common.
#[derive(Clone, Debug, Default)]
pub struct Rhythm(Arc<Mutex<Gaps>>);

#[derive(Debug, Default)]
struct Gaps {
    seen: VecDeque<f64>,
    period: Option<f64>,
    /// How long the silences were that recurred, as far as they were seen.
    lengths: VecDeque<f64>,
}

impl Rhythm {
    /// Returns the period, if silences have one.
    pub fn period(&self) -> Option<Duration> {
        let gaps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        gaps.period.map(Duration::from_secs_f64)
    }

    /// Returns how long nearly all silences are, in seconds, as far as they were seen.
    fn length(&self) -> f64 {
        let gaps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lengths: Vec<f64> = gaps.lengths.iter().copied().collect();
        if lengths.is_empty() {
            return 0.0;
        }
        let rank = lengths.len() * 9 / 10;
        *lengths.select_nth_unstable_by(rank, f64::total_cmp).1
    }

    fn add_length(&self, length: Duration) {
        let mut gaps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if gaps.lengths.len() == GAPS {
            gaps.lengths.pop_front();
        }
        gaps.lengths.push_back(length.as_secs_f64());
    }

    /// Takes in the time from one silence of a searcher to its next.
    fn add(&self, gap: Duration, policy: &Foresight) {
        let mut gaps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if gaps.seen.len() == GAPS {
            gaps.seen.pop_front();
        }
        gaps.seen.push_back(gap.as_secs_f64());
        gaps.period = agreed(gaps.seen.iter().copied().collect(), policy);
    }
}

/// Finds the time on which most of the gaps agree, if enough of them do.
fn agreed(mut gaps: Vec<f64>, policy: &Foresight) -> Option<f64> {
    gaps.sort_by(f64::total_cmp);
    let alike = |first: usize| {
        let end = gaps[first] * (1.0 + AGREEMENT);
        &gaps[first..gaps.partition_point(|gap| *gap < end)]
    };
    let best = (0..gaps.len()).map(alike).max_by_key(|alike| alike.len())?;
    let enough = policy.fewest.max((gaps.len() as f64 * policy.agree).ceil() as usize);
    (best.len() >= enough).then(|| best.iter().sum::<f64>() / best.len() as f64)
}

/// When a searcher was silent for certain.
#[derive(Clone, Copy, Debug)]
struct Silence {
    from: Instant,
    until: Instant,
}

/// The recent silences of one searcher.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    seen: VecDeque<Silence>,
}

impl Silences {
    /// Takes in that the searcher was silent from one moment to another.
    pub fn silent(&mut self, from: Instant, until: Instant, rhythm: &Rhythm, policy: &Foresight) {
        if let Some(last) = self.seen.back_mut()
            && from.saturating_duration_since(last.until) < policy.apart
        {
            last.until = last.until.max(until);
            last.from = last.from.min(from);
            return;
        }
        if let Some(last) = self.seen.back() {
            rhythm.add_length(last.until.saturating_duration_since(last.from));
        }
        for before in self.seen.iter().rev().take(GAPS_EACH) {
            rhythm.add(from.saturating_duration_since(before.from), policy);
        }
        if self.seen.len() == SILENCES {
            self.seen.pop_front();
        }
        self.seen.push_back(Silence { from, until });
    }

    /// Takes in that the searcher worked from one moment to another.
    pub fn worked(&mut self, from: Instant, until: Instant, rhythm: &Rhythm, policy: &Foresight) {
        let middle = from + until.saturating_duration_since(from) / 2;
        if self
            .expected(middle, rhythm, policy)
            .is_some_and(|(begin, end)| begin < from && until < end)
        {
            self.seen.clear();
        }
    }

    /// Returns how long the searcher is expected to be silent for a request that is sent now and
    /// takes `work`; nothing if it isn't.
    pub fn wait(
        &self,
        now: Instant,
        work: Duration,
        rhythm: &Rhythm,
        policy: &Foresight,
    ) -> Duration {
        let Some((begin, end)) = self.expected(now + work, rhythm, policy) else {
            return Duration::ZERO;
        };
        end.saturating_duration_since(now.max(begin))
    }

    /// Returns the silence that is expected now or next, if it begins before `until`.
    pub fn next(
        &self,
        now: Instant,
        until: Instant,
        rhythm: &Rhythm,
        policy: &Foresight,
    ) -> Option<(Instant, Instant)> {
        let period = rhythm.period()?;
        let last = self.seen.back()?;
        let turns = now.saturating_duration_since(last.from).div_duration_f64(period).ceil();
        let next = || self.expected(last.from + period.mul_f64(turns), rhythm, policy);
        let silence = self.expected(now, rhythm, policy).or_else(next);
        silence.filter(|(begin, end)| *begin < until && now < *end)
    }

    /// Returns the expected silence that a moment falls into, with a margin on both sides.
    fn expected(
        &self,
        at: Instant,
        rhythm: &Rhythm,
        policy: &Foresight,
    ) -> Option<(Instant, Instant)> {
        if !policy.on || self.seen.is_empty() {
            return None;
        }
        let period = rhythm.period()?.as_secs_f64();
        let mut agreeing = 0;
        let (mut begin, mut end) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        for silence in &self.seen {
            let age = at.saturating_duration_since(silence.from).as_secs_f64();
            let turns = (age / period).round();
            // How long before the moment the silence would have begun in this turn.
            let since = age - turns * period;
            let is_near = since.abs() < period * AGREEMENT / 2.0;
            if !is_near || !(1.0..=policy.lapses).contains(&turns) {
                continue;
            }
            let length = silence.until.saturating_duration_since(silence.from).as_secs_f64();
            // One that lasts as long is an outage.
            if length > period * AGREEMENT {
                continue;
            }
            agreeing += 1;
            // Each silence shows a part of the pause: the earliest begin and the latest end count.
            begin = begin.max(since);
            end = end.max(length - since);
        }
        if agreeing == 0 {
            return None;
        }
        let unseen = (rhythm.length() - begin - end).max(0.0) * policy.unseen;
        let begin = shift(at, -begin - unseen)?.checked_sub(policy.before)?;
        let end = shift(at, end + unseen)? + policy.after;
        (begin <= at && at < end).then_some((begin, end))
    }
}

fn shift(moment: Instant, seconds: f64) -> Option<Instant> {
    let by = Duration::from_secs_f64(seconds.abs());
    if seconds < 0.0 { moment.checked_sub(by) } else { moment.checked_add(by) }
}
