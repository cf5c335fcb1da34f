//! The results of a fleet simulation.

use std::time::Duration;

/// A summary of all membership views at one time.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The time since the start of the run.
    pub at: Duration,
    /// The smallest share of the running members that any member considers alive.
    pub min_known: f64,
    /// The share of the running members that the median member considers alive.
    pub median_known: f64,
    /// The share of the running members that consider the request condemned.
    pub condemned: f64,
    /// The largest number of stopped members that any member would still send work to.
    pub max_stale: usize,
    /// Whether all members consider the same members alive, and therefore place requests alike.
    pub agreed: bool,
}

/// The traffic that a member has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of datagrams.
    pub messages: u64,
    /// The payload bytes of the datagrams, without network headers.
    pub bytes: u64,
    /// The bytes sent to other zones, including those in other regions.
    pub between_zones: u64,
    /// The bytes sent to other regions.
    pub between_regions: u64,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The samples, taken twenty times a second.
    pub samples: Vec<Sample>,
    /// The traffic of each member up to each sample, summed over its restarts.
    pub sent: Vec<Vec<Traffic>>,
}

impl Report {
    /// Returns how long after `from` every member considered at least this share of the running
    /// members alive and no stopped one, and did so until the end of the run.
    pub fn time_until_known(&self, from: Duration, share: f64) -> Option<Duration> {
        self.converged(from, |sample| sample.min_known >= share && sample.max_stale == 0)
    }

    /// Returns how long after `from` all members considered the same members alive, and did so
    /// until the end of the run.
    pub fn time_until_agreed(&self, from: Duration) -> Option<Duration> {
        self.converged(from, |sample| sample.agreed)
    }

    /// Returns how long after `from` all members considered the request condemned, and did so
    /// until the end of the run.
    pub fn time_until_condemned(&self, from: Duration) -> Option<Duration> {
        self.converged(from, |sample| sample.condemned >= 1.0)
    }

    /// Returns the time from `from` to the first sample since which `holds` was true.
    fn converged(&self, from: Duration, holds: impl Fn(&Sample) -> bool) -> Option<Duration> {
        let later = self.samples.iter().filter(|sample| sample.at >= from);
        let mut since = None;
        for sample in later {
            since = holds(sample).then(|| since.unwrap_or(sample.at));
        }
        since.map(|at| at.saturating_sub(from))
    }

    /// Returns the lowest [`Sample::median_known`] since `from`.
    pub fn lowest_median(&self, from: Duration) -> f64 {
        let later = self.samples.iter().filter(|sample| sample.at >= from);
        later.map(|sample| sample.median_known).fold(1.0, f64::min)
    }

    /// Returns the bytes that members sent between two times: the mean and the maximum.
    pub fn bytes_sent(&self, from: Duration, to: Duration) -> (f64, u64) {
        let sent = self.between(from, to, |traffic| traffic.bytes);
        let max = sent.iter().copied().max().unwrap_or(0);
        (sent.iter().sum::<u64>() as f64 / sent.len().max(1) as f64, max)
    }

    /// Returns the traffic of all members between two times.
    pub fn total_traffic(&self, from: Duration, to: Duration) -> Traffic {
        let sum = |field: fn(&Traffic) -> u64| self.between(from, to, field).iter().sum();
        Traffic {
            messages: sum(|traffic| traffic.messages),
            bytes: sum(|traffic| traffic.bytes),
            between_zones: sum(|traffic| traffic.between_zones),
            between_regions: sum(|traffic| traffic.between_regions),
        }
    }

    fn between(&self, from: Duration, to: Duration, field: impl Fn(&Traffic) -> u64) -> Vec<u64> {
        let index = |at: Duration| {
            let later = self.samples.iter().position(|sample| sample.at >= at);
            later.unwrap_or(self.samples.len() - 1)
        };
        let (first, last) = (&self.sent[index(from)], &self.sent[index(to)]);
        last.iter().zip(first).map(|(last, first)| field(last) - field(first)).collect()
    }
}
