//! Whether the process may start new work, or slept and must catch up first.
//!
//! Invariant: from the moment a pause is noticed until the process has asked others
//! what is in force, or a short bound has passed, no new work starts.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::pulse::Pulse;

/// How long new work waits at the most for the process to catch up.
const LONGEST_WAIT: Duration = Duration::from_millis(300);

/// The pulse of a process and whether it has caught up since the last pause.
#[derive(Debug)]
pub struct Awake {
    pulse: Mutex<Pulse>,
    current: watch::Sender<bool>,
}

impl Awake {
    /// Starts awake; gaps between beats above `longest` are pauses.
    pub fn new(longest: Duration) -> Self {
        let pulse = Mutex::new(Pulse::new(Instant::now(), longest));
        Self { pulse, current: watch::Sender::new(true) }
    }

    /// Beats the pulse; returns the pause where there was one.
    pub fn beat(&self, now: Instant) -> Option<Duration> {
        let mut pulse = self.lock();
        let gap = pulse.beat(now);
        if gap.is_some() {
            // Under the lock, so that nobody sees a beaten pulse before the mark.
            self.current.send_replace(false);
        }
        gap
    }

    /// Records that the process has caught up.
    pub fn caught_up(&self) {
        self.current.send_replace(true);
    }

    /// Tells whether new work may start right now.
    pub fn is_awake(&self, now: Instant) -> bool {
        let slept = self.lock().slept(now);
        !slept && *self.current.borrow()
    }

    /// Waits until new work may start, up to a short bound, and tells whether it may.
    pub async fn wait(&self) -> bool {
        if self.is_awake(Instant::now()) {
            return true;
        }
        let mut current = self.current.subscribe();
        let caught_up = async {
            // The pulse may not have noticed the pause yet: let it beat first.
            while self.lock().slept(Instant::now()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // The sender lives as long as self, so waiting can't fail.
            let _ = current.wait_for(|current| *current).await;
        };
        tokio::time::timeout(LONGEST_WAIT, caught_up).await.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, Pulse> {
        self.pulse.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
