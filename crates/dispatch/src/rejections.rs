//! How far the rejections of one searcher are believed.
//!
//! A rejection may be the truth about a request, which all searchers of the service would reject, or
//! the failure of one searcher. What the others answer tells them apart. Invariants: a searcher is
//! blamed only for rejecting more than another of its service; rejections that others confirm cost
//! few further attempts, and those that others refute are all asked for elsewhere.

/// The weight of a new answer in the rate of rejections.
const RATE_WEIGHT: f64 = 1.0 / 32.0;

/// By how much the rate may exceed the lowest of the service: over three times the standard deviation
/// of the difference between two searchers that reject half of their requests.
const MAX_EXCESS: f64 = 0.3;

/// The number of answers from which on the rate is a measure.
const MIN_ANSWERS: u32 = 8;

/// The weight of a second answer to a rejected request.
const OPINION_WEIGHT: f64 = 0.25;

/// The share of refuted rejections up to which a rejection is believed.
const MAX_REFUTED: f64 = 0.05;

/// The share of believed rejections for which another searcher is asked all the same.
const SAMPLED: f64 = 0.1;

/// The rejections of one searcher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RejectionHistory {
    rate: f64,
    answers: u32,
    /// The share of rejections that another searcher refuted; `None` if none was asked.
    refuted: Option<f64>,
}

impl RejectionHistory {
    /// Records a success.
    pub fn record_success(&mut self) {
        self.rate -= self.rate * RATE_WEIGHT;
        self.answers = self.answers.saturating_add(1);
    }

    /// Records a rejection, given the lowest rate of the other searchers of the service, `None` if it
    /// has no other. Returns whether the searcher is to blame.
    pub fn record_rejection(&mut self, lowest_other: Option<f64>) -> bool {
        self.rate += (1.0 - self.rate) * RATE_WEIGHT;
        self.answers = self.answers.saturating_add(1);
        self.rate().zip(lowest_other).is_some_and(|(rate, lowest)| rate - lowest > MAX_EXCESS)
    }

    /// Returns the rate of rejections among recent answers; `None` after too few of them.
    pub fn rate(&self) -> Option<f64> {
        // The initial zero still has this weight.
        let initial = (1.0 - RATE_WEIGHT).powi(self.answers.min(i32::MAX as u32) as i32);
        (self.answers >= MIN_ANSWERS).then(|| self.rate / (1.0 - initial))
    }

    /// Returns whether another searcher should be asked for a request that this one rejected; `draw`
    /// is a random number from 0 to 1.
    pub fn needs_second_opinion(&self, draw: f64) -> bool {
        self.refuted.is_none_or(|refuted| refuted > MAX_REFUTED) || draw < SAMPLED
    }

    /// Records whether another searcher rejected the same request.
    pub fn record_opinion(&mut self, is_confirmed: bool) {
        let refuted = f64::from(u8::from(!is_confirmed));
        let before = self.refuted.unwrap_or(refuted);
        self.refuted = Some(before + (refuted - before) * OPINION_WEIGHT);
    }
}
