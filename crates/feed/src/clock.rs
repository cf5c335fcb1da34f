//! The clock that the feed reads.

use std::time::Instant;

/// Returns the present moment by the clock of the runtime, on which the feed sleeps as well: a
/// test that pauses it runs hours of a fleet in seconds.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
