//! Polling for a condition with a timeout, for tests.

use std::time::{Duration, Instant};

/// The timeout of [`until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The time between two evaluations of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics, naming `what`, if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting until {what}");
}
