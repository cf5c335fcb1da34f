//! What a run of a fleet shows.

use std::time::Duration;

/// The views of all members at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When, from the start of the run.
    pub at: Duration,
    /// The share of the living members that the least informed one takes for alive.
    pub least: f64,
    /// The share that the median member takes for alive.
    pub median: f64,
    /// The share of the living members that hold the request for condemned.
    pub condemning: f64,
    /// How many dead members somebody still sends work to.
    pub mourned: usize,
    /// Whether all take the same members for alive, so that all choose the same ones.
    pub agreed: bool,
}

/// What a member has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of messages, without the headers of the network.
    pub bytes: u64,
    /// Bytes to members of other zones, those of other regions included.
    pub between_zones: u64,
    /// Bytes to members of other regions.
    pub between_regions: u64,
}

/// What a run of a fleet shows.
#[derive(Clone, Debug)]
pub struct Report {
    /// The views, twenty times a second.
    pub samples: Vec<Sample>,
    /// What each member has sent by each of those moments, summed over its runs.
    pub sent: Vec<Vec<Traffic>>,
}

impl Report {
    /// Returns how long after a moment every member took a share of the living ones for alive
    /// and no dead one, for good.
    pub fn known(&self, from: Duration, share: f64) -> Option<Duration> {
        self.settled(from, |sample| sample.least >= share && sample.mourned == 0)
    }

    /// Returns how long after a moment all members took the same ones for alive, for good.
    pub fn agreed(&self, from: Duration) -> Option<Duration> {
        self.settled(from, |sample| sample.agreed)
    }

    /// Returns how long after a moment all members held the request for condemned, for good.
    pub fn condemned(&self, from: Duration) -> Option<Duration> {
        self.settled(from, |sample| sample.condemning >= 1.0)
    }

    fn settled(&self, from: Duration, holds: impl Fn(&Sample) -> bool) -> Option<Duration> {
        let later = self.samples.iter().filter(|sample| sample.at >= from);
        let mut since = None;
        for sample in later {
            since = holds(sample).then(|| since.unwrap_or(sample.at));
        }
        since.map(|at| at.saturating_sub(from))
    }

    /// Returns the lowest share that the median member knew from a moment on.
    pub fn lowest_median(&self, from: Duration) -> f64 {
        let later = self.samples.iter().filter(|sample| sample.at >= from);
        later.map(|sample| sample.median).fold(1.0, f64::min)
    }

    /// Returns what the mean and the busiest member sent between two moments, in bytes.
    pub fn bytes(&self, from: Duration, to: Duration) -> (f64, u64) {
        let sent = self.between(from, to, |traffic| traffic.bytes);
        let most = sent.iter().copied().max().unwrap_or(0);
        (sent.iter().sum::<u64>() as f64 / sent.len().max(1) as f64, most)
    }

    /// Returns what all members sent between two moments.
    pub fn total(&self, from: Duration, to: Duration) -> Traffic {
        let sum = |pick: fn(&Traffic) -> u64| self.between(from, to, pick).iter().sum();
        Traffic {
            messages: sum(|traffic| traffic.messages),
            bytes: sum(|traffic| traffic.bytes),
            between_zones: sum(|traffic| traffic.between_zones),
            between_regions: sum(|traffic| traffic.between_regions),
        }
    }

    fn between(&self, from: Duration, to: Duration, pick: impl Fn(&Traffic) -> u64) -> Vec<u64> {
        let index = |at: Duration| {
            let later = self.samples.iter().position(|sample| sample.at >= at);
            later.unwrap_or(self.samples.len() - 1)
        };
        let (first, last) = (&self.sent[index(from)], &self.sent[index(to)]);
        last.iter().zip(first).map(|(last, first)| pick(last) - pick(first)).collect()
    }
}
