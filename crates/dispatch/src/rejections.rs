//! How far the rejections of one searcher are believed.
//!
//! A rejection may be the truth about a request, which all searchers of the service would reject, or
//! the failure of one searcher. What the others answer tells them apart. Invariants: a searcher is at
//! fault only for rejecting more than another of its service; rejections that others confirm cost few
//! further attempts, and those that others refute are all asked for elsewhere.

/// The weight of a new answer in the rate of rejections.
const RATE_WEIGHT: f64 = 1.0 / 32.0;

/// By how much the rate may exceed the lowest of the service: over three times the standard deviation
/// of the difference between two searchers that reject half of their requests.
const MAX_EXCESS: f64 = 0.3;

/// The number of answers from which on the rate is a measure.
const MIN_ANSWERS: u32 = 8;

/// The rate from which on a searcher counts as one that rejects everything.
const REJECTS_EVERYTHING: f64 = 0.9;

/// The weight of a second searcher's answer to a rejected request.
const CONFIRMATION_WEIGHT: f64 = 0.25;

/// The share of refuted rejections up to which a rejection is believed.
const MAX_REFUTED: f64 = 0.05;

/// How many rejections in a row are believed without asking another searcher.
const MAX_UNCONFIRMED: u32 = 4;

/// What is known of another searcher of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Other {
    /// Its rate of rejections; `None` if it is not measured.
    pub rate: Option<f64>,
    /// Whether it is as near as the searcher that it is compared with.
    pub is_near: bool,
}

/// What is known of the other searchers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Others {
    /// There is no other.
    None,
    /// None of them has answered enough to be a measure.
    Unmeasured {
        /// Whether one of them is as near as the searcher, so that asking it costs little.
        is_near: bool,
    },
    /// The lowest rate of rejections among those that have.
    Lowest(f64),
}

impl Others {
    /// Summarises the others.
    pub fn of(others: impl IntoIterator<Item = Other>) -> Self {
        others.into_iter().fold(Self::None, |others, Other { rate, is_near }| {
            match (others, rate) {
                (Self::Lowest(lowest), Some(rate)) => Self::Lowest(lowest.min(rate)),
                (Self::Lowest(lowest), None) => Self::Lowest(lowest),
                (_, Some(rate)) => Self::Lowest(rate),
                (Self::Unmeasured { is_near: true }, None) => Self::Unmeasured { is_near: true },
                (_, None) => Self::Unmeasured { is_near },
            }
        })
    }
}

/// What follows from a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// It may be true.
    Plausible,
    /// The searcher has failed.
    Failed,
    /// The searcher rejects everything, or much beside one that is as near, and another one must be
    /// measured to tell why.
    CompareNext,
}

/// The rejections of one searcher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RejectionHistory {
    rate: f64,
    answers: u32,
    /// The share of rejections that another searcher refuted; `None` if none was asked.
    refuted: Option<f64>,
    /// How many rejections were believed since another searcher was asked.
    unconfirmed: u32,
}

impl RejectionHistory {
    /// Records a success.
    pub fn record_success(&mut self) {
        self.rate -= self.rate * RATE_WEIGHT;
        self.answers = self.answers.saturating_add(1);
    }

    /// Records a rejection, given what is known of the other searchers of the service.
    pub fn record_rejection(&mut self, others: Others) -> Conclusion {
        self.rate += (1.0 - self.rate) * RATE_WEIGHT;
        self.answers = self.answers.saturating_add(1);
        match (self.rate(), others) {
            (Some(rate), Others::Lowest(lowest)) if rate - lowest > MAX_EXCESS => {
                Conclusion::Failed
            }
            (Some(rate), Others::Unmeasured { is_near }) => {
                let limit = if is_near { MAX_EXCESS } else { REJECTS_EVERYTHING };
                if rate > limit { Conclusion::CompareNext } else { Conclusion::Plausible }
            }
            _ => Conclusion::Plausible,
        }
    }

    /// Returns the rate of rejections among recent answers; `None` after too few of them.
    pub fn rate(&self) -> Option<f64> {
        // The initial zero still has this weight.
        let initial = (1.0 - RATE_WEIGHT).powi(self.answers.min(i32::MAX as u32) as i32);
        (self.answers >= MIN_ANSWERS).then(|| self.rate / (1.0 - initial))
    }

    /// Returns whether others have not confirmed rejections of the searcher, or not lately.
    pub fn is_doubted(&self) -> bool {
        self.refuted.is_none_or(|refuted| refuted > MAX_REFUTED)
    }

    /// Decides whether another searcher must confirm a rejection; otherwise it is believed.
    pub fn needs_confirmation(&mut self) -> bool {
        if self.is_doubted() || self.unconfirmed >= MAX_UNCONFIRMED {
            return true;
        }
        self.unconfirmed += 1;
        false
    }

    /// Records whether another searcher rejected the same request.
    pub fn record_confirmation(&mut self, is_confirmed: bool) {
        let refuted = f64::from(u8::from(!is_confirmed));
        let before = self.refuted.unwrap_or(refuted);
        self.refuted = Some(before + (refuted - before) * CONFIRMATION_WEIGHT);
        self.unconfirmed = 0;
    }
}
