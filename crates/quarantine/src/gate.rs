//! The gate for further attempts within one caller's attempt.
//!
//! Once a searcher has ended under a request, its further attempts (retries, hedges, shards
//! that a member could not bring) wait for one of them to be answered. Invariant: from the end
//! of the first searcher until an answer, one further attempt is under way at the most; after
//! one that ended its searcher as well, none is made any more.

/// Whether a further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// It may.
    Free,
    /// It may, as the one that shows whether the request does harm.
    Trial,
    /// Another one is showing that.
    Wait,
    /// It may not.
    Denied,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered: the request does no harm.
    Answered,
    /// Its searcher has ended.
    Ended,
    /// It showed nothing: nothing was sent, or the searcher failed in another way.
    Open,
}

/// The gate for further attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// No searcher has ended.
    #[default]
    Open,
    /// A searcher has ended.
    Held {
        /// Whether a trial is under way.
        trial: bool,
    },
    /// A searcher had ended, and a trial was answered.
    Cleared,
    /// A trial ended its searcher.
    Shut,
}

impl Gate {
    /// Notes that a searcher ended under an attempt that was no trial.
    pub fn hold(&mut self) {
        if *self == Self::Open {
            *self = Self::Held { trial: false };
        }
    }

    /// Asks to make a further attempt.
    pub fn pass(&mut self) -> Pass {
        match self {
            Self::Open | Self::Cleared => Pass::Free,
            Self::Held { trial: true } => Pass::Wait,
            Self::Held { trial } => {
                *trial = true;
                Pass::Trial
            }
            Self::Shut => Pass::Denied,
        }
    }

    /// Tells whether further attempts pass freely.
    pub fn is_free(&self) -> bool {
        matches!(self, Self::Open | Self::Cleared)
    }

    /// Takes in how the trial ended.
    pub fn settle(&mut self, outcome: Outcome) {
        *self = match outcome {
            Outcome::Answered => Self::Cleared,
            Outcome::Ended => Self::Shut,
            Outcome::Open => Self::Held { trial: false },
        };
    }
}
