//! What a run of the model shows.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What became of the requests of one route.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The route.
    pub name: &'static str,
    /// How many requests were made.
    pub offered: usize,
    /// How many were answered whole within the target latency.
    pub whole: usize,
    /// How many were answered within it with shards left out.
    pub partial: usize,
    /// How many were answered later.
    pub late: usize,
    /// How many were refused or failed.
    pub refused: usize,
    /// What the answers are worth, where a whole one within the target latency is worth one and
    /// one with shards left out the square of the share that is in.
    pub worth: f64,
    times: Histogram<u64>,
}

impl Outcome {
    pub(crate) fn new(name: &'static str) -> Self {
        let times = Histogram::new_with_bounds(1, LONGEST_US, 3)
            .expect("the bounds of the histogram are constants and valid");
        Self { name, offered: 0, whole: 0, partial: 0, late: 0, refused: 0, worth: 0.0, times }
    }

    /// Counts an answer that took a time and holds a share of the shards.
    pub(crate) fn answer(&mut self, took: Duration, share: f64, in_time: bool) {
        self.offered += 1;
        self.times.saturating_record(took.as_micros() as u64);
        match () {
            () if !in_time => self.late += 1,
            () if share < 1.0 => self.partial += 1,
            () => self.whole += 1,
        }
        if in_time {
            self.worth += share * share;
        }
    }

    /// Counts a request without an answer.
    pub(crate) fn refuse(&mut self) {
        self.offered += 1;
        self.refused += 1;
    }

    /// Returns a percentile of the times of the answers.
    pub fn percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.times.value_at_percentile(percent))
    }

    /// Returns the mean worth of a request.
    pub fn mean_worth(&self) -> f64 {
        self.worth / self.offered.max(1) as f64
    }
}

/// What a run shows.
#[derive(Clone, Debug)]
pub struct Report {
    /// The routes, in the order of the load.
    pub outcomes: Vec<Outcome>,
    /// How many first attempts were made at searchers.
    pub first: usize,
    /// How many additional attempts were made.
    pub additional: usize,
    /// How many attempts met a searcher that was paused, or was about to before it could answer.
    pub paused: usize,
    /// How many attempts a searcher refused.
    pub turned_away: usize,
}

impl Report {
    /// Returns the additional attempts for each first one.
    pub fn extra(&self) -> f64 {
        self.additional as f64 / self.first.max(1) as f64
    }

    /// Returns the mean worth of a request of any route.
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
        for one in &self.outcomes {
            let ms = |percent| one.percentile(percent).as_secs_f64() * 1e3;
            writeln!(
                f,
                "| {} | {} | {} | {} | {} | {} | {:.4} | {:.1} | {:.1} |",
                one.name,
                one.offered,
                one.whole,
                one.partial,
                one.late,
                one.refused,
                one.mean_worth(),
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
