//! How late the replies of members arrive, compared with the moment that their query implies.
//!
//! The network and the processors of both members add to a reply what no agreement foresees; it
//! grows with the group and with the load. The allowance follows what was observed, as the
//! retransmission timeout of TCP does: the mean and four times the mean deviation.

use std::time::Duration;

/// The weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;

/// The weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// How many mean deviations are allowed for.
const DEVIATIONS: f64 = 4.0;

/// The observed lateness of replies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lateness {
    /// The mean and the mean deviation, in seconds, once a reply was observed.
    observed: Option<(f64, f64)>,
}

impl Lateness {
    /// Records by how much a reply was late.
    pub fn record(&mut self, late: Duration) {
        let late = late.as_secs_f64();
        self.observed = Some(match self.observed {
            None => (late, late / 2.0),
            Some((mean, deviation)) => {
                let distance = (late - mean).abs();
                let deviation = deviation + (distance - deviation) * DEVIATION_WEIGHT;
                (mean + (late - mean) * MEAN_WEIGHT, deviation)
            }
        });
    }

    /// Returns how late a reply may be before it is overdue; `initial` if none was observed.
    pub fn allowance(&self, initial: Duration) -> Duration {
        self.observed.map_or(initial, |(mean, deviation)| {
            Duration::from_secs_f64(mean + deviation * DEVIATIONS)
        })
    }
}
