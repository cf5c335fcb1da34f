//! The results of a simulation run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The results of the requests of one route.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The name of the route.
    pub name: &'static str,
    /// How many requests were made.
    pub offered: usize,
    /// How many received a complete response within the target latency.
    pub whole: usize,
    /// How many received a response within it that lacked shards.
    pub partial: usize,
    /// How many received a response after the target latency.
    pub late: usize,
    /// How many were rejected or failed.
    pub refused: usize,
    /// The total utility of the responses. A complete response within the target latency counts
    /// as one, a partial one as the square of its share of the shards, a late one as zero.
    pub worth: f64,
    latencies: Histogram<u64>,
}

impl Outcome {
    pub(crate) fn new(name: &'static str) -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds of the histogram are constants and valid");
        Self { name, offered: 0, whole: 0, partial: 0, late: 0, refused: 0, worth: 0.0, latencies }
    }

    /// Counts a response with its latency and the share of the shards that it contains.
    pub(crate) fn record_response(&mut self, took: Duration, share: f64, in_time: bool) {
        self.offered += 1;
        self.latencies.saturating_record(took.as_micros() as u64);
        match () {
            () if !in_time => self.late += 1,
            () if share < 1.0 => self.partial += 1,
            () => self.whole += 1,
        }
        if in_time {
            self.worth += share * share;
        }
    }

    /// Counts a request that was rejected or failed.
    pub(crate) fn record_rejection(&mut self) {
        self.offered += 1;
        self.refused += 1;
    }

    /// Returns a percentile of the response latencies.
    pub fn percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_percentile(percent))
    }

    /// Returns the mean utility of a request.
    pub fn mean_worth(&self) -> f64 {
        self.worth / self.offered.max(1) as f64
    }
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The results of each route, in the order of [`Load::streams`](crate::Load::streams).
    pub outcomes: Vec<Outcome>,
    /// How many first attempts were sent to searchers.
    pub first_attempts: usize,
    /// How many hedges and retries were sent.
    pub additional_attempts: usize,
    /// How many attempts reached a searcher that was paused, or that paused before it could
    /// complete them.
    pub paused: usize,
    /// How many attempts searchers rejected.
    pub turned_away: usize,
}

impl Report {
    /// Returns the ratio of additional attempts to first attempts.
    pub fn extra(&self) -> f64 {
        self.additional_attempts as f64 / self.first_attempts.max(1) as f64
    }

    /// Returns the mean utility of a request over all routes.
    pub fn worth(&self) -> f64 {
        let offered: usize = self.outcomes.iter().map(|outcome| outcome.offered).sum();
        self.outcomes.iter().map(|outcome| outcome.worth).sum::<f64>() / offered.max(1) as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| route | offered | whole | partial | late | refused | worth | p50 ms | p99 ms |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|---|")?;
        for outcome in &self.outcomes {
            let ms = |percent| outcome.percentile(percent).as_secs_f64() * 1e3;
            writeln!(
                f,
                "| {} | {} | {} | {} | {} | {} | {:.4} | {:.1} | {:.1} |",
                outcome.name,
                outcome.offered,
                outcome.whole,
                outcome.partial,
                outcome.late,
                outcome.refused,
                outcome.mean_worth(),
                ms(50.0),
                ms(99.0)
            )?;
        }
        writeln!(
            f,
            "worth={:.4} extra={:.4} paused={} turned_away={}",
            self.worth(),
            self.extra(),
            self.paused,
            self.turned_away
        )
    }
}
