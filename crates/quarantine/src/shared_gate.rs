//! A [`Gate`] that the concurrent attempts of one request share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::gate::{Gate, Permit, TrialOutcome};

/// A [`Gate`] behind a lock, at which further attempts can wait for the result of a trial.
#[derive(Debug, Default)]
pub struct SharedGate {
    gate: Mutex<Gate>,
    changed: Notify,
}

impl SharedGate {
    /// Records that a searcher crashed during an attempt that was not a trial.
    pub fn record_crash(&self) {
        self.lock().record_crash();
    }

    /// Returns whether further attempts are unrestricted.
    pub fn is_unrestricted(&self) -> bool {
        self.lock().is_unrestricted()
    }

    /// Waits until a further attempt may be made or is denied, at most until a deadline.
    ///
    /// A caller that gets [`Permit::Trial`] must report the result with
    /// [`SharedGate::finish_trial`]. Returns [`Permit::Wait`] if the deadline passes first.
    pub async fn acquire(&self, until: Instant) -> Permit {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let permit = self.lock().acquire();
            if permit != Permit::Wait {
                return permit;
            }
            if tokio::time::timeout_at(until.into(), changed).await.is_err() {
                return Permit::Wait;
            }
        }
    }

    /// Records the result of a trial and wakes the waiting attempts.
    pub fn finish_trial(&self, outcome: TrialOutcome) {
        self.lock().finish_trial(outcome);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
