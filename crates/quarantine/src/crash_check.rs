//! Finds out whether a searcher whose connection was lost has crashed.
//!
//! A refused dial shows that its process has ended. A dial that is accepted or reset shows nothing:
//! the kernel closes the connections of a process that ends before its listener, and accepts
//! connections on the listener until then. Only an answer, or a connection that lasts, shows that
//! the process runs, so a dial without either is repeated.

/// How often a searcher is dialled. A connection that the kernel accepted for a process that ends is
/// reset once the listener has closed, so the dial after that is refused.
const MAX_DIALS: u32 = 2;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckStep {
    /// Dial the searcher's address and record whether the dial was refused.
    Dial,
    /// Request the searcher's status on a new connection and record whether it answered; where the
    /// protocol has no status request, record whether a new connection lasts.
    RequestStatus,
    /// The check is complete.
    Complete {
        /// Whether the searcher has crashed.
        crashed: bool,
    },
}

/// The state of one check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCheck {
    dials: u32,
    next: CheckStep,
}

impl Default for CrashCheck {
    fn default() -> Self {
        Self { dials: 0, next: CheckStep::Dial }
    }
}

impl CrashCheck {
    /// Returns what to do next.
    pub fn next_step(&self) -> CheckStep {
        self.next
    }

    /// Records a dial, and whether it was refused.
    pub fn record_dial(&mut self, refused: bool) {
        self.dials += 1;
        self.next = if refused {
            CheckStep::Complete { crashed: true }
        } else if self.dials < MAX_DIALS {
            CheckStep::RequestStatus
        } else {
            CheckStep::Complete { crashed: false }
        };
    }

    /// Records a status request, and whether it was answered.
    pub fn record_status(&mut self, answered: bool) {
        self.next = if answered { CheckStep::Complete { crashed: false } } else { CheckStep::Dial };
    }
}
