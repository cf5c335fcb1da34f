//! The feed's clock.

use std::time::Instant;

/// Returns the current time of the runtime's clock, which the feed's timers use as well. Tests can
/// pause this clock and simulate hours in seconds.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
