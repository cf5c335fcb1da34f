//! Waiting for what must happen, in tests.

use std::time::{Duration, Instant};

/// How long anything that must happen is waited for.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// How often the condition is looked at.
const INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` was waited for when patience ends.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    panic!("waited in vain until {what}");
}
