//! Limits further attempts within one attempt of a caller.
//!
//! Once a searcher has crashed during a request, its further attempts (retries, hedges, shards
//! that a member could not deliver) wait until one of them is answered. Invariant: between the
//! first crash and an answer, at most one further attempt is in flight; if the searcher of that
//! one crashes as well, no further attempt is made.

/// Whether a further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// It may be made without restriction.
    Free,
    /// It may be made as the trial that shows whether the request crashes searchers.
    Trial,
    /// It has to wait for the result of a trial in flight.
    Wait,
    /// It must not be made.
    Denied,
}

/// The result of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The searcher answered: the request is harmless.
    Answered,
    /// The searcher crashed.
    Ended,
    /// Inconclusive: nothing was sent, or the searcher failed without crashing.
    Open,
}

/// The state that decides about further attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// No searcher has crashed.
    #[default]
    Open,
    /// A searcher has crashed, and no trial has had a conclusive result.
    Held {
        /// Whether a trial is in flight.
        trial_in_flight: bool,
    },
    /// A searcher had crashed, and a trial was answered since.
    Cleared,
    /// The searcher of a trial has crashed.
    Closed,
}

impl Gate {
    /// Records that a searcher crashed during an attempt that was not a trial.
    pub fn hold(&mut self) {
        if *self == Self::Open {
            *self = Self::Held { trial_in_flight: false };
        }
    }

    /// Requests a further attempt. [`Pass::Trial`] starts the trial.
    pub fn pass(&mut self) -> Pass {
        match self {
            Self::Open | Self::Cleared => Pass::Free,
            Self::Held { trial_in_flight: true } => Pass::Wait,
            Self::Held { trial_in_flight } => {
                *trial_in_flight = true;
                Pass::Trial
            }
            Self::Closed => Pass::Denied,
        }
    }

    /// Returns whether further attempts are unrestricted.
    pub fn is_free(&self) -> bool {
        matches!(self, Self::Open | Self::Cleared)
    }

    /// Records the result of the trial.
    pub fn settle(&mut self, outcome: Outcome) {
        *self = match outcome {
            Outcome::Answered => Self::Cleared,
            Outcome::Ended => Self::Closed,
            Outcome::Open => Self::Held { trial_in_flight: false },
        };
    }
}
