//! The gate as the attempts of one request share it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::gate::{Gate, Outcome, Pass};

/// A [`Gate`] at which further attempts wait for their turn.
#[derive(Debug, Default)]
pub struct Door {
    gate: Mutex<Gate>,
    changed: Notify,
}

impl Door {
    /// Notes that a searcher ended under an attempt that was no trial.
    pub fn hold(&self) {
        self.lock().hold();
    }

    /// Tells whether further attempts pass freely.
    pub fn is_free(&self) -> bool {
        self.lock().is_free()
    }

    /// Waits, until a moment, for the leave to make a further attempt.
    ///
    /// Whoever passes as [`Pass::Trial`] must [`Door::settle`] it. [`Pass::Wait`] is the answer
    /// if the moment has come first.
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

    /// Takes in how a trial ended, and lets those who wait go on.
    pub fn settle(&self, outcome: Outcome) {
        self.lock().settle(outcome);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
