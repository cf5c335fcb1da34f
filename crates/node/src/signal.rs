//! Stop signals: the first asks for a graceful shutdown, `SIGINT` after it for haste.

use tokio::signal::unix::{SignalKind, signal};

/// How a process was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Finish what is in flight.
    Graceful,
    /// End now; requests in flight are cut because the operator asks for it.
    Now,
}

/// Waits for a stop signal. `SIGTERM` is always graceful, however often it comes.
pub async fn stop_signal(draining: bool) -> std::io::Result<Stop> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                if !draining {
                    return Ok(Stop::Graceful);
                }
                log::info!("node: Already draining; send SIGINT to cut requests in flight.");
            }
            _ = interrupt.recv() => {
                return Ok(if draining { Stop::Now } else { Stop::Graceful });
            }
        }
    }
}
