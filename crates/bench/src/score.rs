//! Latency percentiles and outcome counts per service.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use bergamot_base::Name;
use hdrhistogram::Histogram;

use crate::history::{Ending, History, Request};

/// The upper bound of the histogram, in microseconds; longer latencies saturate.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The score of one service.
#[derive(Clone, Debug)]
pub struct Score {
    /// The number of offered requests.
    pub offered: usize,
    /// The number of requests by outcome.
    pub endings: BTreeMap<&'static str, usize>,
    /// The mean coverage over all offered requests.
    pub coverage: f64,
    /// The number of sub-queries per covered shard.
    pub attempts_per_shard: f64,
    latencies: Histogram<u64>,
}

impl Score {
    /// Scores the requests of one service.
    pub fn of<'a>(requests: impl Iterator<Item = &'a Request>) -> Self {
        let mut latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds of the histogram are constants and valid");
        let (mut offered, mut coverage) = (0, 0.0);
        let (mut attempts, mut asked) = (0, 0);
        let mut endings = BTreeMap::new();
        for request in requests {
            offered += 1;
            latencies.saturating_record(request.latency().as_micros().max(1) as u64);
            *endings.entry(label(request.ending)).or_default() += 1;
            match &request.answer {
                Some(answer) => {
                    coverage += answer.answered as f64 / answer.asked.max(1) as f64;
                    attempts += u64::from(answer.attempts);
                    asked += answer.asked;
                }
                None if request.ending == Ending::Complete => coverage += 1.0,
                None => {}
            }
        }
        Self {
            offered,
            endings,
            coverage: coverage / offered.max(1) as f64,
            attempts_per_shard: if asked == 0 { 1.0 } else { attempts as f64 / asked as f64 },
            latencies,
        }
    }

    /// Returns a percentile over all offered requests.
    pub fn percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_percentile(percent))
    }

    /// Returns the number of requests with an outcome.
    pub fn ended(&self, ending: Ending) -> usize {
        self.endings.get(label(ending)).copied().unwrap_or(0)
    }
}

fn label(ending: Ending) -> &'static str {
    match ending {
        Ending::Complete => "complete",
        Ending::Partial => "partial",
        Ending::Refused => "refused",
        Ending::NotRun => "not_run",
        Ending::Unknown => "unknown",
        Ending::Failed => "failed",
        Ending::Lost => "lost",
    }
}

/// The scores of all services of a run.
#[derive(Clone, Debug)]
pub struct ServiceScores(pub BTreeMap<Name, Score>);

impl ServiceScores {
    /// Scores each service of a history.
    pub fn of(history: &History) -> Self {
        let mut services: Vec<_> =
            history.requests.iter().map(|request| Name::clone(&request.service)).collect();
        services.sort();
        services.dedup();
        let score = |service: &Name| {
            let requests = history.requests.iter().filter(|request| request.service == *service);
            (Name::clone(service), Score::of(requests))
        };
        Self(services.iter().map(score).collect())
    }
}

impl fmt::Display for ServiceScores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<32} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>5} {:>8} {:>8} {:>8} {:>8} {:>6}",
            "service",
            "offered",
            "complete",
            "partial",
            "refused",
            "not_run",
            "unknown",
            "failed",
            "lost",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "coverage",
            "extra"
        )?;
        for (service, score) in &self.0 {
            let ms = |percent| score.percentile(percent).as_secs_f64() * 1e3;
            writeln!(
                f,
                "{service:<32} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>5} {:>8.1} {:>8.1} {:>8.1} {:>8.4} {:>6.3}",
                score.offered,
                score.ended(Ending::Complete),
                score.ended(Ending::Partial),
                score.ended(Ending::Refused),
                score.ended(Ending::NotRun),
                score.ended(Ending::Unknown),
                score.ended(Ending::Failed),
                score.ended(Ending::Lost),
                ms(50.0),
                ms(99.0),
                ms(99.9),
                score.coverage,
                score.attempts_per_shard
            )?;
        }
        Ok(())
    }
}
