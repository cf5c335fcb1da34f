//! A [`Gate`] that the concurrent attempts of one request share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::gate::{Gate, Outcome, Pass};

/// A [`Gate`] behind a lock, at which further attempts can wait for the result of a trial.
#[derive(Debug, Default)]
pub struct Door {
    gate: Mutex<Gate>,
    changed: Notify,
}

impl Door {
    /// Records that a searcher crashed during an attempt that was not a trial.
    pub fn hold(&self) {
        self.lock().hold();
    }

    /// Returns whether further attempts are unrestricted.
    pub fn is_free(&self) -> bool {
        self.lock().is_free()
    }

    /// Waits until a further attempt may be made or is denied, at most until a deadline.
    ///
    /// A caller that gets [`Pass::Trial`] must report the result with [`Door::settle`]. Returns
    /// [`Pass::Wait`] if the deadline passes first.
    pub async fn pass(&self, until: Instant) -> Pass {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let pass = self.lock().pass();
            if pass != Pass::Wait {
                return pass;
            }
            if tokio::time::timeout_at(until.into(), changed).await.is_err() {
                return Pass::Wait;
            }
        }
    }

    /// Records the result of a trial and wakes the waiting attempts.
    pub fn settle(&self, outcome: Outcome) {
        self.lock().settle(outcome);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
