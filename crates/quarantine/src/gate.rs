//! Limits further attempts within one attempt of a caller.
//!
//! Once a searcher has crashed during a request, its further attempts (retries, hedges, shards
//! that a member could not deliver) wait until one of them is answered. Invariant: between the
//! first crash and an answer, at most one further attempt is in flight; if the searcher of that
//! one crashes as well, no further attempt is made.

/// Whether a further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be made without restriction.
    Unrestricted,
    /// It may be made as the trial that shows whether the request crashes searchers.
    Trial,
    /// It has to wait for the result of a trial in flight.
    Wait,
    /// It must not be made.
    Denied,
}

/// The result of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The searcher answered: the request is harmless.
    Answered,
    /// The searcher crashed.
    Crashed,
    /// Nothing was sent, or the searcher failed without crashing.
    Inconclusive,
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
    pub fn record_crash(&mut self) {
        if *self == Self::Open {
            *self = Self::Held { trial_in_flight: false };
        }
    }

    /// Requests a further attempt. [`Permit::Trial`] starts the trial.
    pub fn acquire(&mut self) -> Permit {
        match self {
            Self::Open | Self::Cleared => Permit::Unrestricted,
            Self::Held { trial_in_flight: true } => Permit::Wait,
            Self::Held { trial_in_flight } => {
                *trial_in_flight = true;
                Permit::Trial
            }
            Self::Closed => Permit::Denied,
        }
    }

    /// Returns whether further attempts are unrestricted.
    pub fn is_unrestricted(&self) -> bool {
        matches!(self, Self::Open | Self::Cleared)
    }

    /// Records the result of the trial.
    pub fn finish_trial(&mut self, outcome: TrialOutcome) {
        *self = match outcome {
            TrialOutcome::Answered => Self::Cleared,
            TrialOutcome::Crashed => Self::Closed,
            TrialOutcome::Inconclusive => Self::Held { trial_in_flight: false },
        };
    }
}
