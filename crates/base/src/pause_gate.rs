//! Suspension of new work after a pause of the process.
//!
//! After a pause, the process's view of the configuration may be outdated. Invariant: from
//! the detection of a pause until the process has caught up with other members, or until
//! [`MAX_WAIT`] has passed, no new work starts. After a timeout the caller of
//! [`PauseGate::wait_open`] decides whether to reject the work or to proceed.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::pause_detector::PauseDetector;

/// The maximum time that new work waits for the process to catch up.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Blocks new work from a pause of the process until it has caught up.
#[derive(Debug)]
pub struct PauseGate {
    detector: Mutex<PauseDetector>,
    caught_up: watch::Sender<bool>,
}

impl PauseGate {
    /// Creates a gate that is open, and treats gaps between ticks above `threshold` as pauses.
    pub fn new(threshold: Duration) -> Self {
        let detector = Mutex::new(PauseDetector::new(Instant::now(), threshold));
        Self { detector, caught_up: watch::Sender::new(true) }
    }

    /// Records a tick; returns the length of the pause before it, if there was one.
    pub fn tick(&self, now: Instant) -> Option<Duration> {
        let mut detector = self.lock();
        let gap = detector.tick(now);
        if gap.is_some() {
            // Done under the lock, so that no other thread sees the tick before the gate is closed.
            self.caught_up.send_replace(false);
        }
        gap
    }

    /// Records that the process has caught up.
    pub fn set_caught_up(&self) {
        self.caught_up.send_replace(true);
    }

    /// Returns whether new work may start at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        let paused = self.lock().was_paused(now);
        !paused && *self.caught_up.borrow()
    }

    /// Waits until new work may start, for `MAX_WAIT` at most, and returns whether it may.
    pub async fn wait_open(&self) -> bool {
        if self.is_open(Instant::now()) {
            return true;
        }
        let mut caught_up = self.caught_up.subscribe();
        let reopened = async {
            // The pause may not have been recorded yet, so wait for the next tick first.
            while self.lock().was_paused(Instant::now()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // This cannot fail, because `self` owns the sender.
            let _ = caught_up.wait_for(|caught_up| *caught_up).await;
        };
        tokio::time::timeout(MAX_WAIT, reopened).await.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, PauseDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
